"""Work that goes on when the caller who asked for it has gone."""

import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.values.outcomes import Outcome, Reason, Unknown

__all__ = ["Detached", "fault_fields"]

log = logger("request")


def fault_fields(error: Exception) -> dict[str, str]:
    """Return what a log line tells of a fault: its kind and where it was raised.

    The error's own text may hold what a caller wrote, and is left out.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    return {"error": type(error).__name__, "place": place}


class Detached:
    """Runs work in the process's own nursery.

    A caller who hangs up cancels the task of its request. An at-most-once request
    that was cancelled after it was sent could only be recorded as "unknown", though
    its answer is on the way; so it goes on, and a repeat gets the answer.

    Parameters
    ----------
    nursery : trio.Nursery
        Lives as long as the process.
    drain : Drain
        Counts the work, so that a planned stop waits for it.
    """

    def __init__(self, nursery: trio.Nursery, drain: Drain) -> None:
        self.nursery = nursery
        self.drain = drain

    async def run(
        self, request_id: str, work: Callable[..., Awaitable[Outcome]], *args: object
    ) -> Outcome:
        """Run work to its end, and wait for it as long as the caller does.

        Parameters
        ----------
        request_id : str
            For the log.
        work : callable
            Async function; called with ``args``.

        Returns
        -------
        outcome : Outcome
            What the work returned.
        """
        outcomes: list[Outcome] = []
        done = trio.Event()

        async def run_to_end() -> None:
            with self.drain:
                try:
                    outcomes.append(await work(*args))
                except Exception as error:
                    # One request's fault must not end the process, and with it all
                    # others. Whether it ran cannot be told.
                    log.error("broken off", request=request_id, **fault_fields(error))
                    outcomes.append(Unknown(Reason.NOT_PROVEN, "internal error"))
                finally:
                    done.set()

        self.nursery.start_soon(run_to_end)
        await done.wait()
        return outcomes[0]
