"""What the duties that one gateway does for all share."""

from dataclasses import dataclass

from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.leases import Lease
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.true_time import TrueTime
from rosemaryknot.process.usage_book import UsageBook
from rosemaryknot.values.duties import DutyCalls

__all__ = ["CALLS", "RETRY_S", "STEP_S", "DutyParts"]

STEP_S = 0.5
# Pause after a call without an answer; the platform may carry it out late.
RETRY_S = 1.0

CALLS = counter("duty_calls_total", "Calls for duties by duty and outcome.")


@dataclass(slots=True)
class DutyParts:
    """What the duties work with.

    Attributes
    ----------
    lease : Lease
        Who does them.
    calls : DutyCalls
        The platform's calls.
    state : GatewayState
        Configuration and servers.
    usage : UsageBook
        Usage by window.
    clock : TrueTime
        The agreed time.
    exchange : GatewayExchange
        The other gateways' demand.
    """

    lease: Lease
    calls: DutyCalls
    state: GatewayState
    usage: UsageBook
    clock: TrueTime
    exchange: GatewayExchange
