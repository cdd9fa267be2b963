"""Copies of accepted model requests that other nodes relay, bounded."""

from dataclasses import dataclass

import trio

from rosemaryknot.values.standby import StandbyCopy, StandbyUpdate

__all__ = ["HeldCopy", "StandbyTable"]

MAX_COPIES = 4096
MAX_BYTES = 64 * 1024 * 1024
KEEP_ENDED_S = 120.0
TOKEN_BYTES = 56
HANDED_OVER = "running"
"""Outcome at its relay of a request that another entry goes on with."""

CopyKey = tuple[str, str]


@dataclass(slots=True)
class HeldCopy:
    """One copy.

    Attributes
    ----------
    copy : StandbyCopy
        The request, with the text as far as it came.
    size : int
        Bytes counted for it.
    deadline_s : float
        When the caller gives it up, in trio time.
    heard_s : float
        When its relay last spoke, in trio time.
    outcome, reason, detail : str
        How it ended; empty while it runs.
    ended_s : float
        When it ended, in trio time.
    is_wanted : bool
        Whether a pick-up asked for it.
    """

    copy: StandbyCopy
    size: int
    deadline_s: float
    heard_s: float
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    ended_s: float = 0.0
    is_wanted: bool = False

    @property
    def key(self) -> CopyKey:
        """Customer and id."""
        return self.copy.customer, self.copy.request

    @property
    def relay(self) -> tuple[str, int]:
        """Node and incarnation of the entry that relays it."""
        return self.copy.relay, self.copy.incarnation


class StandbyTable:
    """Copies by customer and id, bounded by count and bytes.

    A copy is kept until its end and `keep_ended_s` longer, so that an answer can be
    picked up though its relay dies right after the end.

    Parameters
    ----------
    max_copies : int
        Most copies.
    max_bytes : int
        Most bytes, by estimate.
    keep_ended_s : float
        How long a copy outlives the end of its request, in seconds.
    """

    def __init__(
        self,
        max_copies: int = MAX_COPIES,
        max_bytes: int = MAX_BYTES,
        keep_ended_s: float = KEEP_ENDED_S,
    ) -> None:
        self.max_copies = max_copies
        self.max_bytes = max_bytes
        self.keep_ended_s = keep_ended_s
        self.copies: dict[CopyKey, HeldCopy] = {}
        self.size = 0

    def add(self, copy: StandbyCopy) -> bool:
        """Keep a copy; tell whether there was room.

        A copy of the same lineage that holds more text is kept as it is.
        """
        key = copy.customer, copy.request
        now_s = trio.current_time()
        known = self.copies.get(key)
        if known is not None and known.copy.lineage == copy.lineage:
            if len(known.copy.tokens) > len(copy.tokens):
                copy.tokens = known.copy.tokens
        size = len(copy.body) + TOKEN_BYTES * copy.max_tokens
        self.remove(key)
        self.purge(now_s)
        if len(self.copies) >= self.max_copies or self.size + size > self.max_bytes:
            return False
        self.copies[key] = HeldCopy(copy, size, now_s + copy.left_s, now_s)
        self.size += size
        return True

    def apply(self, update: StandbyUpdate) -> bool:
        """Take in what is new of one copy; tell whether the copy is held.

        Text is appended only where it joins on without a gap.
        """
        held = self.copies.get((update.customer, update.request))
        if held is None:
            return False
        if update.outcome == HANDED_OVER:
            self.remove(held.key)
            return True
        text = held.copy.tokens
        if not 0 <= update.offset <= len(text):
            return False
        text += update.tokens[len(text) - update.offset :]
        held.copy.server = update.server or held.copy.server
        if update.outcome and not held.outcome:
            held.outcome, held.reason = update.outcome, update.reason
            held.detail = update.detail
            held.ended_s = trio.current_time()
        return True

    def note_heard(self, relay: tuple[str, int]) -> None:
        """Note that an entry spoke."""
        now_s = trio.current_time()
        for held in self.copies.values():
            if held.relay == relay:
                held.heard_s = now_s

    def silent(self, bound_s: float) -> dict[tuple[str, int], list[HeldCopy]]:
        """Return the running copies whose relay has been silent, by relay."""
        oldest_s = trio.current_time() - bound_s
        found: dict[tuple[str, int], list[HeldCopy]] = {}
        for held in self.copies.values():
            if not held.outcome and held.heard_s <= oldest_s:
                found.setdefault(held.relay, []).append(held)
        return found

    def get(self, customer: str, request: str) -> HeldCopy | None:
        """Return a customer's own copy, or None."""
        self.purge(trio.current_time())
        return self.copies.get((customer, request))

    def remove(self, key: CopyKey) -> None:
        """Drop a copy, if it is there."""
        held = self.copies.pop(key, None)
        if held is not None:
            self.size -= held.size

    def purge(self, now_s: float) -> None:
        """Drop what nobody can want any more."""
        for key, held in list(self.copies.items()):
            over_s = held.ended_s if held.outcome else held.deadline_s
            if now_s > over_s + self.keep_ended_s:
                self.remove(key)
