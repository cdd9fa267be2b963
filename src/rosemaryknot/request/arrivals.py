"""Requests of known customers, and the record of their outcomes."""

import random
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram
from rosemaryknot.request.responses import outcome_name, status_of
from rosemaryknot.values.outcomes import Answered, Outcome
from rosemaryknot.version.view import ConfigurationView, Customer

__all__ = ["Arrival", "new_request_id", "record_outcome"]

ID_BITS = 96

log = logger("request")
outcomes = counter("requests_total", "Requests by service, outcome and reason.")
seconds = histogram("request_seconds", "Time to the outcome of a request.")


@dataclass(slots=True)
class Arrival:
    """Request whose customer is known.

    Attributes
    ----------
    request_id : str
        Request id that this system assigned.
    arrived_s : float
        Time of arrival, in trio time.
    view : ConfigurationView
        Configuration that applies to the request until it ends.
    customer : Customer
        Customer that sent the request.
    """

    request_id: str
    arrived_s: float
    view: ConfigurationView
    customer: Customer


def new_request_id(rng: random.Random) -> str:
    """Return a new request id.

    Parameters
    ----------
    rng : random.Random
        Source of randomness; `random.SystemRandom` in production.

    Returns
    -------
    request_id : str
        Request id of letters and digits.
    """
    return f"r{rng.getrandbits(ID_BITS):024x}"


def record_outcome(
    request_id: str, customer: str, service: str, arrived_s: float, outcome: Outcome
) -> None:
    """Count and log the outcome of a request.

    Parameters
    ----------
    request_id : str
        Request id that this system assigned.
    customer, service : str
        Names, or empty if unknown. Names from a request must be validated first.
    arrived_s : float
        Time of arrival, in trio time.
    outcome : Outcome
        Outcome of the request.
    """
    took_s = trio.current_time() - arrived_s
    reason = "" if isinstance(outcome, Answered) else getattr(outcome, "reason", "")
    name = outcome_name(outcome)
    outcomes.add(service=service, outcome=name, reason=str(reason))
    seconds.observe(took_s, service=service)
    log.info(
        name,
        request=request_id,
        customer=customer,
        service=service,
        status=status_of(outcome),
        reason=str(reason),
        took_ms=round(took_s * 1000, 1),
    )
