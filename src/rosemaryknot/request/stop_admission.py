"""Whether a request is taken while a node ends a planned stop.

Load pattern: nodes of a zone stop one after the other. The balancer needs some seconds
to leave one out, and while most of a zone's nodes are away it sends callers to all of
them, also to those that stop. A zone that stops sends its load to the nodes that are
left, and the servers' queues grow. Past the end of the stop a started answer would be
cut; a refused request has not run, and its caller comes back to another node within
half a second.

What bounds an answer's end, whatever its length and the load, is its request's own time
limit, or a shorter one that is set here. What answers of late took bounds nothing: the
next one may be longer than all of them, or slower.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rosemaryknot.values.gateway_answers import ANSWER_S, PlannedStop

__all__ = [
    "STOP_ADMISSIONS",
    "Likely",
    "RefusedInStop",
    "StopAdmission",
    "StopInput",
    "TakenInStop",
    "stop_admission",
]

OWN_LIMIT = "its own time limit"
SHORTER_LIMIT = "a time limit cut to the stop's end"
BY_ESTIMATE = "answers of late"
NOT_BOUND = "stops before the answer would end"


@dataclass(slots=True, frozen=True)
class Likely:
    """How long an answer takes most likely.

    Attributes
    ----------
    within_s : float
        Time within which such answers of late have ended, in seconds.
    answers : int
        How many answers it rests on.
    age_s : float or None
        Since the last of them, in seconds, where that is known.
    """

    within_s: float
    answers: int
    age_s: float | None


@dataclass(slots=True, frozen=True)
class StopInput:
    """What is decided from; times are trio's, in seconds.

    Attributes
    ----------
    now_s : float
        Now.
    stop : PlannedStop
        When the signal came, callers are sent elsewhere, and answers are cut.
    limit_s : float
        When the request's own time limit ends it.
    likely : Likely
        How long its answer takes most likely.
    may_end_early : bool
        Whether its time limit may be cut: its answer goes out in one write, so that
        until then an honest failure can take its place, and it may run again.
    is_alone : bool
        Whether no other node of the zone is known, to which callers could come back.
    """

    now_s: float
    stop: PlannedStop
    limit_s: float
    likely: Likely
    may_end_early: bool = False
    is_alone: bool = False

    @property
    def ends_s(self) -> float:
        """When the last answers have to begin to go out."""
        return self.stop.ends_s - ANSWER_S

    @property
    def is_bound(self) -> bool:
        """Whether its own time limit ends it before the stop does."""
        return self.limit_s <= self.ends_s

    @property
    def return_s(self) -> float:
        """When a caller may find another node, from now.

        Callers who come back reach another node of the zone. Where there is none they
        would meet this one again and be refused for good, until the balancer has left
        it out.
        """
        return max(0.0, self.stop.left_out_s - self.now_s) if self.is_alone else 0.0

    @property
    def is_likely_whole(self) -> bool:
        """Whether answers of late would have ended in time."""
        return self.now_s + self.likely.within_s < self.ends_s


@dataclass(slots=True, frozen=True)
class TakenInStop:
    """Taken.

    Attributes
    ----------
    bound : str
        What its end rests on.
    deadline_s : float
        When it is given up, in trio time.
    """

    bound: str
    deadline_s: float


@dataclass(slots=True, frozen=True)
class RefusedInStop:
    """Refused; it has not run.

    Attributes
    ----------
    return_s : float
        Least time until its caller should come back, in seconds.
    reason : str
        Why.
    """

    return_s: float = 0.0
    reason: str = NOT_BOUND


Outcome = TakenInStop | RefusedInStop
StopAdmission = Callable[[StopInput], Outcome]
STOP_ADMISSIONS: dict[str, StopAdmission] = {}


def stop_admission(name: str) -> Callable[[StopAdmission], StopAdmission]:
    """Register a way to decide under a name."""

    def register(way: StopAdmission) -> StopAdmission:
        STOP_ADMISSIONS[name] = way
        return way

    return register


@stop_admission("take_all")
def take_all(given: StopInput) -> Outcome:
    """Refuse nothing."""
    return TakenInStop("nothing", given.limit_s)


@stop_admission("estimate")
def by_estimate(given: StopInput) -> Outcome:
    """Take what answers of late let expect to end in time.

    Examples
    --------
    >>> stop = PlannedStop(0.0, 2.6, 7.4)
    >>> by_estimate(StopInput(4.28, stop, 19.28, Likely(2.9, 30, 0.1))).bound
    'answers of late'
    """
    if given.now_s + given.likely.within_s < given.stop.ends_s:
        return TakenInStop(BY_ESTIMATE, given.limit_s)
    return RefusedInStop(given.return_s)


@stop_admission("bound")
def by_bound(given: StopInput) -> Outcome:
    """Take only what a time limit ends before the stop does.

    An answer that goes out in one write may get a shorter limit: it ends whole, or
    with an honest failure.

    Examples
    --------
    >>> stop = PlannedStop(0.0, 2.6, 7.4)
    >>> by_bound(StopInput(4.28, stop, 19.28, Likely(2.9, 30, 0.1)))
    RefusedInStop(return_s=0.0, reason='stops before the answer would end')
    >>> by_bound(StopInput(4.28, stop, 7.28, Likely(2.9, 30, 0.1)))
    TakenInStop(bound='its own time limit', deadline_s=7.28)
    """
    if given.is_bound:
        return TakenInStop(OWN_LIMIT, given.limit_s)
    if given.may_end_early and given.is_likely_whole:
        return TakenInStop(SHORTER_LIMIT, given.ends_s)
    return RefusedInStop(given.return_s)


@stop_admission("bound_once_left_out")
def by_bound_once_left_out(given: StopInput) -> Outcome:
    """Take by answers of late until the balancer has left the node out.

    Nearly all callers are still sent here until then, and most of the stop is left.
    Where nothing is known yet, only a time limit counts.

    Examples
    --------
    >>> stop = PlannedStop(0.0, 2.6, 7.4)
    >>> by_bound_once_left_out(StopInput(2.0, stop, 17.0, Likely(2.9, 30, 0.1))).bound
    'answers of late'
    >>> by_bound_once_left_out(StopInput(2.0, stop, 17.0, Likely(1.0, 0, 0.0)))
    RefusedInStop(return_s=0.0, reason='stops before the answer would end')
    >>> by_bound_once_left_out(StopInput(4.28, stop, 19.28, Likely(2.9, 30, 0.1)))
    RefusedInStop(return_s=0.0, reason='stops before the answer would end')
    """
    outcome = by_bound_and_estimate(given)
    if isinstance(outcome, TakenInStop) or given.now_s >= given.stop.left_out_s:
        return outcome
    if given.likely.answers and given.is_likely_whole:
        return TakenInStop(BY_ESTIMATE, given.limit_s)
    return outcome


@stop_admission("bound_and_estimate")
def by_bound_and_estimate(given: StopInput) -> Outcome:
    """Take only what a time limit ends, and nothing that answers of late rule out.

    A stream whose own limit comes first would be broken off at that limit.

    Examples
    --------
    >>> stop = PlannedStop(0.0, 2.6, 7.4)
    >>> late = by_bound_and_estimate(StopInput(4.0, stop, 6.0, Likely(4.0, 80, 0.1)))
    >>> late.reason
    'stops before the answer would end'
    >>> by_bound_and_estimate(StopInput(4.0, stop, 6.0, Likely(1.5, 80, 0.1))).bound
    'its own time limit'
    """
    if given.likely.answers and not given.is_likely_whole:
        return RefusedInStop(given.return_s)
    return by_bound(given)
