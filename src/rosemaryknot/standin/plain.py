"""Stand-in of a plain service that keeps a ledger of what it ran."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import trio
from quart import Response, request

from rosemaryknot.connection.network import Network
from rosemaryknot.standin.drain_header import DrainHeader
from rosemaryknot.standin.host import Host, new_app
from rosemaryknot.standin.rate_limit import RateLimit
from rosemaryknot.values.nodes import Address

__all__ = ["PlainFault", "PlainSettings", "PlainStandIn", "Run", "count_runs"]

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
REQUEST_HEADER = "Rosemaryknot-Request"
KEY_HEADER = "Idempotency-Key"
SEND_HEADER = "Test-Send"
FAULTS = (
    "silent_before",
    "silent_after",
    "lose_answer",
    "late",
    "die_before",
    "die_after",
    "refuse",
)


@dataclass(slots=True)
class PlainSettings:
    """What a plain service is like.

    Attributes
    ----------
    service_time_s : float
        Time that each call takes.
    has_status_call : bool
        Whether ``GET /runs/<id>`` is there.
    padding_bytes : int
        Bytes that are added to the answers of ``/stock/``.
    """

    service_time_s: float = 0.005
    has_status_call: bool = True
    padding_bytes: int = 0


@dataclass(slots=True)
class PlainFault:
    """A fault that meets the next calls.

    Attributes
    ----------
    fault : str
        ``silent_before`` or ``silent_after`` running: no byte follows and the
        connection stays open; ``lose_answer``: the connection ends after running;
        ``late``: the answer comes ``late_s`` after running; ``die_before`` or
        ``die_after`` running; ``refuse``: 503 without running.
    count : int
        Calls that it still meets.
    path : str
        Only calls whose path starts so.
    late_s : float
        For ``late``, in seconds.
    """

    fault: str
    count: int = 1
    path: str = "/"
    late_s: float = 0.0


@dataclass(slots=True)
class Run:
    """One call that ran.

    Attributes
    ----------
    id : str
        Request id from the header ``Rosemaryknot-Request``.
    key : str
        Idempotency key, where one was passed on.
    method, path : str
        Of the call.
    time_unix_s : float
        When it took effect.
    send : str
        Which of a test caller's sends it was, from the header ``Test-Send``.
    """

    id: str
    key: str
    method: str
    path: str
    time_unix_s: float
    send: str = ""


def count_runs(runs: list[Run]) -> dict[str, int]:
    """Count how often each request ran.

    Parameters
    ----------
    runs : list of Run
        Ledgers of all servers of a service together.

    Returns
    -------
    counts : dict of str to int
        By idempotency key, which stays over repeats; by request id where there is
        no key. Calls with neither are left out.
    """
    names = (run.key or run.id for run in runs)
    return dict(Counter(name for name in names if name))


class PlainStandIn:
    """One server of a plain service: every path is there and echoes what it ran.

    Parameters
    ----------
    settings : PlainSettings, optional
        What it is like.
    clock : callable, optional
        Seconds of the epoch, for the ledger.

    Attributes
    ----------
    runs : list of Run
        The ledger.
    faults : list of PlainFault
        Those that still meet calls.
    host : Host
        Its process: ``freeze``, ``thaw``, ``silence``.
    leaving : bool
        Whether it refuses all work, with the header ``Rosemaryknot-Leaving``.
    """

    def __init__(
        self,
        settings: PlainSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = PlainSettings() if settings is None else settings
        self.clock = clock
        self.runs: list[Run] = []
        self.faults: list[PlainFault] = []
        self.leaving = False
        self.app = new_app("plain")
        self.drain_header = DrainHeader(self.app)
        self.rate_limit = RateLimit(self.app, "/")
        self.host = Host(self.app)
        self.nursery: trio.Nursery | None = None
        self.add_routes()

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or killed.

        Parameters
        ----------
        network : Network
            Where to listen.
        address : Address
            Where to listen; port 0 takes a free one.
        task_status : trio.TaskStatus
            Told the bound address.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.host.serve(network, address, task_status=task_status)
            nursery.cancel_scope.cancel()

    def kill(self) -> None:
        """Die: all connections end at once."""
        self.host.kill()

    def add_routes(self) -> None:
        """Declare the HTTP interface."""
        app = self.app
        app.get("/runs/<id>")(self.get_run)
        app.get("/test/ledger")(self.get_ledger)
        app.post("/test/faults")(self.post_faults)
        app.route("/", methods=METHODS, defaults={"path": ""})(self.call)
        app.route("/<path:path>", methods=METHODS)(self.call)

    def take_fault(self, path: str) -> PlainFault | None:
        """Return the fault that meets a call, and count it."""
        for fault in self.faults:
            if path.startswith(fault.path):
                fault.count -= 1
                if fault.count <= 0:
                    self.faults.remove(fault)
                return fault
        return None

    async def call(self, path: str) -> Any:
        """Run a call, with the fault that meets it."""
        body = await request.get_data()
        fault = self.take_fault(request.path)
        name = "" if fault is None else fault.fault
        if self.leaving:
            return {"error": "leaving"}, 503, {"Rosemaryknot-Leaving": "1"}
        if name == "refuse":
            return {"error": "refused"}, 503, {"Retry-After": "1"}
        if name == "die_before":
            self.kill()
        if name == "silent_before":
            await trio.sleep_forever()
        await trio.sleep(self.settings.service_time_s)
        await self.host.wait_thawed()
        run = self.note_run()
        if name == "die_after":
            self.kill()
        if name == "silent_after":
            await trio.sleep_forever()
        if name == "late":
            await trio.sleep(fault.late_s)
        if name == "lose_answer":
            return Response(self.cut_short(), headers={"Content-Length": "1000"})
        return self.answer(run, body)

    def note_run(self) -> Run:
        """Write a call into the ledger: from here on it has run."""
        id = request.headers.get(REQUEST_HEADER, "")
        key = request.headers.get(KEY_HEADER, "")
        send = request.headers.get(SEND_HEADER, "")
        run = Run(id, key, request.method, request.path, self.clock(), send)
        self.runs.append(run)
        return run

    async def cut_short(self):
        """End a response in its middle, which ends its connection."""
        yield b"{"
        raise ConnectionResetError

    def answer(self, run: Run, body: bytes) -> dict[str, Any]:
        """Return an answer that tells which call it belongs to."""
        answer: dict[str, Any] = {"id": run.id, "key": run.key, "path": run.path}
        answer["ran"] = len(self.runs)
        if run.path.startswith("/stock/"):
            answer["in_stock"] = len(run.path) % 7
            answer["padding"] = "x" * self.settings.padding_bytes
        if run.method != "GET":
            answer["received_bytes"] = len(body)
        return answer

    async def get_run(self, id: str) -> Any:
        """Tell whether a request ran, where the service has this call."""
        if not self.settings.has_status_call:
            return {"error": "no such call"}, 404
        count = sum(run.id == id for run in self.runs)
        return {"id": id, "runs": count, "status": "done" if count else "unknown"}

    async def get_ledger(self) -> dict[str, Any]:
        """Return the ledger."""
        return {"runs": [asdict(run) for run in self.runs]}

    async def post_faults(self) -> Any:
        """Set faults; see `apply_faults`."""
        body = await request.get_json(force=True)
        if body.get("fault", FAULTS[0]) not in FAULTS:
            return {"error": f"faults are {', '.join(FAULTS)}"}, 400
        return self.apply_faults(body)

    def apply_faults(self, body: dict[str, Any]) -> dict[str, Any]:
        """Set faults from a JSON object.

        Parameters
        ----------
        body : dict
            A `PlainFault`, and any of ``service_time_s``, ``has_status_call``,
            ``padding_bytes``, ``leaving``, ``silence``, ``freeze_s``, ``kill``.

        Returns
        -------
        state : dict
            The faults in force, and ``silenced``, the connections made silent.
        """
        for name in ("service_time_s", "has_status_call", "padding_bytes"):
            setattr(self.settings, name, body.get(name, getattr(self.settings, name)))
        self.leaving = body.get("leaving", self.leaving)
        if "fault" in body:
            fields = {f: body[f] for f in PlainFault.__slots__ if f in body}
            self.faults.append(PlainFault(**fields))
        if body.get("freeze_s"):
            self.nursery.start_soon(self.host.freeze_for, body["freeze_s"])
        if body.get("kill"):
            self.kill()
        silenced = self.host.silence() if body.get("silence") else 0
        return {"faults": [asdict(f) for f in self.faults], "silenced": silenced}
