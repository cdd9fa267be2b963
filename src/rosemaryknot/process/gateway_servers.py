"""The backend servers, what this node has in flight there, and how they behave."""

import math
from collections import OrderedDict, defaultdict
from collections.abc import Iterable

import trio

from rosemaryknot.process.kept_parts import KeptParts
from rosemaryknot.process.logs import logger
from rosemaryknot.process.prompt_mix import PromptMix
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation, id_of

__all__ = ["ServerTable"]

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
# Ids whose last life is remembered: as many as may end while a late write of theirs is
# carried out, a few seconds of the largest deployment; 1 KB each.
MAX_ENDED = 500
# A running stream makes an event every few tens of milliseconds, so a model server
# with work that says nothing for this long is not working.
MODEL_SILENT_S = 1.0
PLAIN_SILENT_S = 1.0

log = logger("servers")


class ServerTable:
    """All servers by id, and where parts of prompts were read.

    Attributes
    ----------
    by_id : dict of str to ServerState
        Servers that may still have work.
    kept : KeptParts
        Which parts of prompts they keep.
    mixes : collections.defaultdict of str to PromptMix
        By service, how much of the reading long prompts bring.
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
        self.kept = KeptParts()
        self.mixes: defaultdict[str, PromptMix] = defaultdict(PromptMix)
        self.recent: list[tuple[str, str]] = []
        self.has_changed = False
        self.ended: OrderedDict[str, ServerState] = OrderedDict()
        self.gone: list[ServerIncarnation] = []
        self.replaced: list[ServerIncarnation] = []
        self.is_told_late = False

    # What the store tells.

    def put(self, entry: RoutedServer) -> str:
        """Take over an entry; return why not, empty text where it was.

        A server that has said that it leaves never takes new work again in the same
        life: an older read must not bring it back.
        """
        state = self.by_id.get(entry.id)
        known = state or self.ended.get(entry.id)
        if known is not None and known.incarnation != entry.incarnation:
            if not entry.incarnation.is_newer_than(known.incarnation):
                # A write of the life before that was carried out late, or another
                # writer's: taken over, work would go to a server that is gone.
                return f"of no newer life than {known.incarnation.born_ms}"
            self.replace(known, entry)
            state = known = None
        if state is None:
            state = self.by_id[entry.id] = self.begin_life(entry, known)
        elif state.is_gone or state.is_missing:
            log.info(f"server {entry.id} back", service=entry.service, born=entry.born)
        if entry.is_leaving and not state.has_drained:
            log.info(
                f"server {entry.id} leaves", left_s=entry.leaves_s, born=entry.born
            )
        state.entry = entry
        state.entry_s = trio.current_time()
        state.has_drained = state.has_drained or entry.is_leaving
        state.is_gone = False
        state.gone_at_s = math.inf
        return ""

    def begin_life(self, entry: RoutedServer, known: ServerState | None) -> ServerState:
        """Return the state of a life that is not in the table, the old one if known.

        Without a number, one that has said that it leaves cannot be told from the next
        life, which would get no work for good.
        """
        if known is not None and known.has_drained and known.entry.born is None:
            known = None
        log.info(
            f"server {entry.id} known",
            service=entry.service,
            zone=entry.zone,
            born=entry.born,
            again=known is not None,
        )
        self.ended.pop(entry.id, None)
        return known or ServerState(entry, trio.current_time())

    def replace(self, old: ServerState, entry: RoutedServer) -> None:
        """End the life before; what is under way there only counts for it.

        Its requests may have run and are not sent anew for this reason, its idle
        connections lead nowhere any more.
        """
        log.info(
            f"server {entry.id} started again",
            born=entry.born,
            before=old.entry.born,
            in_flight=old.in_flight,
            drained=old.has_drained,
            failures=old.failures,
            known_s=round(trio.current_time() - old.known_s, 3),
        )
        old.is_gone = True
        self.by_id.pop(entry.id, None)
        self.ended.pop(entry.id, None)
        self.gone.append(old.incarnation)
        self.replaced.append(old.incarnation)

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
            log.info(f"server {server_id} missing", born=state.entry.born)

    def replace_all(self, entries: Iterable[RoutedServer]) -> dict[str, str]:
        """Take over a whole list; return what was not taken over, and why."""
        entries = list(entries)
        reasons = {entry.id: self.put(entry) for entry in entries}
        known = {entry.id for entry in entries}
        for server_id in [name for name in self.by_id if name not in known]:
            self.remove(server_id)
        self.is_listed = True
        return {server_id: reason for server_id, reason in reasons.items() if reason}

    def drop(self, state: ServerState) -> None:
        """Give no more work to a server whose entry is gone."""
        if not state.is_gone:
            log.info(f"server {state.entry.id} gone", born=state.entry.born)
        state.is_gone = True
        if state.in_flight == 0 and self.by_id.pop(state.entry.id, None):
            self.gone.append(state.incarnation)
            self.note_ended(state)

    def note_ended(self, state: ServerState) -> None:
        """Remember the last life of an id.

        A late word of it is known as such then, and where only its entry had lapsed in
        an outage, what it keeps is known when it is back: prompts of its sessions went
        elsewhere otherwise and were read anew.
        """
        self.ended[state.entry.id] = state
        while len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)

    def tidy(self) -> list[ServerIncarnation]:
        """Drop what is gone for good; return whose connections can close."""
        now_s = trio.current_time()
        for state in list(self.by_id.values()):
            if now_s >= state.gone_at_s:
                self.drop(state)
        gone, self.gone = self.gone, []
        return gone

    def take_replaced(self) -> list[ServerIncarnation]:
        """Return the lives that the next one has replaced since the last call."""
        replaced, self.replaced = self.replaced, []
        return replaced

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
            self.kept.note(state, size.parts[:-1])
            if not self.is_told_late:
                self.recent += [(part.id, state.told_as) for part in size.parts[:-1]]

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
        is_current = self.by_id.get(state.entry.id) is state
        if not is_current and state.in_flight == 0:
            self.gone.append(state.incarnation)

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
                born=state.entry.born,
            )

    # What the others are told.

    def loads(self) -> dict[str, list[int]]:
        """Return own requests in flight and unread tokens, by server's life."""
        return {
            state.told_as: [state.in_flight, state.waiting_tokens]
            for state in self.by_id.values()
            if state.in_flight
        }

    def new_places(self, most: int) -> list[list[str]]:
        """Return where parts were sent since the last call, the latest ones."""
        places, self.recent = self.recent[-most:], []
        return [list(place) for place in places]

    # Where parts of prompts are.

    def note_place(self, part_id: str, told_as: str) -> None:
        """Remember what another node has sent to a server, where that life lasts."""
        state = self.by_id.get(id_of(told_as))
        if state is not None and state.told_as == told_as:
            self.kept.note(state, (PromptPart(part_id, 0),))
