"""The worst load, without network: clumps of long prompts while servers are taken back.

Seven gateways place requests on model servers by their own tables, which learn of each
other's work each 50 ms. A server reads one prompt after the other as they come, as
engines do while they have free slots, and keeps what it has read for a while. Every way
of admission, waiting and placement meets the same seeded requests; a caller that is
refused comes back once.
"""

import itertools
import random
from collections.abc import Iterator
from functools import partial

import trio
from trio.testing import MockClock

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.standin.peak_engine import Engine, Prompt
from rosemaryknot.standin.peak_gateway import Gateway
from rosemaryknot.standin.peak_hubs import Hubs
from rosemaryknot.standin.peak_load import (
    SMALL,
    Deployment,
    Kind,
    Load,
    Tally,
    Way,
)
from rosemaryknot.values.gateway import ModelInput, PromptSegment

__all__ = ["play_peak"]

# From the end of reading to the first event.
FIRST_S = 0.026
LENGTH_S = 30.0
LATE_PART = 0.1


class Peak:
    """One play of a load."""

    def __init__(
        self, way: Way, load: Load, seed: int, deployment: Deployment = SMALL
    ) -> None:
        self.way = way
        self.load = load
        self.deployment = deployment
        self.report_s = way.report_s or deployment.report_s
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.gateways = [
            Gateway(n, way, seed, deployment) for n in range(deployment.gateways)
        ]
        speeds = itertools.cycle(deployment.speeds)
        self.engines = {
            f"s{n}": Engine(self.tally, deployment, next(speeds))
            for n in range(deployment.servers)
        }
        self.numbers = iter(range(1_000_000_000))
        self.answers: trio.Nursery | None = None

    async def run(self) -> Tally:
        """Play it to the last answer."""
        async with trio.open_nursery() as nursery:
            if self.deployment.has_hubs:
                hubs = Hubs(self.gateways, self.deployment.zones, self.report_s)
                nursery.start_soon(hubs.run)
            else:
                nursery.start_soon(self.tell)
            nursery.start_soon(self.take_back)
            for engine in self.engines.values():
                nursery.start_soon(engine.run)
            async with trio.open_nursery() as requests:
                self.answers = requests
                async for kind in self.arrivals():
                    size = draw_size(kind, self.rng)
                    gateways = self.rng.sample(self.gateways, 2)
                    requests.start_soon(self.ask, kind, size, iter(gateways))
            nursery.cancel_scope.cancel()
        return self.tally

    async def arrivals(self) -> Iterator[Kind]:
        """Give the kinds of requests as they come, in clumps."""
        long, short = self.deployment.long, self.deployment.short
        usual = long.per_s + short.per_s
        while trio.current_time() < LENGTH_S:
            is_worst = self.load.from_s <= trio.current_time() < self.load.until_s
            strength = self.load.strength if is_worst else 1.0
            clump = self.deployment.clump
            await trio.sleep(self.rng.expovariate(usual * strength / clump))
            for _ in range(clump):
                yield long if self.rng.random() < long.per_s / usual else short

    async def take_back(self) -> None:
        """Let servers leave and return."""
        await self.set_leaving(self.load.from_s, True)
        await self.set_leaving(self.load.until_s, False)

    async def set_leaving(self, at_s: float, is_draining: bool) -> None:
        """Tell all gateways that servers leave, or are back with nothing kept."""
        await trio.sleep_until(at_s)
        for number in range(self.load.gone):
            self.engines[f"s{number}"].kept.clear()
            for gateway in self.gateways:
                gateway.table.by_id[f"s{number}"].entry.is_draining = is_draining

    async def tell(self) -> None:
        """Let the gateways tell each other what they have in flight."""
        while True:
            await trio.sleep(self.report_s)
            for one in self.gateways:
                places, one.table.recent_locations = one.table.recent_locations, []
                for other in self.gateways:
                    if other is one:
                        continue
                    other.hear(one)
                    for part, server in places:
                        other.table.record_location(part, server)

    async def ask(
        self, kind: Kind, size: ModelInput, gateways: Iterator[Gateway]
    ) -> None:
        """Ask as a caller does: once more after a refusal, at another gateway."""
        began_s = trio.current_time()
        self.tally.owed += kind.worth_of(size)
        with trio.move_on_after(kind.patience_s):
            for gateway in gateways:
                if await self.attempt(kind, size, gateway, began_s):
                    return
        self.tally.unserved += 1
        self.note_earned(kind, size, 0.0)

    def note_answer(
        self, kind: Kind, size: ModelInput, wait_s: float, pause_s: float
    ) -> None:
        """Count an answer."""
        self.tally.waits_s.append(wait_s)
        if wait_s <= kind.target_s and pause_s <= kind.pause_s:
            self.tally.in_time += kind.worth_of(size)
            self.note_earned(kind, size, 1.0)
        else:
            self.tally.paused += wait_s <= kind.target_s
            self.note_earned(kind, size, LATE_PART)

    def note_earned(self, kind: Kind, size: ModelInput, part: float) -> None:
        """Count what a request has earned of its worth."""
        worth = kind.worth_of(size)
        self.tally.earned += part * worth
        if kind is self.deployment.long:
            self.tally.long_ones.append((size.prompt_tokens, worth, part * worth))

    async def attempt(
        self, kind: Kind, size: ModelInput, gateway: Gateway, asked_s: float
    ) -> bool:
        """Return whether one gateway answered."""
        number = next(self.numbers)
        left_s = asked_s + kind.patience_s - trio.current_time()
        if self.way.holds:
            await gateway.hold(kind, number, size)
        chosen = gateway.place(size)
        return_s = gateway.refusal_s(kind, size, chosen, left_s)
        if return_s is not None:
            self.tally.refused += 1
            await trio.sleep(min(return_s, left_s / 3))
            return False
        state = chosen.state
        tokens = size.prompt_tokens - chosen.cached_tokens
        prompt = Prompt(size)
        began_s = state.last_received_s = trio.current_time()
        gateway.table.begin(state, size, tokens)
        engine = self.engines[state.entry.id]
        engine.put(prompt)
        try:
            await prompt.is_read.wait()
            await trio.sleep(FIRST_S)
        except trio.Cancelled:
            prompt.is_left = True
            engine.end(prompt)
            gateway.table.end(state, tokens)
            raise
        took_s = trio.current_time() - began_s
        gateway.table.record_first_event(state, tokens, chosen.tokens, took_s)
        wait_s = trio.current_time() - asked_s
        answer = partial(self.answer, kind, gateway, state, engine, prompt, wait_s)
        self.answers.start_soon(answer)
        return True

    async def answer(
        self,
        kind: Kind,
        gateway: Gateway,
        state: ServerState,
        engine: Engine,
        prompt: Prompt,
        wait_s: float,
    ) -> None:
        """Run a request from its first event to its end."""
        await engine.answer(prompt, self.deployment.event_s)
        engine.end(prompt)
        gateway.table.end(state, 0)
        self.note_answer(kind, prompt.size, wait_s, prompt.pause_s)


def draw_size(kind: Kind, rng: random.Random) -> ModelInput:
    """Return a prompt: a shared beginning, a session's part and the rest."""
    if kind.rank > 0:
        shared = PromptSegment(f"L{rng.randrange(3)}", 512)
        session = PromptSegment(f"S{rng.randrange(kind.sessions)}", 4870)
        own = int(min(54_600, rng.lognormvariate(8.0, 1.2)))
    else:
        shared = PromptSegment(f"l{rng.randrange(20)}", 341)
        session = PromptSegment(f"s{rng.randrange(kind.sessions)}", 227)
        own = int(min(6_870, rng.lognormvariate(7.0, 0.9)))
    segments = (shared, session, PromptSegment("own", own))
    tokens = sum(part.tokens for part in segments)
    return ModelInput(tokens, kind.answer_tokens, segments)


def play_peak(way: Way, load: Load, seed: int, deployment: Deployment = SMALL) -> Tally:
    """Play a load in virtual time and return what became of it."""

    async def play() -> Tally:
        # Made within the run: tables note since when they know their servers.
        return await Peak(way, load, seed, deployment).run()

    return trio.run(play, clock=MockClock(autojump_threshold=0))
