"""Admission rules for model requests at the server chosen for them.

Load pattern: servers are reclaimed during a burst, and for some seconds prompts arrive
faster than the remaining servers can prefill them. An engine with free slots prefills
prompts in order of arrival, whatever their priority, so each admitted prompt delays all
behind it. Without a limit a backlog builds up, and all requests get their first event
late until it is processed. With a limit, admitted requests are on time, and refused
ones are retried when there is free capacity. Requests with the lowest priority are
refused first, since callers of urgent requests have the shortest timeouts.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "ADMISSIONS",
    "Admission",
    "AdmissionInput",
    "admission_retry_after_s",
    "admission_rule",
]

# Longest wait for queued prompts, as a multiple of the target time to the first event,
# at which a request of the lowest priority is admitted. Its own prompt does not count:
# a long one at an idle server is late whenever it is retried, and delays no other.
LOWEST_PRIORITY_MAX_WAITS = 0.65
# The same limit for higher priorities: most of the time for which such a caller waits.
HIGHER_PRIORITY_MAX_WAITS = 4.0
# Callers retry within a third of their remaining time, whatever Retry-After says.
MAX_RETRY_AFTER_SHARE = 1 / 3


@dataclass(slots=True)
class AdmissionInput:
    """Input of an admission rule.

    Attributes
    ----------
    is_lowest_priority : bool
        Whether no route to the service has requests of a lower priority.
    queued_prefill_s : float
        Estimated time in which the chosen server prefills its queued prompts: their
        prefill tokens divided by the prefill rate of the servers, in seconds.
    own_prefill_s : float
        Estimated prefill time of this request's own prompt, in seconds.
    target_s : float
        Target time to the first event, in seconds.
    remaining_s : float
        Time until the deadline of the caller, in seconds.
    """

    is_lowest_priority: bool
    queued_prefill_s: float
    own_prefill_s: float
    target_s: float
    remaining_s: float

    @property
    def wait_s(self) -> float:
        """Estimated time to the first event, in seconds."""
        return self.queued_prefill_s + self.own_prefill_s


Admission = Callable[[AdmissionInput], str]
ADMISSIONS: dict[str, Admission] = {}


def admission_rule(name: str) -> Callable[[Admission], Admission]:
    """Return a decorator that registers an admission rule under a name."""

    def register(rule: Admission) -> Admission:
        ADMISSIONS[name] = rule
        return rule

    return register


@admission_rule("all")
def admit_all(inputs: AdmissionInput) -> str:
    """Admit every request."""
    return ""


@admission_rule("in_time")
def refuse_past_deadline(inputs: AdmissionInput) -> str:
    """Refuse a request whose first event would come after its deadline.

    Examples
    --------
    >>> refuse_past_deadline(AdmissionInput(False, 3.4, 0.1, 0.5, 3.0))
    'the first event would come too late'
    >>> refuse_past_deadline(AdmissionInput(False, 2.4, 0.1, 0.5, 3.0))
    ''
    """
    if inputs.wait_s > inputs.remaining_s:
        return "the first event would come too late"
    return ""


@admission_rule("by_rank")
def limit_wait_by_priority(inputs: AdmissionInput) -> str:
    """Refuse a request that cannot meet its deadline or the limit of its priority.

    Examples
    --------
    >>> limit_wait_by_priority(AdmissionInput(True, 0.5, 0.1, 0.6, 15.0))
    'the servers have more prompts than they can read in time'
    >>> limit_wait_by_priority(AdmissionInput(False, 0.7, 0.1, 0.5, 3.0))
    ''
    >>> limit_wait_by_priority(AdmissionInput(True, 0.0, 0.8, 0.6, 15.0))
    ''
    """
    reason = refuse_past_deadline(inputs)
    if reason or inputs.target_s <= 0:
        return reason
    max_waits = (
        LOWEST_PRIORITY_MAX_WAITS
        if inputs.is_lowest_priority
        else HIGHER_PRIORITY_MAX_WAITS
    )
    if inputs.queued_prefill_s > max_waits * inputs.target_s:
        return "the servers have more prompts than they can read in time"
    return ""


def admission_retry_after_s(inputs: AdmissionInput) -> float:
    """Return the time until the queue is short enough again, in seconds.

    It is limited to the time within which callers retry in any case.

    Examples
    --------
    >>> admission_retry_after_s(AdmissionInput(True, 1.5, 0.1, 0.5, 15.0))
    1.0
    >>> admission_retry_after_s(AdmissionInput(True, 9.5, 0.1, 0.5, 15.0))
    5.0
    """
    drained_s = max(inputs.queued_prefill_s - inputs.target_s, 0.0)
    return min(drained_s, inputs.remaining_s * MAX_RETRY_AFTER_SHARE)
