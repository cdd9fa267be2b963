"""Records of who was disturbed when, since promises with a time hold for the others."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

__all__ = ["CONTACT_S", "EVERYONE", "Disturbance", "Disturbances"]

# So long after a disturbance the promises with a time hold again.
CONTACT_S = 3.0
EVERYONE = ""


@dataclass(slots=True)
class Disturbance:
    """One disturbance.

    Attributes
    ----------
    subject : str
        Name of the node or server; `EVERYONE` for all.
    from_s, until_s : float
        When it began and ended, in trio time.
    """

    subject: str
    from_s: float
    until_s: float = math.inf


class Disturbances:
    """Disturbances of a play or a soak.

    Examples
    --------
    >>> disturbances = Disturbances()
    >>> disturbances.spans.append(Disturbance("n1", 10.0, 12.0))
    >>> disturbances.is_calm("n1", 14.0, 15.0)
    False
    >>> disturbances.is_calm("n1", 15.5, 16.0), disturbances.is_calm("n2", 11.0, 12.0)
    (True, True)
    """

    def __init__(self) -> None:
        self.spans: list[Disturbance] = []

    @contextmanager
    def disturb(self, subject: str = EVERYONE) -> Iterator[None]:
        """Note that a subject is disturbed while the block runs."""
        span = Disturbance(subject, trio.current_time())
        self.spans.append(span)
        try:
            yield
        finally:
            span.until_s = trio.current_time()

    def is_calm(self, subject: str, from_s: float, until_s: float) -> bool:
        """Tell whether a subject was undisturbed from `CONTACT_S` before a time on."""
        return not any(
            span.subject in (subject, EVERYONE)
            and span.from_s <= until_s
            and span.until_s >= from_s - CONTACT_S
            for span in self.spans
        )
