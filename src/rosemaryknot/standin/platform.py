"""Stand-in of the platform: object API, instance list and cloud API."""

import time
from collections import Counter, defaultdict, deque
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import asdict

import trio
from quart import Response, request
from quart_trio import QuartTrio

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.network import Network, StreamHandler
from rosemaryknot.standin.platform_cloud import Cloud
from rosemaryknot.standin.platform_controls import PlatformControls, answer
from rosemaryknot.standin.platform_faults import OUTAGE_SILENT, PlatformFaults
from rosemaryknot.standin.platform_objects import ObjectKind
from rosemaryknot.standin.platform_watches import Watches
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.platform import Conflict, Missing, StartRefused, Written
from rosemaryknot.values.servers import server_to_dict

__all__ = ["PlatformStandIn"]

MAX_VALUE_BYTES = 1024 * 1024
RATE_WINDOW_S = 1.0
ERA_HEADER = "Object-Era"
OBJECT_PATH = "/objects/<kind>/<path:name>"

STREAM: ContextVar[trio.abc.HalfCloseableStream] = ContextVar("stream")


class TrackedNetwork:
    """A network that lets a request find its own connection, to break it."""

    def __init__(self, network: Network) -> None:
        self.network = network

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen; see `Network.listen`."""

        async def handle(stream: trio.abc.HalfCloseableStream) -> None:
            STREAM.set(stream)
            await handler(stream)

        await self.network.listen(address, handle, task_status=task_status)


def outcome_answer(outcome: Written | Conflict) -> Response:
    """Return the answer to a write."""
    status = 412 if isinstance(outcome, Conflict) else 200
    return answer({"version": outcome.version}, status)


def stream_answer(lines: AsyncIterator[bytes]) -> Response:
    """Return an answer of JSON lines that goes on."""
    response = Response(lines, content_type="application/jsonl")
    response.timeout = None
    return response


def expected_version() -> int | None:
    """Return the version that the write's condition names.

    Returns
    -------
    version : int or None
        0 where there must be no object yet; None without a condition.
    """
    if request.headers.get("If-None-Match") == "*":
        return 0
    return request.headers.get("If-Match", type=int)


class PlatformStandIn:
    """Platform of one region, in memory.

    Parameters
    ----------
    now_unix_s : callable
        Wall clock, seconds of the epoch.

    Attributes
    ----------
    app : QuartTrio
        The HTTP application.
    faults : PlatformFaults
        What goes wrong.
    cloud : Cloud
        Instances.
    kinds : dict of str to ObjectKind
        Objects.
    watches : Watches
        Open watches.
    era : int
        Rises with each restore; responses state it unless it is 0.
    calls : collections.Counter
        Calls received, by kind of call; a waiting watch counts once.
    """

    def __init__(self, now_unix_s: Callable[[], float] = time.time) -> None:
        self.faults = PlatformFaults()
        self.cloud = Cloud(self.faults, now_unix_s)
        self.kinds: dict[str, ObjectKind] = defaultdict(ObjectKind)
        self.watches = Watches(self.faults)
        self.calls: Counter[str] = Counter()
        self.write_times_s: deque[float] = deque()
        self.nursery: trio.Nursery | None = None
        self.era = 0
        self.app = self.make_app()
        PlatformControls(self)

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Parameters
        ----------
        network : Network
            Where to listen.
        address : Address
            Port 0 takes a free one.
        task_status : trio.TaskStatus
            Told the bound address.
        """
        server = HttpServer(self.app, TrackedNetwork(network))
        async with trio.open_nursery() as nursery:
            self.nursery = self.cloud.nursery = nursery
            await server.serve(address, task_status=task_status)

    def add_instance(self, server: BackendServer) -> None:
        """Add an instance that the list shows at once."""
        self.cloud.add(server)

    def reclaim(self, instance: str, notice_s: float) -> None:
        """Reclaim one instance; see `Cloud.reclaim`."""
        self.cloud.reclaim(instance, notice_s)

    def rollback(self, kind: str, name: str, version: int) -> None:
        """Hold an earlier version of an object; see `ObjectKind.rollback`."""
        self.kinds[kind].rollback(name, version)

    def restore(self, age_s: float) -> None:
        """Return to the objects of some seconds ago and begin another era.

        Open watches say nothing more.
        """
        copied_s = trio.current_time() - age_s
        for kind in self.kinds.values():
            kind.restore(copied_s)
        self.watches.silence()
        self.era += 1

    def silence_watches(self) -> None:
        """Let the open watches say nothing more, for good; new ones work."""
        self.watches.silence()

    def make_app(self) -> QuartTrio:
        """Return the application with all routes but the test calls."""
        app = QuartTrio(__name__)
        app.config["MAX_CONTENT_LENGTH"] = MAX_VALUE_BYTES
        add = app.add_url_rule
        add("/objects/<kind>", "list", self.list_objects)
        add(OBJECT_PATH, "read", self.read)
        add(OBJECT_PATH, "write", self.write, methods=["PUT", "DELETE"])
        add("/instances", "instances", self.list_instances)
        add("/instances/<path:name>", "instance", self.read_instance)
        add("/cloud/instances", "start", self.start, methods=["POST"])
        add("/cloud/instances/<path:name>", "release", self.release, methods=["DELETE"])
        add("/cloud/notices", "notices", self.follow_notices)
        add("/cloud/prices", "prices", self.list_prices)
        app.before_request(self.before)
        app.after_request(self.state_era)
        return app

    async def state_era(self, response: Response) -> Response:
        """State the era in a response."""
        if self.era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def before(self) -> Response | None:
        """Count the call and apply the faults that come before any effect."""
        if request.path.startswith("/test/"):
            return None
        kind = request.endpoint or "unknown"
        if kind == "list" and "watch" in request.args:
            kind = "watch"
        self.calls[kind] += 1
        if self.faults.outage == OUTAGE_SILENT:
            await trio.sleep_forever()
        if self.faults.outage:
            return answer({"error": "outage; nothing was done"}, 503)
        if kind == "write" and self.is_over_rate():
            return answer({"error": "too many writes; nothing was done"}, 503)
        if self.faults.slow_s and kind != "write":
            await trio.sleep(self.faults.slow_s)
        return None

    def is_over_rate(self) -> bool:
        """Count a write and tell whether it is beyond the rate."""
        now_s = trio.current_time()
        times = self.write_times_s
        while times and times[0] <= now_s - RATE_WINDOW_S:
            times.popleft()
        if 0 < self.faults.max_writes_per_s <= len(times):
            return True
        times.append(now_s)
        return False

    async def read(self, kind: str, name: str) -> Response:
        """Answer with one object."""
        stored = self.kinds[kind].read(name)
        if isinstance(stored, Missing):
            return answer({"error": "no such object"}, 404)
        return answer(asdict(stored))

    async def list_objects(self, kind: str) -> Response:
        """Answer with all objects of a kind, or follow them."""
        objects = self.kinds[kind]
        listed = objects.listed()
        if "watch" not in request.args:
            entries = [asdict(change) for change in listed]
            return answer({"version": objects.version, "objects": entries})
        since = request.args.get("since", type=int)
        position = objects.logged
        if since is not None:
            listed = []
            position = objects.position_since(since)
        if position is None:
            return answer({"error": "too old; list again"}, 410)
        return stream_answer(self.watches.object_lines(objects, position, listed))

    async def write(self, kind: str, name: str) -> Response:
        """Write or delete an object."""
        expected = expected_version()
        if expected is None:
            return answer({"error": "a condition is needed"}, 428)
        objects = self.kinds[kind]
        if request.method == "PUT":
            value = await request.get_json(force=True)
            outcome = await self.applied(lambda: objects.put(name, value, expected))
        else:
            outcome = await self.applied(lambda: objects.delete(name, expected))
        if isinstance(outcome, Written):
            await self.lose_answer()
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        return outcome_answer(outcome)

    async def applied(
        self, change: Callable[[], Written | Conflict]
    ) -> Written | Conflict:
        """Apply a change, late and also without its caller where a fault says so."""
        if not self.faults.late_effect_s:
            return change()
        done = trio.Event()
        outcomes = []

        async def apply_later(delay_s: float) -> None:
            await trio.sleep(delay_s)
            outcomes.append(change())
            done.set()

        self.nursery.start_soon(apply_later, self.faults.late_effect_s)
        await done.wait()
        return outcomes[0]

    async def lose_answer(self) -> None:
        """Close the connection where the next answer is to be lost."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await trio.aclose_forcefully(STREAM.get())

    async def list_instances(self) -> Response:
        """Answer with the lagging instance list."""
        servers = [server_to_dict(server) for server in self.cloud.listed()]
        return answer({"instances": servers})

    async def read_instance(self, name: str) -> Response:
        """Answer with the true state of an instance."""
        server = self.cloud.servers.get(name)
        if server is None:
            return answer({"error": "no such instance"}, 404)
        return answer(server_to_dict(server))

    async def start(self) -> Response:
        """Start an instance."""
        body = await request.get_json(force=True)
        started = await self.cloud.start(
            body["service"], body["zone"], body["machine_class"], body["reclaimable"]
        )
        if isinstance(started, StartRefused):
            return answer({"reason": started.reason}, 409)
        await self.lose_answer()
        return answer(server_to_dict(started), 201)

    async def release(self, name: str) -> Response:
        """Give an instance back."""
        server = self.cloud.release(name)
        if isinstance(server, Missing):
            return answer({"error": "no such instance"}, 404)
        await self.lose_answer()
        return answer(server_to_dict(server))

    async def follow_notices(self) -> Response:
        """Follow reclaim notices, from those that are open."""
        return stream_answer(self.watches.notice_lines(self.cloud))

    async def list_prices(self) -> Response:
        """Answer with the prices."""
        return answer({"prices": [asdict(price) for price in self.cloud.price_list()]})
