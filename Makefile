# `make` alone lists the targets.

PYTHON ?= $(firstword $(shell command -v python3.11) python3)
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/installed
PYTEST_OPTIONS ?=
PYTEST_JOBS ?= 7
# Tests of crowds at real processes, which load the machine and are not run beside others.
TESTS_ALONE := tests/clients

.PHONY: help venv test lint format demo cluster faults bench-relay bench-recovery bench-control bench-slopes scenarios bench-policy bench-peak bench-nodes bench-planned-stop bench-load platform-demo soak retry-soak mixed-builds

help:
	@echo "make venv    make $(VENV) from requirements.lock and install the programs there"
	@echo "make demo    run three zones on loopback, reclaim one under load, and report"
	@echo "make cluster run the demo's zones without load until Ctrl-C, to try things out"
	@echo "make test    run all tests and doctests"
	@echo "make faults SEEDS=200   run the system in virtual time under seeded faults"
	@echo "make faults SEED=7      run one seed again, with its decision log"
	@echo "make platform-demo      the users' platform on loopback: stand-ins, three nodes, callers"
	@echo "make soak SEED=7 | SEEDS=5 MINUTES=3   node processes on loopback under faults from outside"
	@echo "make retry-soak SEED=7 | SEEDS=5   nodes that retry as much as they may, while load moves"
	@echo "make mixed-builds OLD=DIR NEW=DIR   processes of two checkouts work together; minutes"
	@echo "make bench-peak         admission, waiting and placement at the worst load; minutes"
	@echo "make bench-nodes        what knowing of each other costs 7 to 91 gateways; minutes"
	@echo "make bench-planned-stop   what callers get while nodes stop in series, by way; minutes"
	@echo "make bench-load         what a gateway spends its time on, by part, nodes and servers; minutes"
	@echo "make bench-relay        processor time a relayed token costs, against bare sockets"
	@echo "make bench-recovery     what reclaim waves and at-most-once execution cost"
	@echo "make bench-policy       engines each route policy needs at the latency target; minutes"
	@echo "make bench-control      what control costs 7, 21 and 63 nodes, and how limits hold; minutes"
	@echo "make bench-slopes       what each peer, server, record and customer costs control"
	@echo "make scenarios          run all scenario files in virtual time and check what they state"
	@echo "make lint    check format and lint rules"
	@echo "make format  format the code and mend what the linter can"

venv: $(INSTALLED)

$(INSTALLED): requirements.lock pyproject.toml
	@echo "venv: making $(VENV) with $$($(PYTHON) --version)"
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11))' \
	    || { echo "venv: Python 3.11 is needed; set PYTHON=/path/to/python3.11"; exit 1; }
	@$(PYTHON) -m venv --clear $(VENV)
	@echo "venv: installing the pinned libraries"
	@$(BIN)/python -m pip install --quiet --requirement requirements.lock
	@echo "venv: installing the programs"
	@$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	@touch $@

test: venv
	@echo "test: running all tests and doctests in $(PYTEST_JOBS) processes, eight minutes"
	@$(BIN)/python -m pytest -n $(PYTEST_JOBS) --dist worksteal \
	    --ignore=$(TESTS_ALONE) $(PYTEST_OPTIONS)
	@echo "test: running crowds of clients, one at a time, five minutes"
	@$(BIN)/python -m pytest $(TESTS_ALONE) $(PYTEST_OPTIONS)

lint: venv
	@echo "lint: checking the format"
	@$(BIN)/ruff format --check .
	@echo "lint: checking the rules"
	@$(BIN)/ruff check .

format: venv
	@$(BIN)/ruff format .
	@$(BIN)/ruff check --fix .

demo: venv
	@$(BIN)/python scripts/demo.py

cluster: venv
	@$(BIN)/python scripts/demo.py --stay

SEEDS ?= 20

faults: venv
ifdef SEED
	@$(BIN)/rosemaryknot-replay faults --seed $(SEED)
else
	@$(BIN)/python scripts/faults.py $(SEEDS) $(FAULT_OPTIONS)
endif

BENCH_POLICY_SEEDS ?= 4

bench-policy: venv
	@$(BIN)/python benchmarks/policy.py --seeds $(BENCH_POLICY_SEEDS)

scenarios: venv
	@$(BIN)/rosemaryknot-replay run scenarios/*.scenario

SEEDS_OF_SOAK = $(if $(SEED),--seed $(SEED),--seeds $(SEEDS) $(if $(MINUTES),--minutes $(MINUTES)))

soak: venv
	@$(BIN)/python scripts/soak.py $(SEEDS_OF_SOAK)

RETRY_SOAK_OPTIONS ?=

retry-soak: venv
	@$(BIN)/python scripts/retry_soak.py $(if $(SEED),--seed $(SEED),--seeds $(SEEDS)) $(RETRY_SOAK_OPTIONS)

mixed-builds: venv
	@$(BIN)/python scripts/mixed_builds.py $(OLD) $(NEW)

bench-nodes: venv
	@$(BIN)/python benchmarks/gateway_nodes.py

bench-planned-stop: venv
	@$(BIN)/python benchmarks/planned_stop.py --reserves

bench-load: venv
	@$(BIN)/python benchmarks/gateway_load.py

bench-peak: venv
	@$(BIN)/python benchmarks/peak.py

platform-demo: venv
	@$(BIN)/python examples/platform_demo.py

bench-relay: venv
	@$(BIN)/python benchmarks/relay.py

bench-recovery: venv
	@$(BIN)/python benchmarks/recovery.py

bench-control: venv
	@$(BIN)/python benchmarks/control.py

bench-slopes: venv
	@$(BIN)/python benchmarks/slopes.py
