"""Rules on how many new connections a node accepts while it is overloaded.

Load pattern: a load balancer hands most new connections of an availability zone to one
node, for seconds, with more work than its processor can do. Each request that is read
takes processor time from all the others, also if its caller has given up by the time of
its response, so that a node with less than twice the work it can do serves next to
nothing. A connection that is closed unread costs little, and its caller goes to another
node at once.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["ACCEPT_RULES", "AcceptInput", "AcceptRule", "accept_rule"]

# Delay that most tasks exceed while the node is overloaded. A request passes the
# scheduler a dozen times, so that it takes some tenths of a second then.
MAX_DELAY_S = 0.008
# Change of the rate for each decision: what it is multiplied by while the node is
# overloaded, and while it is not. The first decrease is larger, since the connections
# of the time before it was noticed are still to be served.
FIRST_DECREASE = 0.6
DECREASE = 0.85
INCREASE = 1.2
# Connections a second that are always accepted, so that the rate can be found again.
MIN_RATE = 2.0
# The node counts as recovered once it may accept this many times what arrives.
RECOVERED_FACTOR = 1.5


@dataclass(slots=True)
class AcceptInput:
    """Input of a rule.

    Attributes
    ----------
    delay_s : float
        Delay of tasks, in seconds.
    rate : float
        Connections accepted per second; infinite without a limit.
    accepted, arrived : float
        Connections that were accepted, and that arrived, per second since the last
        decision.
    """

    delay_s: float
    rate: float = math.inf
    accepted: float = 0.0
    arrived: float = 0.0


AcceptRule = Callable[[AcceptInput], float]
ACCEPT_RULES: dict[str, AcceptRule] = {}


def accept_rule(name: str) -> Callable[[AcceptRule], AcceptRule]:
    """Register a rule."""

    def register(rule: AcceptRule) -> AcceptRule:
        ACCEPT_RULES[name] = rule
        return rule

    return register


@accept_rule("unlimited")
def accept_all(inputs: AcceptInput) -> float:
    """Accept every connection; for comparisons."""
    return math.inf


@accept_rule("delay")
def limit_by_delay(inputs: AcceptInput) -> float:
    """Return the connections per second that keep the delay of tasks short.

    Examples
    --------
    >>> limit_by_delay(AcceptInput(0.001, arrived=100.0))
    inf
    >>> limit_by_delay(AcceptInput(0.05, accepted=100.0, arrived=100.0))
    60.0
    >>> limit_by_delay(AcceptInput(0.05, 50.0, accepted=50.0, arrived=100.0))
    42.5
    >>> limit_by_delay(AcceptInput(0.001, 50.0, accepted=50.0, arrived=100.0)) > 50
    True
    >>> limit_by_delay(AcceptInput(0.001, 50.0, accepted=20.0, arrived=20.0))
    inf
    """
    if inputs.delay_s > MAX_DELAY_S:
        if math.isinf(inputs.rate):
            return max(MIN_RATE, inputs.accepted * FIRST_DECREASE)
        return max(MIN_RATE, inputs.rate * DECREASE)
    rate = inputs.rate * INCREASE
    return math.inf if rate > RECOVERED_FACTOR * inputs.arrived else rate
