"""Graceful shutdown: completes requests in flight and refuses new ones."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["Drain"]

STOPPING_RETRY_S = 1.0

log = logger("drain")
in_flight_gauge = gauge("requests_in_flight", "Requests that are in flight.")
stopping_gauge = gauge("stopping", "1 while a planned stop is under way.")


class Drain:
    """Counts requests in flight, and waits for them during a graceful shutdown.

    Attributes
    ----------
    is_stopping : bool
        Whether new requests are refused.
    in_flight : int
        Number of activities that must end before the process may: responses being
        written, generations, and requests that continue without their caller.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.in_flight = 0
        self.changed = trio.lowlevel.ParkingLot()
        stopping_gauge.set(0)

    def __enter__(self) -> "Drain":
        self.in_flight += 1
        in_flight_gauge.set(self.in_flight)
        return self

    def __exit__(self, *error: object) -> None:
        self.in_flight -= 1
        in_flight_gauge.set(self.in_flight)
        if not self.in_flight:
            self.changed.unpark_all()

    def refusal(self) -> NotRun | None:
        """Return why a new request is refused, or None if it is not."""
        if not self.is_stopping:
            return None
        return NotRun(Reason.STOPPING, STOPPING_RETRY_S, "this instance is stopping")

    def start(self) -> None:
        """Refuse new requests from now on."""
        self.is_stopping = True
        stopping_gauge.set(1)
        log.info("not ready: graceful shutdown", in_flight=self.in_flight)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait, in seconds.

        Returns
        -------
        is_idle : bool
            False if the timeout was reached.
        """
        with trio.move_on_after(timeout_s):
            while self.in_flight:
                await self.changed.park()
        if self.in_flight:
            log.error(
                "shutdown timed out with requests in flight", in_flight=self.in_flight
            )
            return False
        log.info("no requests in flight")
        return True
