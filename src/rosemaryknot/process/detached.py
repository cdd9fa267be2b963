"""Work that continues after the caller who requested it disconnected."""

import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.values.outcomes import Outcome, Reason, Unknown

__all__ = ["Detached", "error_fields"]

log = logger("request")


def error_fields(error: Exception) -> dict[str, str]:
    """Return the log fields of an error: its type and where it was raised.

    The error message may contain caller input and is omitted.
    """
    frames = traceback.extract_tb(error.__traceback__)
    location = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    return {"error": type(error).__name__, "place": location}


class Detached:
    """Runs work in the nursery of the process.

    The task of a request is cancelled when its caller disconnects. An at-most-once
    request cancelled after it was sent could only be recorded as "unknown", although
    its response is on the way. It therefore continues, and a repeated request gets
    the response.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery that stays open as long as the process.
    drain : Drain
        Tracks the work, so that a graceful shutdown waits for it.
    """

    def __init__(self, nursery: trio.Nursery, drain: Drain) -> None:
        self.nursery = nursery
        self.drain = drain

    async def run(
        self, request_id: str, work: Callable[..., Awaitable[Outcome]], *args: object
    ) -> Outcome:
        """Run work to completion, and wait for it unless cancelled.

        Parameters
        ----------
        request_id : str
            Request id for the log.
        work : callable
            Async function, called with ``args``.

        Returns
        -------
        outcome : Outcome
            Result of the work.
        """
        outcomes: list[Outcome] = []
        done = trio.Event()

        async def run_to_end() -> None:
            with self.drain:
                try:
                    outcomes.append(await work(*args))
                except Exception as error:
                    # An error in one request must not end the process and all other
                    # requests. It is not known whether the request was executed.
                    log.error(
                        "request aborted by an internal error",
                        request=request_id,
                        **error_fields(error),
                    )
                    outcomes.append(Unknown(Reason.NOT_PROVEN, "internal error"))
                finally:
                    done.set()

        self.nursery.start_soon(run_to_end)
        await done.wait()
        return outcomes[0]
