"""Backend servers as seen by a gateway: entries, load in flight and failures."""

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Container, Hashable, Iterable

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.prefix_locations import PrefixLocations
from rosemaryknot.process.prompt_mix import PromptMix
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.process.software_versions import VersionHistory
from rosemaryknot.values.gateway import ModelInput, PromptSegment, RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation, server_id_from_text
from rosemaryknot.values.nodes import Address

__all__ = ["ServerTable"]

# Backoff after the first failed connection or response; doubles with each consecutive
# failure.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# Weight of the newest sample in the moving average of a server's failure share.
SMOOTHING_FACTOR = 0.15
# Prefill rate in tokens per second that is assumed before any measurement.
INITIAL_PREFILL_RATE = 100_000.0
# The estimate of the prefill rate tracks the quantile RATE_QUANTILE of the samples and
# moves by the share RATE_STEP of its value per sample. Prompts below RATE_MIN_TOKENS
# are not sampled: they measure the network path rather than the engine.
RATE_QUANTILE = 0.8
RATE_STEP = 0.02
RATE_MIN_TOKENS = 4000
# Samples after which the estimate depends on the servers, not on its initial value.
RATE_MIN_SAMPLES = 50
# Maximum number of removed ids whose last state is retained, at 1 KB each. It covers
# the ids that the largest deployment may remove in a few seconds, which is how long a
# write of a removed id may be delayed.
MAX_REMOVED_STATES = 500
# Maximum number of drains that are remembered of servers without an entry here; as many
# as end in a day of the largest deployment.
MAX_EARLY_DRAINS = 2000
# A restored store lacks the entries of servers that came after its copy; live servers
# write them again within about two seconds. It has entries of servers that have left
# since, which lapse after three heartbeats of two seconds at most.
RESTORED_MISSING_TIMEOUT_S = 2.5
RESTORED_LAPSE_TIMEOUT_S = 6.0
# Time from the first known server after which a node that starts serves without the
# complete list; that of a large deployment takes some tenths of a second.
PARTIAL_LIST_TIMEOUT_S = 1.0
# A running stream emits an event every few tens of milliseconds, so a model server
# that has requests in flight and sends nothing for this long is not working.
MODEL_SILENCE_TIMEOUT_S = 1.0
PLAIN_SILENCE_TIMEOUT_S = 1.0

PAUSES = counter(
    "server_pauses_total", "Pauses that servers asked this node for, by source."
)

log = logger("servers")


