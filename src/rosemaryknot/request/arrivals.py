"""A request of a known customer, and the note of what became of it."""

import random
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram
from rosemaryknot.request.answers import outcome_name, status_of
from rosemaryknot.values.outcomes import Answered, Outcome
from rosemaryknot.version.view import ConfigurationView, Customer

__all__ = ["Arrival", "new_request_id", "note_outcome"]

ID_BITS = 96

log = logger("request")
outcomes = counter("requests_total", "Requests by service, outcome and reason.")
seconds = histogram("request_seconds", "Time to the outcome of a request.")


@dataclass(slots=True)
class Arrival:
    """A request whose customer is known.

    Attributes
    ----------
    request_id : str
        Our id of the request.
    arrived_s : float
        When it arrived, in trio time.
    view : ConfigurationView
        The configuration that holds for the request to its end.
    customer : Customer
        Who sent it.
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
        `random.SystemRandom` in a live process.

    Returns
    -------
    request_id : str
        Letters and digits.
    """
    return f"r{rng.getrandbits(ID_BITS):024x}"


def note_outcome(
    request_id: str, customer: str, service: str, arrived_s: float, outcome: Outcome
) -> None:
    """Count and log the outcome of a request.

    Parameters
    ----------
    request_id : str
        Our id of the request.
    customer, service : str
        Empty where not known; never what a caller wrote and nobody checked.
    arrived_s : float
        When it arrived, in trio time.
    outcome : Outcome
        What became of it.
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
