"""The backend servers, what this node has in flight there, and how they behave."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer

__all__ = ["ServerState", "ServerTable"]

# First pause after a failed connection or answer; doubles with each one in a row.
PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
# Weight of the newest sample in a server's failure share and speed.
SMOOTHING = 0.15
# Prompt tokens that a server reads in a second, before anything was measured.
FIRST_RATE = 100_000.0
# The rate follows this quantile of what is seen, by this share a sample; smaller
# prompts tell more of the way than of the engine.
RATE_QUANTILE = 0.8
RATE_STEP = 0.02
RATE_LEAST_TOKENS = 4000
# Samples after which the rate says more of the servers than of its first value.
RATE_KNOWN_SAMPLES = 50
# Parts of prompts whose place is remembered, and for how long. Engines drop the least
# recently used parts after some tens of seconds under load.
MAX_PARTS = 20_000
PART_S = 60.0
# A running stream makes an event every few tens of milliseconds, so a model server
# with work that says nothing for this long is not working.
MODEL_SILENT_S = 1.0
PLAIN_SILENT_S = 1.0

log = logger("servers")


@dataclass(slots=True)
class PeerLoad:
    """What another node has in flight at a server.

    Attributes
    ----------
    requests : int
        Requests in flight.
    tokens : int
        Prompt tokens that are not read yet.
    at_s : float
        When it was told, in trio time.
    """

    requests: int
    tokens: int
    at_s: float


@dataclass(slots=True)
class ServerState:
    """One backend server as this node sees it.

    Attributes
    ----------
    entry : RoutedServer
        As the store tells.
    in_flight : int
        Requests of this node.
    waiting_tokens : int
        Prompt tokens of this node's requests that have no first event yet.
    failure_share : float
        Smoothed share of attempts that failed, 0 to 1.
    failures : int
        Failures in a row.
    avoid_until_s : float
        No work before, unless nothing else is left.
    heard_s : float
        When the last bytes came.
    waiting_since_s : float
        Since when it owes bytes.
    peers : dict of str to PeerLoad
        By node.
    has_drained : bool
        Whether it said that it leaves; never taken back.
    is_gone : bool
        Whether its entry is gone for good, as far as is known.
    gone_at_s : float
        When it counts as gone, since its entry is missing although it never said
        that it leaves; infinite while there is one.
    """

    entry: RoutedServer
    in_flight: int = 0
    waiting_tokens: int = 0
    failure_share: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    heard_s: float = float("-inf")
    waiting_since_s: float = 0.0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    has_drained: bool = False
    is_gone: bool = False
    gone_at_s: float = math.inf

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.has_drained or self.is_gone

    @property
    def is_missing(self) -> bool:
        """Whether its entry is missing and it may yet come back."""
        return self.gone_at_s < math.inf

    def load(self) -> tuple[int, int]:
        """Return requests and unread prompt tokens of all nodes."""
        requests = self.in_flight
        tokens = self.waiting_tokens
        for peer in self.peers.values():
            requests += peer.requests
            tokens += peer.tokens
        return requests, tokens

    def is_silent(self, now_s: float, limit_s: float) -> bool:
        """Tell whether it owes bytes and has sent none for too long."""
        if not self.in_flight:
            return False
        return now_s - max(self.heard_s, self.waiting_since_s) > limit_s


class ServerTable:
    """All servers by id, and where parts of prompts were read.

    Attributes
    ----------
    by_id : dict of str to ServerState
        Servers that may still have work.
    rate : float
        Prompt tokens that a model server reads in a second, as measured.
    rate_samples : int
        First events that it was measured by.
    is_listed : bool
        Whether the servers were listed at least once.
    has_changed : bool
        Whether what is in flight has changed since the others were told.
    is_told_late : bool
        Whether the others' work is told by sums of hubs, some hundred milliseconds old
        and the same for many gateways.
    return_s : float
        How long an entry that is missing after an outage may take to come back, in
        seconds.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ServerState] = {}
        self.rate = FIRST_RATE
        self.rate_samples = 0
        self.is_listed = False
        self.return_s = 1.4
        self.parts: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.recent: list[tuple[str, str]] = []
        self.has_changed = False
        self.is_told_late = False
        self.gone: list[str] = []

    # What the store tells.

    def put(self, entry: RoutedServer) -> None:
        """Take over an entry.

        A server that has said that it leaves never takes new work again under the
        same id: an older read must not bring it back.
        """
        state = self.by_id.get(entry.id)
        if state is None:
            state = self.by_id[entry.id] = ServerState(entry)
            log.info(f"server {entry.id} known", service=entry.service, zone=entry.zone)
        elif state.is_gone or state.is_missing:
            log.info(f"server {entry.id} back", service=entry.service)
        if entry.is_leaving and not state.has_drained:
            log.info(f"server {entry.id} leaves", left_s=entry.leaves_s)
        state.entry = entry
        state.has_drained = state.has_drained or entry.is_leaving
        state.is_gone = False
        state.gone_at_s = math.inf

    def remove(self, server_id: str) -> None:
        """Note that an entry is gone.

        Entries also lapse while the store is away, all at once, though their servers
        live; a node may not even notice the outage. One that did not say that it
        leaves is therefore kept for `return_s`, for when no other server is left.
        """
        state = self.by_id.get(server_id)
        if state is None:
            return
        if state.is_leaving:
            self.drop(state)
        elif not state.is_missing:
            state.gone_at_s = trio.current_time() + self.return_s
            log.info(f"server {server_id} missing")

    def replace_all(self, entries: Iterable[RoutedServer]) -> None:
        """Take over a whole list."""
        entries = list(entries)
        for entry in entries:
            self.put(entry)
        known = {entry.id for entry in entries}
        for server_id in [name for name in self.by_id if name not in known]:
            self.remove(server_id)
        self.is_listed = True

    def drop(self, state: ServerState) -> None:
        """Give no more work to a server whose entry is gone."""
        if not state.is_gone:
            log.info(f"server {state.entry.id} gone")
        state.is_gone = True
        if state.in_flight == 0 and self.by_id.pop(state.entry.id, None):
            self.gone.append(state.entry.id)

    def tidy(self) -> list[str]:
        """Drop what is gone for good; return the ids whose connections can close."""
        now_s = trio.current_time()
        for state in list(self.by_id.values()):
            if now_s >= state.gone_at_s:
                self.drop(state)
        gone, self.gone = self.gone, []
        return gone

    # What attempts tell.

    def begin(self, state: ServerState, size: ModelInput | None, tokens: int) -> None:
        """Count a request that goes to a server."""
        now_s = trio.current_time()
        if state.in_flight == 0:
            state.waiting_since_s = now_s
        state.in_flight += 1
        state.waiting_tokens += tokens
        self.has_changed = True
        if size is not None:
            self.note_parts(state.entry.id, size.parts[:-1])
            if not self.is_told_late:
                self.recent += [(part.id, state.entry.id) for part in size.parts[:-1]]

    def first_event(
        self, state: ServerState, tokens: int, ahead: int, took_s: float
    ) -> None:
        """Count the first bytes of an answer, and learn how fast prompts are read."""
        state.waiting_tokens -= tokens
        self.has_changed = True
        if tokens < RATE_LEAST_TOKENS or took_s <= 0:
            return
        # What an engine can do shows in its better answers; the others waited for
        # work that this gateway does not see.
        self.rate_samples += 1
        step = RATE_STEP * self.rate
        is_faster = (tokens + ahead) / took_s > self.rate
        self.rate += step * RATE_QUANTILE if is_faster else -step * (1 - RATE_QUANTILE)

    def measured_rate(self) -> float | None:
        """Return how many tokens a server reads in a second, None while unknown."""
        return self.rate if self.rate_samples >= RATE_KNOWN_SAMPLES else None

    def end(self, state: ServerState, waiting_tokens: int) -> None:
        """Count the end of a request."""
        state.in_flight -= 1
        state.waiting_tokens -= waiting_tokens
        self.has_changed = True
        if state.entry.id not in self.by_id and state.in_flight == 0:
            self.gone.append(state.entry.id)

    def note_success(self, state: ServerState) -> None:
        """Count an attempt that was answered whole."""
        state.failures = 0
        state.failure_share *= 1 - SMOOTHING

    def note_failure(self, state: ServerState, reason: str) -> None:
        """Count an attempt that failed, and leave the server alone for a while."""
        now_s = trio.current_time()
        state.failures += 1
        state.failure_share += SMOOTHING * (1 - state.failure_share)
        pause_s = min(PAUSE_S * 2 ** min(state.failures - 1, 6), MAX_PAUSE_S)
        state.avoid_until_s = max(state.avoid_until_s, now_s + pause_s)
        if state.failures in (1, 4, 16):
            log.warning(
                f"server {state.entry.id} failed",
                reason=reason,
                failures=state.failures,
                pause_s=pause_s,
            )

    # What the others are told.

    def loads(self) -> dict[str, list[int]]:
        """Return requests in flight and unread tokens of this node, by server."""
        return {
            name: [state.in_flight, state.waiting_tokens]
            for name, state in self.by_id.items()
            if state.in_flight
        }

    def new_places(self, most: int) -> list[list[str]]:
        """Return where parts were sent since the last call, the latest ones."""
        places, self.recent = self.recent[-most:], []
        return [list(place) for place in places]

    # Where parts of prompts are.

    def note_parts(self, server_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Remember that a server has read parts of a prompt."""
        now_s = trio.current_time()
        for part in parts:
            places = self.parts.setdefault(part.id, {})
            places[server_id] = now_s
            self.parts.move_to_end(part.id)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def note_place(self, part_id: str, server_id: str) -> None:
        """Remember what another node has sent to a server."""
        if server_id in self.by_id:
            self.note_parts(server_id, (PromptPart(part_id, 0),))

    def kept_tokens(self, server_id: str, size: ModelInput) -> int:
        """Return how many tokens of a prompt a server most likely keeps."""
        now_s = trio.current_time()
        kept = 0
        for part in size.parts[:-1]:
            at_s = self.parts.get(part.id, {}).get(server_id)
            if at_s is None or now_s - at_s > PART_S:
                break
            kept += part.tokens
        return kept