class ServerTable:
    """Servers by id, with the prompt prefixes that they have cached.

    Attributes
    ----------
    by_id : dict of str to ServerState
        Servers that are listed, missing but retained, or may still have requests.
    cached : PrefixLocations
        Prompt segments in the servers' prefix caches.
    mixes : collections.defaultdict of str to PromptMix
        Share of long prompts in the prefill work, by service.
    rate : float
        Measured prefill rate of a model server, in tokens per second.
    rate_samples : int
        Number of first events from which the rate was measured.
    versions : VersionHistory
        Software versions of the servers over time.
    is_listed : bool
        Whether the servers were listed completely at least once.
    first_known_s : float
        When the first server became known, in trio time.
    has_unreported_load : bool
        Whether the load in flight has changed since the last report to other nodes.
    uses_hub_loads : bool
        Whether the load of other nodes is received as aggregates from hubs, which are
        some hundred milliseconds old and the same for many gateways.
    on_available : callable
        Called with a service of which a server may accept more requests.
    missing_timeout_s : float
        How long a server whose entry is missing is retained, in seconds. After an
        outage of the store the entry may return within this time.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ServerState] = {}
        self.rate = INITIAL_PREFILL_RATE
        self.rate_samples = 0
        self.versions = VersionHistory()
        self.is_listed = False
        self.first_known_s = math.inf
        self.missing_timeout_s = 1.4
        self.cached = PrefixLocations()
        self.mixes: defaultdict[str, PromptMix] = defaultdict(PromptMix)
        self.recent_locations: list[tuple[str, str]] = []
        self.has_unreported_load = False
        self.removed_states: OrderedDict[str, ServerState] = OrderedDict()
        self.early_drains: OrderedDict[str, None] = OrderedDict()
        self.on_available: Callable[[str], None] = lambda service: None
        self.unused_incarnations: list[ServerIncarnation] = []
        self.replaced_incarnations: list[ServerIncarnation] = []
        self.uses_hub_loads = False

    def is_usable(self) -> bool:
        """Return whether requests can be served with what is known.

        One page that cannot be had must not cost the servers of all others.
        """
        if self.is_listed:
            return True
        known_s = trio.current_time() - self.first_known_s
        return bool(self.by_id) and known_s >= PARTIAL_LIST_TIMEOUT_S

    # Entries from the store.

    def put(self, entry: RoutedServer) -> str:
        """Apply an entry; return why it was ignored, or an empty string.

        A server that has announced a drain never gets new requests again in the same
        incarnation: an outdated read of the store must not reactivate it.
        """
        state = self.by_id.get(entry.id)
        known = state or self.removed_states.get(entry.id)
        if known is not None and known.incarnation != entry.incarnation:
            if not entry.incarnation.is_newer_than(known.incarnation):
                # A delayed write of the previous incarnation, or a write by another
                # writer. Applying it would route requests to a server that no longer
                # exists.
                return f"no newer incarnation than {known.incarnation.born_ms}"
            self.replace_incarnation(known, entry)
            state = known = None
        if known is not None:
            self.record_version(known, entry)
        if state is None:
            state = self.by_id[entry.id] = self.state_of_entry(entry, known)
            self.first_known_s = min(self.first_known_s, trio.current_time())
            self.on_available(entry.service)
        elif state.is_removed or state.is_missing:
            log.info(
                f"server {entry.id} returned", service=entry.service, born=entry.born
            )
        if entry.is_draining and not state.has_announced_drain:
            log.info(
                f"server {entry.id} draining",
                left_s=entry.shutdown_after_s,
                born=entry.born,
            )
        if known is None or entry != state.entry:
            # One that is listed again may be older than the server's process.
            state.entry_updated_s = trio.current_time()
        state.entry = entry
        if entry.is_draining:
            state.announce_drain()
        state.is_removed = False
        state.removal_deadline_s = math.inf
        state.unproven_until_s = -math.inf
        return ""

    def state_of_entry(
        self, entry: RoutedServer, known: ServerState | None
    ) -> ServerState:
        """Return the state of an incarnation that is not in the table.

        The retained state of a removed id is reused, except if the entry has no birth
        time and the server has announced a drain. This entry may belong to the next
        incarnation, which would never get requests with the reused state.
        """
        if known is not None and known.has_announced_drain and known.entry.born is None:
            known = None
        log.info(
            f"server {entry.id} added",
            service=entry.service,
            zone=entry.zone,
            born=entry.born,
            software_version=entry.software_version,
            again=known is not None,
        )
        self.removed_states.pop(entry.id, None)
        state = known or ServerState(entry, trio.current_time())
        if state.incarnation_key in self.early_drains:
            del self.early_drains[state.incarnation_key]
            state.record_drain()
        return state

    def replace_incarnation(self, old: ServerState, entry: RoutedServer) -> None:
        """Remove the previous incarnation of a server.

        Its requests in flight are counted only for it, not for the new incarnation. The
        restart is no reason to send them again, since they may have run. The idle
        connections to the previous incarnation are unusable.
        """
        log.info(
            f"server {entry.id} restarted",
            born=entry.born,
            before=old.entry.born,
            software_version=entry.software_version,
            software_version_before=old.entry.software_version,
            in_flight=old.in_flight,
            drained=old.has_announced_drain,
            failures=old.failures,
            known_s=round(trio.current_time() - old.first_seen_s, 3),
        )
        old.is_removed = True
        self.versions.record_end(old)
        self.versions.record_change(old, entry)
        self.by_id.pop(entry.id, None)
        self.removed_states.pop(entry.id, None)
        self.unused_incarnations.append(old.incarnation)
        self.replaced_incarnations.append(old.incarnation)

    # What servers state in responses.

    def record_drain(self, incarnation_key: str, source: str) -> bool:
        """Record that a server has stated in a response that it drains.

        Its entry may say otherwise for as long as the store is unreachable.

        Parameters
        ----------
        incarnation_key : str
            Text form of the server's incarnation.
        source : str
            ``response``, or the node that received the response.

        Returns
        -------
        is_new : bool
            Whether the drain of a server in the table was not known.
        """
        server_id = server_id_from_text(incarnation_key)
        state = self.by_id.get(server_id)
        if state is None or state.incarnation_key != incarnation_key:
            self.record_early_drain(incarnation_key)
            return False
        if state.has_announced_drain:
            return False
        state.record_drain()
        log.info(
            f"server {server_id} draining",
            source=source,
            born=state.entry.born,
            entry_s=round(trio.current_time() - state.entry_updated_s, 3),
            in_flight=state.in_flight,
        )
        return True

    def record_pause(self, incarnation_key: str, length_s: float, source: str) -> bool:
        """Record that a server wants no requests of this node for a time.

        Parameters
        ----------
        incarnation_key : str
            Text form of the server's incarnation.
        length_s : float
            Length of the pause from now on, in seconds.
        source : str
            ``response``, or the node that received the response through this one.

        Returns
        -------
        is_longer : bool
            Whether the pause lasts longer than what the server asked for before.
        """
        state = self.by_id.get(server_id_from_text(incarnation_key))
        if state is None or state.incarnation_key != incarnation_key:
            return False
        now_s = trio.current_time()
        was_active = state.pause.is_active(now_s)
        if not state.pause.extend(now_s + length_s):
            return False
        PAUSES.add(source="response" if source == "response" else "peer")
        if not was_active:
            log.info(
                f"server {state.entry.id} paused",
                source=source,
                born=state.entry.born,
                length_s=round(length_s, 3),
                in_flight=state.in_flight,
            )
        return True

    def record_response(self, state: ServerState, request: Hashable) -> None:
        """Record that a server has responded to a request of its slow start."""
        if not state.pause.record_response(request):
            return
        log.info(
            f"server {state.entry.id} responds after its pause",
            born=state.entry.born,
            ended_ago_s=round(trio.current_time() - state.pause.until_s, 3),
            room=None if math.isinf(state.pause.room) else state.pause.room,
        )
        self.on_available(state.service)

    def record_early_drain(self, incarnation_key: str) -> None:
        """Remember the drain of a server whose entry may arrive later.

        Without a birth time it would also apply to a later incarnation.
        """
        if not ServerIncarnation.has_born(incarnation_key):
            return
        self.early_drains[incarnation_key] = None
        while len(self.early_drains) > MAX_EARLY_DRAINS:
            self.early_drains.popitem(last=False)

    def stated_drains(self) -> list[str]:
        """Return the incarnations that have stated in a response that they drain."""
        return [s.incarnation_key for s in self.by_id.values() if s.has_stated_drain]

    def record_version(self, state: ServerState, entry: RoutedServer) -> None:
        """Record a software version that changed in the entry of one incarnation.

        A server without a birth time may have started again; with one, its entries
        contradict each other. Streams that began there before are of either version.
        """
        before = state.entry.software_version
        if before == entry.software_version:
            return
        log.warning(
            f"server {entry.id} changed its software version",
            software_version=entry.software_version,
            software_version_before=before,
            born=entry.born,
        )
        self.versions.record_end(state)
        self.versions.record_change(state, entry)

    def remove(self, server_id: str, timeout_s: float | None = None) -> None:
        """Record that an entry was removed.

        During an outage of the store all entries expire together although their
        servers are running, and a node may not notice the outage. A server that has
        not announced a drain is therefore retained and used for a timeout.

        Parameters
        ----------
        server_id : str
            Id of the server.
        timeout_s : float, optional
            Timeout in seconds; `missing_timeout_s` by default.
        """
        state = self.by_id.get(server_id)
        if state is None:
            return
        if state.is_draining:
            self.drop(state)
        elif not state.is_missing:
            timeout_s = self.missing_timeout_s if timeout_s is None else timeout_s
            state.removal_deadline_s = trio.current_time() + timeout_s
            log.info(f"entry of server {server_id} missing", born=state.entry.born)

    def replace_all(
        self, entries: Iterable[RoutedServer], is_restored: bool = False
    ) -> dict[str, str]:
        """Apply a complete list.

        Parameters
        ----------
        entries : iterable of RoutedServer
            The servers in the list.
        is_restored : bool
            Whether the store has been restored from a copy since the list before.

        Returns
        -------
        reasons : dict of str to str
            Why entries were ignored, by id.
        """
        entries = list(entries)
        left = self.left_servers(entries) if is_restored else []
        unproven = self.unproven_servers()
        reasons = {entry.id: self.put(entry) for entry in entries}
        timeout_s = RESTORED_MISSING_TIMEOUT_S if is_restored else None
        listed = {entry.id for entry in entries}
        missing = [known_id for known_id in self.by_id if known_id not in listed]
        for server_id in missing:
            self.remove(server_id, timeout_s)
        for state, until_s in unproven:
            # It is listed as long as the entry that the restore brought back; only a
            # change shows that the server has written it again.
            state.unproven_until_s = until_s
        self.hold_back(left)
        self.is_listed = True
        return {server_id: reason for server_id, reason in reasons.items() if reason}

    def left_servers(self, entries: Iterable[RoutedServer]) -> list[str]:
        """Return the ids of entries that had been removed, here and in the store."""
        return [
            entry.id
            for entry in entries
            if (known := self.by_id.get(entry.id) or self.removed_states.get(entry.id))
            and known.incarnation == entry.incarnation
            and (known.is_removed or known.is_missing)
        ]

    def unproven_servers(self) -> list[tuple[ServerState, float]]:
        """Return the servers that are held back, and until when."""
        now_s = trio.current_time()
        return [
            (state, state.unproven_until_s)
            for state in self.by_id.values()
            if state.unproven_until_s > now_s
        ]

    def hold_back(self, names: Iterable[str]) -> None:
        """Hold back servers that had left before a restore brought back their entries.

        A server that lives writes its entry again, and else one whose entry outlasts
        the heartbeats that it would miss. A service without any other server uses them.
        """
        now_s = trio.current_time()
        held = [self.by_id[name] for name in names if name in self.by_id]
        services = {
            state.service
            for state in self.by_id.values()
            if state not in held and state.accepts_requests(now_s)
        }
        for state in held:
            if state.service in services:
                state.unproven_until_s = now_s + RESTORED_LAPSE_TIMEOUT_S
                log.info(f"server {state.entry.id} held back", reason="had left before")

    def drop(self, state: ServerState) -> None:
        """Send no more requests to a server whose entry was removed."""
        if not state.is_removed:
            log.info(f"server {state.entry.id} removed", born=state.entry.born)
        state.is_removed = True
        if state.in_flight == 0 and self.by_id.pop(state.entry.id, None):
            self.versions.record_end(state)
            self.unused_incarnations.append(state.incarnation)
            self.remember_removed(state)

    def remember_removed(self, state: ServerState) -> None:
        """Retain the last state of a removed id.

        Late entries of that incarnation can then be recognized. If only the entry had
        expired in an outage, the cached prefixes of the server are still known when it
        returns; otherwise prompts of its sessions would be routed to other servers and
        recomputed.
        """
        self.removed_states[state.entry.id] = state
        while len(self.removed_states) > MAX_REMOVED_STATES:
            self.removed_states.popitem(last=False)

    def clean_up(self) -> list[ServerIncarnation]:
        """Drop servers past their removal deadline; return the unused incarnations.

        Connections to the returned incarnations can be closed.
        """
        now_s = trio.current_time()
        for state in list(self.by_id.values()):
            if now_s >= state.removal_deadline_s:
                self.drop(state)
        unused, self.unused_incarnations = self.unused_incarnations, []
        return unused

    def pop_replaced(self) -> list[ServerIncarnation]:
        """Return and clear the incarnations that were replaced since the last call."""
        replaced, self.replaced_incarnations = self.replaced_incarnations, []
        return replaced

    def has_incarnation(self, incarnation_key: str) -> bool:
        """Return whether an incarnation is in the table, by its text form."""
        state = self.by_id.get(server_id_from_text(incarnation_key))
        return state is not None and state.incarnation_key == incarnation_key

    def of_service(self, name: str) -> list[ServerState]:
        """Return the servers of a service."""
        return [s for s in self.by_id.values() if s.entry.service == name]

    def has_available(self, service: str, excluded: Container[str]) -> bool:
        """Return whether a server of a service could run a request now.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : container of str
            Incarnations that do not count: they state a rate limit and may have no
            room, or have crashed.
        """
        now_s = trio.current_time()
        return any(
            state.accepts_requests(now_s)
            and state.pause.accepts(now_s)
            and now_s >= state.backoff_until_s
            and state.incarnation_key not in excluded
            for state in self.of_service(service)
        )

    def addresses(self) -> list[Address]:
        """Return the addresses of the servers that accept requests."""
        now_s = trio.current_time()
        return [s.address for s in self.by_id.values() if s.accepts_requests(now_s)]

    def may_relay(self, address: Address, carries_request: bool) -> bool:
        """Return whether this node may open a connection to a server for a peer.

        A request that goes through this node is one of this node to the server.
        """
        now_s = trio.current_time()
        return any(
            state.address == address
            and (
                state.may_get_requests(now_s)
                if carries_request
                else state.accepts_requests(now_s)
            )
            for state in self.by_id.values()
        )

    def in_flight(self, incarnation_key: str) -> int:
        """Return the requests of all nodes at an incarnation, 0 if it is unknown."""
        state = self.by_id.get(server_id_from_text(incarnation_key))
        if state is None or state.incarnation_key != incarnation_key:
            return 0
        return state.load()[0]

    # Results of attempts.

    def begin(self, state: ServerState, size: ModelInput | None, tokens: int) -> None:
        """Record that a request is sent to a server."""
        now_s = trio.current_time()
        if state.in_flight == 0:
            state.busy_since_s = now_s
        state.in_flight += 1
        state.pending_prefill_tokens += tokens
        self.has_unreported_load = True
        if size is not None:
            self.cached.record(state, size.segments[:-1])
            if not self.uses_hub_loads:
                self.recent_locations += [
                    (segment.id, state.incarnation_key)
                    for segment in size.segments[:-1]
                ]

    def record_first_event(
        self, state: ServerState, tokens: int, ahead: int, took_s: float
    ) -> None:
        """Record the first bytes of a response and update the prefill rate."""
        state.pending_prefill_tokens -= tokens
        self.has_unreported_load = True
        if tokens < RATE_MIN_TOKENS or took_s <= 0:
            return
        # The faster responses show the capacity of an engine; the others waited for
        # requests of other gateways, which this gateway does not see.
        self.rate_samples += 1
        step = RATE_STEP * self.rate
        is_faster = (tokens + ahead) / took_s > self.rate
        self.rate += step * RATE_QUANTILE if is_faster else -step * (1 - RATE_QUANTILE)

    def measured_rate(self) -> float | None:
        """Return the prefill rate in tokens per second, None while unknown."""
        return self.rate if self.rate_samples >= RATE_MIN_SAMPLES else None

    def end(self, state: ServerState, pending_prefill_tokens: int) -> None:
        """Record the end of a request."""
        state.in_flight -= 1
        state.pending_prefill_tokens -= pending_prefill_tokens
        self.has_unreported_load = True
        is_current = self.by_id.get(state.entry.id) is state
        if not is_current and state.in_flight == 0:
            self.unused_incarnations.append(state.incarnation)

    def record_success(self, state: ServerState) -> None:
        """Record an attempt whose response was complete."""
        state.failures = 0
        state.failure_share *= 1 - SMOOTHING_FACTOR

    def record_failure(self, state: ServerState, reason: str) -> None:
        """Record a failed attempt and back off from the server."""
        now_s = trio.current_time()
        state.failures += 1
        state.failure_share += SMOOTHING_FACTOR * (1 - state.failure_share)
        backoff_s = min(
            INITIAL_BACKOFF_S * 2 ** min(state.failures - 1, 6), MAX_BACKOFF_S
        )
        state.backoff_until_s = max(state.backoff_until_s, now_s + backoff_s)
        if state.failures in (1, 4, 16):
            log.warning(
                f"server {state.entry.id} failed",
                reason=reason,
                failures=state.failures,
                pause_s=backoff_s,
                born=state.entry.born,
            )

    # Reports to other nodes.

    def loads(self) -> dict[str, list[int]]:
        """Return own requests in flight and pending prefill tokens by incarnation."""
        return {
            state.incarnation_key: [state.in_flight, state.pending_prefill_tokens]
            for state in self.by_id.values()
            if state.in_flight
        }

    def pop_recent_locations(self, max_count: int) -> list[list[str]]:
        """Return and clear the latest locations of prompt segments."""
        locations, self.recent_locations = self.recent_locations[-max_count:], []
        return [list(location) for location in locations]

    # Locations of prompt segments.

    def record_location(self, segment_id: str, incarnation_key: str) -> None:
        """Record a prompt segment that another node sent to a current incarnation."""
        state = self.by_id.get(server_id_from_text(incarnation_key))
        if state is not None and state.incarnation_key == incarnation_key:
            self.cached.record(state, (PromptSegment(segment_id, 0),))
