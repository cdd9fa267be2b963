"""Answers that a node owes its callers, and the lines that name those it cuts."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge

__all__ = ["OWED", "Cause", "OwedAnswer", "OwedAnswers", "Phase", "StopCuts"]

# Answers that the end of a stop names before its last line; the others are named as
# their connections end. Fewer than the lines that are held at a process's end.
MAX_NAMED = 250

CUT = counter("caller_answers_cut_total", "Answers that were not given, by cause.")
OWED = gauge("caller_answers_owed", "Requests read in part or whole, not answered.")

log = logger("callers")


class Phase(StrEnum):
    """How far a request is."""

    HEAD = "reading its head"
    BODY = "reading its body"
    ANSWER = "answering"
    DELIVERY = "delivering a whole answer"
    REFUSAL = "refusing it unread"


class Cause(StrEnum):
    """Why an answer is not given."""

    STOP = "planned stop"
    CALLER_LEFT = "the caller left"
    CALLER_STALLED = "the caller stood still"
    PROCESS_ENDS = "the process ends"


def nothing_known() -> dict[str, object]:
    """Return what a line tells of a request of which nothing is known."""
    return {"request": ""}


@dataclass(slots=True, eq=False)
class OwedAnswer:
    """One request of a caller, from its first byte to the end of its answer.

    Attributes
    ----------
    since_s : float
        When it was taken, in trio time: its head was there.
    phase : Phase
        How far it is.
    cause : Cause
        Why it would end now.
    sent_bytes : int
        Of the answer's body that went out.
    is_whole : bool
        Whether the answer went out whole.
    is_told : bool
        Whether a line tells how it ended.
    explain : callable
        Returns the fields of its line, among them ``request``.
    """

    since_s: float
    phase: Phase = Phase.HEAD
    cause: Cause = Cause.PROCESS_ENDS
    sent_bytes: int = 0
    is_whole: bool = False
    is_told: bool = False
    explain: Callable[[], dict[str, object]] = nothing_known


@dataclass(slots=True)
class StopCuts:
    """What is still owed when a planned stop ends the connections.

    Attributes
    ----------
    cut_off : int
        Answers that are cut; a line names each.
    delivering : int
        Whole answers on their way out, which get a moment longer.
    heads_unread : int
        Connections with a part of a head, of which nobody knows what they ask for.
    """

    cut_off: int = 0
    delivering: int = 0
    heads_unread: int = 0


@dataclass(slots=True)
class OwedAnswers:
    """The answers that the connections of a listener owe.

    Attributes
    ----------
    stop_began_s : float
        When a planned stop began, in trio time; infinite without one.
    all : set of OwedAnswer
        Those not ended.
    """

    stop_began_s: float = math.inf
    all: set[OwedAnswer] = field(default_factory=set)

    def begin(self) -> OwedAnswer:
        """Note the first bytes of a request."""
        owed = OwedAnswer(trio.current_time())
        self.all.add(owed)
        return owed

    def end(self, owed: OwedAnswer) -> None:
        """Note the end of a request, and name it where no line tells of it yet."""
        self.all.discard(owed)
        if owed.phase is not Phase.HEAD:
            self.tell(owed)

    def cut(self) -> StopCuts:
        """Name the answers that the end of a planned stop cuts.

        On-call asks by the id that the caller has; told only after the connections
        were cancelled, a line could come after the kill.
        """
        cuts = StopCuts()
        for owed in tuple(self.all):
            owed.cause = Cause.STOP
            if owed.is_told or owed.is_whole:
                continue
            if owed.phase is Phase.HEAD:
                cuts.heads_unread += 1
            elif owed.phase is Phase.DELIVERY:
                cuts.delivering += 1
            else:
                cuts.cut_off += 1
                if cuts.cut_off <= MAX_NAMED:
                    self.tell(owed)
        return cuts

    def tell(self, owed: OwedAnswer) -> None:
        """Write how a request ended, once."""
        if owed.is_told:
            return
        owed.is_told = True
        if not owed.is_whole:
            CUT.add(cause=owed.cause)
        after_stop_s = owed.since_s - self.stop_began_s
        log.info(
            "ended after its whole answer" if owed.is_whole else "cut off",
            cause=owed.cause,
            phase=owed.phase,
            taken_after_stop_s=seconds_or_none(after_stop_s),
            ran_s=round(trio.current_time() - owed.since_s, 3),
            sent_bytes=owed.sent_bytes,
            **owed.explain(),
        )


def seconds_or_none(value_s: float) -> float | None:
    """Return seconds for a line, None where there are none.

    Examples
    --------
    >>> seconds_or_none(1.23456), seconds_or_none(-math.inf)
    (1.235, None)
    """
    return round(value_s, 3) if math.isfinite(value_s) else None
