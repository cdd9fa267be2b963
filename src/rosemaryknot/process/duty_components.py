"""Components and settings that duties share.

A duty is a task that only the holder of a lease performs, on behalf of all gateways.
"""

from dataclasses import dataclass

from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.leases import Lease
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.synchronized_clock import SynchronizedClock
from rosemaryknot.process.usage_tracker import UsageTracker
from rosemaryknot.values.duties import DutyCalls

__all__ = ["DUTY_CALLS", "RETRY_DELAY_S", "STEP_INTERVAL_S", "DutyComponents"]

STEP_INTERVAL_S = 0.5
# Backoff after a call without a response, which the platform may still execute late.
RETRY_DELAY_S = 1.0

DUTY_CALLS = counter("duty_calls_total", "Calls for duties by duty and outcome.")


@dataclass(slots=True)
class DutyComponents:
    """Components that duties use.

    Attributes
    ----------
    lease : Lease
        Lease whose holder performs the duties.
    calls : DutyCalls
        Client for the platform's calls.
    state : GatewayState
        Configuration and servers.
    usage : UsageTracker
        Requests of each customer by usage window.
    clock : SynchronizedClock
        Synchronized clock.
    exchange : GatewayExchange
        Reports of the other gateways, including their demand.
    """

    lease: Lease
    calls: DutyCalls
    state: GatewayState
    usage: UsageTracker
    clock: SynchronizedClock
    exchange: GatewayExchange
