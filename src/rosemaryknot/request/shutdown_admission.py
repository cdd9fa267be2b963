"""Admission of requests during a graceful shutdown.

Load pattern: the nodes of a zone shut down one after the other. The load balancer needs
some seconds to remove a node from its rotation. While most nodes of a zone are down, it
sends callers to all of them, also to those that are shutting down. The load moves to
the remaining nodes, and the servers' queues grow. A response that is still in progress
at the end of the shutdown would be aborted, whereas a refused request has not run, and
its caller can retry at another node within half a second.

Only a deadline limits the end of a response, whatever its length and the load: either
the request's own deadline, or a shorter one that is set here. The durations of recent
responses guarantee nothing, as the next response may be longer or slower than all of
them.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rosemaryknot.values.gateway_responses import RESPONSE_RESERVE_S, ShutdownSchedule

__all__ = [
    "SHUTDOWN_ADMISSION_RULES",
    "DurationEstimate",
    "RefusedInShutdown",
    "ShutdownAdmissionRule",
    "ShutdownInput",
    "AdmittedInShutdown",
    "admission_rule",
]

OWN_DEADLINE = "the request's own deadline"
SHORTENED_DEADLINE = "a deadline shortened to the end of the shutdown"
RECENT_DURATIONS = "durations of recent responses"
MAY_OUTLAST_SHUTDOWN = "stops before the answer would end"


@dataclass(slots=True, frozen=True)
class DurationEstimate:
    """Estimated duration of a response.

    Attributes
    ----------
    within_s : float
        Time within which similar recent responses completed, in seconds.
    answers : int
        Number of responses from which the estimate is computed.
    age_s : float or None
        Time since the last of them, in seconds, if known.
    """

    within_s: float
    answers: int
    age_s: float | None


@dataclass(slots=True, frozen=True)
class ShutdownInput:
    """Input of an admission rule; points in time are in trio time.

    Attributes
    ----------
    now_s : float
        Current time.
    stop : ShutdownSchedule
        Times of the signal, of the removal from the load balancer, and of the end of
        the shutdown.
    deadline_s : float
        The request's own deadline.
    estimate : DurationEstimate
        Estimated duration of the response.
    may_shorten_deadline : bool
        Whether the deadline may be shortened. This requires that the response is sent
        in one write, so that an error response can replace it until then, and that
        the request may be repeated.
    is_alone : bool
        Whether no other node of the zone is known at which callers could retry.
    """

    now_s: float
    stop: ShutdownSchedule
    deadline_s: float
    estimate: DurationEstimate
    may_shorten_deadline: bool = False
    is_alone: bool = False

    @property
    def ends_s(self) -> float:
        """Time by which the last responses must start to be sent."""
        return self.stop.ends_s - RESPONSE_RESERVE_S

    @property
    def has_earlier_deadline(self) -> bool:
        """Whether the request's own deadline is before the end of the shutdown."""
        return self.deadline_s <= self.ends_s

    @property
    def min_retry_after_s(self) -> float:
        """Time after which a retry can reach another node, in seconds.

        A retry usually reaches another node of the zone. If there is none, it would
        reach this node and be refused again, until the load balancer has removed the
        node.
        """
        return max(0.0, self.stop.deregistered_s - self.now_s) if self.is_alone else 0.0

    @property
    def is_expected_in_time(self) -> bool:
        """Whether the response is expected to complete in time."""
        return self.now_s + self.estimate.within_s < self.ends_s


@dataclass(slots=True, frozen=True)
class AdmittedInShutdown:
    """Decision to admit a request.

    Attributes
    ----------
    basis : str
        What ensures, or lets expect, that the response completes in time.
    deadline_s : float
        Deadline of the request, in trio time.
    """

    basis: str
    deadline_s: float


@dataclass(slots=True, frozen=True)
class RefusedInShutdown:
    """Decision to refuse a request, which has not run.

    Attributes
    ----------
    min_retry_after_s : float
        Minimum time after which the caller should retry, in seconds.
    reason : str
        Reason of the refusal.
    """

    min_retry_after_s: float = 0.0
    reason: str = MAY_OUTLAST_SHUTDOWN


Outcome = AdmittedInShutdown | RefusedInShutdown
ShutdownAdmissionRule = Callable[[ShutdownInput], Outcome]
SHUTDOWN_ADMISSION_RULES: dict[str, ShutdownAdmissionRule] = {}


def admission_rule(
    name: str,
) -> Callable[[ShutdownAdmissionRule], ShutdownAdmissionRule]:
    """Register an admission rule under a name."""

    def register(rule: ShutdownAdmissionRule) -> ShutdownAdmissionRule:
        SHUTDOWN_ADMISSION_RULES[name] = rule
        return rule

    return register


