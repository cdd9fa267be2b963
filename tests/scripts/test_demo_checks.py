"""Tests of the demo's own checks: they must find what they are there to find."""

import importlib
import sys
from pathlib import Path

import pytest

from rosemaryknot.standin.answers import prompt_text, whole_answer
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.plain import Run

SCRIPTS = Path(__file__).resolve().parents[2] / "scripts"


@pytest.fixture
def demo(monkeypatch):
    monkeypatch.syspath_prepend(str(SCRIPTS))
    yield (
        importlib.import_module("demo_requests"),
        importlib.import_module("demo_report"),
    )
    for name in ("demo_requests", "demo_report", "demo_plan"):
        sys.modules.pop(name, None)


def new_request(load, number=1, form="stream"):
    kind = next(kind for kind in load.KINDS if kind.form == form)
    return load.Request(kind, number, 0.0, id=f"r{number}")


def events_of(request, id="r1", lineage="l1"):
    prompt = prompt_text(request.messages)
    for n, token in enumerate(whole_answer(prompt, lineage, request.kind.max_tokens)):
        delta = {"index": 0, "delta": {"content": token}}
        yield {"id": id, "lineage": lineage, "offset": n, "choices": [delta]}


def read(request, events):
    events = list(events)
    for event in events:
        request.take(event)
    request.take({"outcome": "answered", "tokens": len(events)})
    return request.outcome, request.crossed


class TestAnswerCheck:
    def test_own_whole_answer(self, demo):
        request = new_request(demo[0])
        assert read(request, events_of(request)) == ("answered", False)

    def test_answer_cut_short(self, demo):
        request = new_request(demo[0])
        assert read(request, list(events_of(request))[:-1]) == ("lost", False)

    def test_answer_of_another_request(self, demo):
        """Two answers are crossed: the ids fit, the text is another caller's."""
        request, other = new_request(demo[0]), new_request(demo[0], 2)
        assert read(request, events_of(other)) == ("lost", True)

    def test_frame_of_another_request(self, demo):
        request = new_request(demo[0])
        events = list(events_of(request))
        events[3]["id"] = "r2"
        assert read(request, events)[1]

    def test_two_lineages_joined(self, demo):
        """A resumed answer goes on in another lineage without starting again."""
        request = new_request(demo[0])
        first = list(events_of(request, lineage="l1"))
        second = list(events_of(request, lineage="l2"))
        assert read(request, first[:5] + second[5:])[0] == "lost"


class TestSummary:
    def test_ran_twice_and_refused_but_ran(self, demo):
        load, report = demo
        twice, refused = (new_request(load, n, "once") for n in (1, 2))
        twice.finish("answered")
        refused.finish("not_run", "overloaded")
        keys = [twice.key, twice.key, refused.key]
        runs = [Run(f"id{n}", k, "POST", "/b", 0.0) for n, k in enumerate(keys)]
        summary = report.summarize([twice, refused], report.Ledgers(runs=runs))
        assert (summary.ran_twice, summary.refused_but_ran) == (1, 1)
        assert not summary.is_good

    def test_recomputed_tokens(self, demo):
        report = demo[1]
        first = GenerationEntry("r1", "l1", 100, 100, 0, 40, 0, 40, 1.0, "cancelled")
        second = GenerationEntry("r1", "l1", 100, 100, 38, 62, 138, 100, 2.0, "done")
        summary = report.summarize([], report.Ledgers([first, second]))
        assert summary.recomputed_tokens == 100 + 38 + 2
