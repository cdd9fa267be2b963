"""Rules on requests with prompt segments that are suspected of crashing servers.

Load pattern: see `rosemaryknot.process.segment_suspicions`. A suspected segment is
first observed: requests with it wait, while those that were sent before either get past
the beginning of their responses or end their servers. One request is sent meanwhile,
since it may be that no server is left with any. Then the segment is refused. Trials
find out whether it still crashes servers, or never did.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from rosemaryknot.process.segment_suspicions import SUSPECT_CRASHES, WATCHED_CRASHES
from rosemaryknot.request.crash_rules import Allowed, Barred

__all__ = ["SEGMENT_RULES", "SegmentInput", "SegmentRule", "segment_rule"]

# Time from the last crash or trial to the next trial, by the number of trials so far;
# the last one repeats.
TRIAL_DELAYS_S = (2.0, 15.0, 60.0, 300.0)
# The same for a segment that may have been refused in place of another one. If it is
# the cause, a trial shows that, and it is not tried in this way again.
SHADOWED_TRIAL_DELAY_S = 0.5
# A segment that one node alone tries meets few requests there. From this multiple of
# the delay on any node makes the trial.
ANY_NODE_FACTOR = 3.0


@dataclass(slots=True)
class SegmentInput:
    """Input of a rule: the worst of the segments of a request.

    Attributes
    ----------
    segment : str
        Id of the segment.
    crashes : int
        Crashes that count against it.
    is_refused : bool
        Whether it has been observed for long enough to be refused.
    observed_until_s : float
        Until when it is observed, in trio time.
    refused_segments : int
        Number of refused segments of the request.
    has_run : bool
        Whether an earlier attempt for the same caller may have run.
    trials : int
        Trials that the segment has had.
    tried_ago_s : float
        Time since the last one began, in seconds.
    idle_s : float
        Time since its last crash or trial, in seconds.
    is_trial_node : bool
        Whether this node makes its trials.
    is_reserved : bool
        Whether another request here may be about to begin a trial.
    is_shadowed : bool
        Whether another refused segment, which this request does not have, was present
        at all of its crashes.
    is_restored : bool
        Whether the nodes that refused it have ended, and no trial is known since then.
    """

    segment: str
    crashes: int
    is_refused: bool = False
    observed_until_s: float = math.inf
    refused_segments: int = 0
    has_run: bool = False
    trials: int = 0
    tried_ago_s: float = math.inf
    idle_s: float = 0.0
    is_trial_node: bool = False
    is_reserved: bool = False
    is_shadowed: bool = False
    is_restored: bool = False


SegmentRule = Callable[[SegmentInput], Allowed | Barred]
SEGMENT_RULES: dict[str, SegmentRule] = {}


def segment_rule(name: str) -> Callable[[SegmentRule], SegmentRule]:
    """Register a rule."""

    def register(rule: SegmentRule) -> SegmentRule:
        SEGMENT_RULES[name] = rule
        return rule

    return register


@segment_rule("unlimited")
def allow_all(inputs: SegmentInput) -> Allowed | Barred:
    """Allow every attempt; for comparisons."""
    return Allowed()


@segment_rule("observed")
def observe_then_refuse(inputs: SegmentInput) -> Allowed | Barred:
    """Let requests wait while their segment is observed, then refuse them.

    Examples
    --------
    >>> observe_then_refuse(SegmentInput("5c1e", crashes=2))
    Allowed(is_trial=False)
    >>> observe_then_refuse(SegmentInput("5c1e", crashes=2, has_run=True)).is_temporary
    True
    >>> observe_then_refuse(SegmentInput("5c1e", crashes=3)).is_temporary
    True
    >>> observe_then_refuse(SegmentInput("5c1e", crashes=3, is_trial_node=True))
    Allowed(is_trial=True)
    >>> observe_then_refuse(SegmentInput("5c1e", 4, is_refused=True)).reason
    '4 servers crashed under requests with segment 5c1e of the prompt'
    """
    reason = (
        f"{inputs.crashes} servers crashed under requests with segment "
        f"{inputs.segment} of the prompt"
    )
    limit = WATCHED_CRASHES if inputs.has_run else SUSPECT_CRASHES
    if inputs.crashes < limit:
        return Allowed()
    if inputs.is_refused:
        return Allowed(is_trial=True) if may_try(inputs) else Barred(reason)
    if may_probe(inputs):
        return Allowed(is_trial=True)
    return Barred(reason, is_temporary=True, until_s=inputs.observed_until_s)


def may_probe(inputs: SegmentInput) -> bool:
    """Return whether a request may be sent although its segment is observed.

    It is the first trial of the segment.
    """
    if inputs.has_run or inputs.is_reserved or inputs.crashes < SUSPECT_CRASHES:
        return False
    return inputs.is_trial_node and not inputs.trials


def may_try(inputs: SegmentInput) -> bool:
    """Return whether a request may be the trial of its refused segment.

    Each trial may end a server, so the segment is tried less and less often. One that
    may have been refused in place of another is tried at once, by a request that does
    not have the other. After a restart of all nodes it is tried as early as at first:
    if all requests have the segment, nothing is served until then.
    """
    if inputs.has_run or inputs.is_reserved:
        return False
    if inputs.is_shadowed and inputs.refused_segments == 1:
        return inputs.tried_ago_s >= SHADOWED_TRIAL_DELAY_S
    trials = 0 if inputs.is_restored else inputs.trials
    delay_s = TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]
    if not inputs.is_trial_node:
        delay_s *= ANY_NODE_FACTOR
    return inputs.idle_s >= delay_s