@admission_rule("take_all")
def admit_all(inputs: ShutdownInput) -> Outcome:
    """Admit every request."""
    return AdmittedInShutdown("nothing", inputs.deadline_s)


@admission_rule("estimate")
def by_estimate(inputs: ShutdownInput) -> Outcome:
    """Admit requests that recent responses suggest will complete in time.

    Examples
    --------
    >>> stop = ShutdownSchedule(0.0, 2.6, 7.4)
    >>> estimate = DurationEstimate(2.9, 30, 0.1)
    >>> by_estimate(ShutdownInput(4.28, stop, 19.28, estimate)).basis
    'durations of recent responses'
    """
    if inputs.now_s + inputs.estimate.within_s < inputs.stop.ends_s:
        return AdmittedInShutdown(RECENT_DURATIONS, inputs.deadline_s)
    return RefusedInShutdown(inputs.min_retry_after_s)


@admission_rule("bound")
def by_deadline(inputs: ShutdownInput) -> Outcome:
    """Admit only requests with a deadline before the end of the shutdown.

    The deadline is shortened for a response that is sent in one write: the caller
    receives either the complete response or an error response.

    Examples
    --------
    >>> stop = ShutdownSchedule(0.0, 2.6, 7.4)
    >>> estimate = DurationEstimate(2.9, 30, 0.1)
    >>> by_deadline(ShutdownInput(4.28, stop, 19.28, estimate))
    RefusedInShutdown(min_retry_after_s=0.0, reason='stops before the answer would end')
    >>> by_deadline(ShutdownInput(4.28, stop, 7.28, estimate))
    AdmittedInShutdown(basis="the request's own deadline", deadline_s=7.28)
    """
    if inputs.has_earlier_deadline:
        return AdmittedInShutdown(OWN_DEADLINE, inputs.deadline_s)
    if inputs.may_shorten_deadline and inputs.is_expected_in_time:
        return AdmittedInShutdown(SHORTENED_DEADLINE, inputs.ends_s)
    return RefusedInShutdown(inputs.min_retry_after_s)


@admission_rule("bound_once_left_out")
def by_deadline_once_unrouted(inputs: ShutdownInput) -> Outcome:
    """Admit by recent durations until the load balancer has removed the node.

    Until then nearly all callers are still sent to this node, and most of the shutdown
    period remains. Without recent responses, only a deadline admits a request.

    Examples
    --------
    >>> stop = ShutdownSchedule(0.0, 2.6, 7.4)
    >>> estimate = DurationEstimate(2.9, 30, 0.1)
    >>> by_deadline_once_unrouted(ShutdownInput(2.0, stop, 17.0, estimate)).basis
    'durations of recent responses'
    >>> unknown = DurationEstimate(1.0, 0, 0.0)
    >>> by_deadline_once_unrouted(ShutdownInput(2.0, stop, 17.0, unknown))
    RefusedInShutdown(min_retry_after_s=0.0, reason='stops before the answer would end')
    >>> by_deadline_once_unrouted(ShutdownInput(4.28, stop, 19.28, estimate))
    RefusedInShutdown(min_retry_after_s=0.0, reason='stops before the answer would end')
    """
    outcome = by_deadline_and_estimate(inputs)
    if (
        isinstance(outcome, AdmittedInShutdown)
        or inputs.now_s >= inputs.stop.deregistered_s
    ):
        return outcome
    if inputs.estimate.answers and inputs.is_expected_in_time:
        return AdmittedInShutdown(RECENT_DURATIONS, inputs.deadline_s)
    return outcome


@admission_rule("bound_and_estimate")
def by_deadline_and_estimate(inputs: ShutdownInput) -> Outcome:
    """Admit only by deadline, and only if recent durations suggest completion in time.

    A stream whose deadline comes first would otherwise be aborted at its deadline.

    Examples
    --------
    >>> stop = ShutdownSchedule(0.0, 2.6, 7.4)
    >>> slow, quick = DurationEstimate(4.0, 80, 0.1), DurationEstimate(1.5, 80, 0.1)
    >>> by_deadline_and_estimate(ShutdownInput(4.0, stop, 6.0, slow)).reason
    'stops before the answer would end'
    >>> by_deadline_and_estimate(ShutdownInput(4.0, stop, 6.0, quick)).basis
    "the request's own deadline"
    """
    if inputs.estimate.answers and not inputs.is_expected_in_time:
        return RefusedInShutdown(inputs.min_retry_after_s)
    return by_deadline(inputs)
