"""Rejection of patches that would lose the ids of at-most-once requests."""

import pytest
from tests.version.platform import first_agent, running_harness

from rosemaryknot.version.patch import Patch
from rosemaryknot.version.request_id_retention import MAX_REMOVED_SERVICES
from rosemaryknot.version.submission import Accepted, DryRun, InvalidPatch

PATH = "/services/dispatch-app"
CONFIRMED = frozenset({"dispatch-app"})
DAY_S = 24 * 3600.0


def operation(op: str, path: str = PATH, **value) -> dict:
    return {"op": op, "path": path, **value}


def service(**at_most_once) -> dict:
    return {"kind": "plain", "at_most_once": at_most_once}


def add(**at_most_once) -> list[dict]:
    return [operation("add", value=service(**at_most_once))]


REMOVE = [operation("remove"), operation("remove", "/placements/dispatch-app")]


async def submit(agent, *operations: dict, dry_run: bool = False):
    base = agent.holder.number
    patch = Patch(f"patch-{base}-{agent.clock()}", base, list(operations), "ana")
    return await agent.submit(patch, CONFIRMED, dry_run)


class TestExistingService:
    @pytest.mark.parametrize(
        "changed",
        [
            add(form="objects"),
            add(answer_horizon_s=599),
            [operation("add", value={"kind": "model"})],
        ],
    )
    async def test_change_that_loses_ids(self, autojump_clock, changed):
        """A booking ran under `shards`; an operator changes the form to `objects`.

        The other form does not have the id, so a late repeat of the booking would be
        granted and run again. A shorter horizon ends the uncertainty after an owner's
        failure too early, with the same result.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            result = await submit(agent, *changed)
            assert isinstance(result, InvalidPatch)
            assert result.problems[0].path.startswith(PATH)
            assert isinstance(await submit(agent, *changed, dry_run=True), InvalidPatch)
            assert harness.stored["number"] == 1

    async def test_explicit_defaults_and_longer_horizon(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            same = add(form="shards", answer_horizon_s=600)
            assert isinstance(await submit(agent, *same), Accepted)
            longer = add(form="shards", answer_horizon_s=1200)
            assert isinstance(await submit(agent, *longer), Accepted)

    async def test_model_service_that_becomes_plain(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            path = "/services/kit-assistant"
            result = await submit(agent, operation("add", path, value=service()))
            assert isinstance(result, InvalidPatch)
            assert "new name" in result.problems[0].text


class TestRemovedService:
    async def test_added_again_under_the_other_form(self, autojump_clock):
        """The form is changed in two steps: the service is removed and added again.

        Each patch alone is harmless. Grants of the old form stay open for a day, so
        the name stays reserved that long, even if a model service uses it meanwhile.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            now_s = 1000.0
            agent.clock = lambda: now_s
            assert isinstance(await submit(agent, *REMOVE), Accepted)
            model = operation("add", value={"kind": "model"})
            assert isinstance(await submit(agent, model), Accepted)
            assert isinstance(await submit(agent, operation("remove")), Accepted)
            now_s += DAY_S
            result = await submit(agent, *add(form="objects"))
            assert isinstance(result, InvalidPatch)
            assert result.problems[0].path == f"{PATH}/at_most_once/form"
            now_s += 120.0
            result = await submit(agent, *add(form="objects"))
            assert isinstance(result, Accepted)
            assert harness.stored["removed"] == {}

    async def test_name_reserved_for_horizon_longer_than_a_day(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            now_s = 1000.0
            agent.clock = lambda: now_s
            assert isinstance(
                await submit(agent, *add(answer_horizon_s=2 * DAY_S)), Accepted
            )
            assert isinstance(await submit(agent, *REMOVE), Accepted)
            now_s += 2 * DAY_S
            assert isinstance(await submit(agent, *add()), InvalidPatch)
            same = add(answer_horizon_s=2 * DAY_S)
            assert isinstance(await submit(agent, *same, dry_run=True), DryRun)
            now_s += 120.0
            assert isinstance(await submit(agent, *add()), Accepted)

    async def test_restore_reserves_removed_names(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            backup = harness.stored
            assert isinstance(await submit(agent, *REMOVE), Accepted)
            harness.standin.kinds["configuration"].objects["main"].value = backup
            restored = await agent.restore("patch-restore", "ana")
            assert isinstance(restored, Accepted)
            result = await submit(agent, *add(form="objects"))
            assert isinstance(result, InvalidPatch)

    async def test_limit_on_reserved_names(self, autojump_clock):
        """Reserved names must not let the object exceed the store's limit of 1 MB."""
        async with running_harness() as harness:
            agent = await first_agent(harness)
            names = [f"/services/app-{n}" for n in range(MAX_REMOVED_SERVICES + 1)]
            adds = [operation("add", name, value=service()) for name in names]
            assert isinstance(await submit(agent, *adds), Accepted)
            removes = [operation("remove", name) for name in names]
            words = frozenset(name.rpartition("/")[2] for name in names)
            patch = Patch("patch-many", agent.holder.number, removes, "ana")
            assert isinstance(await agent.submit(patch, words), InvalidPatch)
            patch = Patch("patch-less", agent.holder.number, removes[1:], "ana")
            assert isinstance(await agent.submit(patch, words), Accepted)
            assert len(harness.stored["removed"]) == MAX_REMOVED_SERVICES
