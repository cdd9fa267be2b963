"""Rules on attempts of requests during which backend servers crashed.

Load pattern: a request crashes each server that runs it, and callers repeat it at any
node. Each repeat is a new request with attempts of its own, so without a limit on the
request itself the fleet loses servers as fast as callers repeat it, with all streams
that run on them. The other requests on a crashed server cannot be told from the cause
by that crash, and most of them are repeated too.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "CRASH_RULES",
    "Allowed",
    "Barred",
    "CrashInput",
    "CrashRule",
    "crash_rule",
]

# From this number of crashes on, a request runs once at a time at each node, and is not
# attempted again after a failure. Its repeats wait for that one attempt, so that a
# popular request is not refused.
SUSPECT_CRASHES = 2
# How long a request is refused before its trial. Attempts in progress have ended by
# then, and if one of them was complete, the request is cleared without a trial.
TRIAL_DELAY_S = 30.0
# The same if all servers crashed in the same moment, perhaps of another cause.
SIMULTANEOUS_TRIAL_DELAY_S = 5.0


@dataclass(slots=True)
class CrashInput:
    """Input of a rule.

    Attributes
    ----------
    crashes : int
        Number of servers that crashed while the request was running there.
    limit : int
        Number of crashes from which on the request is refused.
    has_completed : bool
        Whether the request completed before the first of the crashes.
    has_waited : bool
        Whether it has waited for other attempts as long as it may.
    running : int
        Attempts of the request that are in progress at this node.
    has_run : bool
        Whether an earlier attempt for the same caller may have run.
    is_simultaneous : bool
        Whether the servers crashed at the same time, perhaps of another cause.
    is_tried : bool
        Whether the request has had its trial.
    is_trial_node : bool
        Whether this node makes the trial.
    refused_for_s : float
        Time since the last crash, in seconds.
    """

    crashes: int
    limit: int
    has_completed: bool = False
    has_waited: bool = False
    running: int = 0
    has_run: bool = False
    is_simultaneous: bool = False
    is_tried: bool = False
    is_trial_node: bool = False
    refused_for_s: float = 0.0


@dataclass(slots=True)
class Allowed:
    """The attempt is allowed.

    Attributes
    ----------
    is_trial : bool
        Whether it is the trial of a request that is refused otherwise.
    """

    is_trial: bool = False


@dataclass(slots=True)
class Barred:
    """The attempt is not allowed.

    Attributes
    ----------
    reason : str
        Explanation for people and logs.
    is_temporary : bool
        Whether attempts that are in progress may change the decision soon.
    until_s : float
        When it changes in any case, in trio time.
    """

    reason: str
    is_temporary: bool = False
    until_s: float = math.inf


CrashRule = Callable[[CrashInput], Allowed | Barred]
CRASH_RULES: dict[str, CrashRule] = {}


def crash_rule(name: str) -> Callable[[CrashRule], CrashRule]:
    """Register a rule."""

    def register(rule: CrashRule) -> CrashRule:
        CRASH_RULES[name] = rule
        return rule

    return register


@crash_rule("unlimited")
def allow_all(inputs: CrashInput) -> Allowed | Barred:
    """Allow every attempt; for comparisons."""
    return Allowed()


@crash_rule("limited_servers")
def bar_after_crashes(inputs: CrashInput) -> Allowed | Barred:
    """Bar a request after a number of crashes, except for one trial.

    Examples
    --------
    >>> bar_after_crashes(CrashInput(crashes=1, limit=3, has_run=True))
    Allowed(is_trial=False)
    >>> bar_after_crashes(CrashInput(crashes=2, limit=3))
    Allowed(is_trial=False)
    >>> bar_after_crashes(CrashInput(crashes=2, limit=3, running=1))
    Barred(reason='2 servers crashed while running it', is_temporary=True, until_s=inf)
    >>> bar_after_crashes(CrashInput(crashes=3, limit=3))
    Barred(reason='3 servers crashed while running it', is_temporary=False, until_s=inf)
    """
    reason = f"{inputs.crashes} servers crashed while running it"
    if inputs.crashes < SUSPECT_CRASHES:
        return Allowed()
    if inputs.crashes < inputs.limit:
        if inputs.has_completed and inputs.has_waited:
            # The attempts that it waited for may be slow for other reasons.
            return Allowed()
        if inputs.has_run or inputs.running:
            return Barred(reason, is_temporary=True)
        return Allowed()
    return Allowed(is_trial=True) if may_try(inputs) else Barred(reason)


def may_try(inputs: CrashInput) -> bool:
    """Return whether a request that is refused may have its trial now.

    A request may be running on several servers that another one crashes, or that a rack
    takes with it, and is then refused although it is not the cause. If none of its
    attempts survives, only a trial shows that.
    """
    delay_s = TRIAL_DELAY_S
    if inputs.is_simultaneous:
        delay_s = SIMULTANEOUS_TRIAL_DELAY_S
    return (
        not inputs.is_tried
        and inputs.is_trial_node
        and not inputs.has_run
        and not inputs.running
        and inputs.refused_for_s >= delay_s
    )
