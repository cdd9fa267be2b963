"""Stand-in of the platform: object API, instance list and cloud API."""

import json
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import asdict
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.network import Network, StreamHandler
from rosemaryknot.standin.platform_cloud import Cloud
from rosemaryknot.standin.platform_faults import OUTAGE_SILENT, PlatformFaults
from rosemaryknot.standin.platform_objects import ObjectKind
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.platform import (
    Conflict,
    Missing,
    ObjectChanged,
    StartRefused,
    Written,
)
from rosemaryknot.values.servers import server_to_dict

__all__ = ["PlatformStandIn"]

HEARTBEAT_S = 1.0
MAX_VALUE_BYTES = 1024 * 1024

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


def answer(value: Any, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(json.dumps(value), status, content_type="application/json")


def outcome_answer(outcome: Written | Conflict) -> Response:
    """Return the answer to a write."""
    status = 412 if isinstance(outcome, Conflict) else 200
    return answer({"version": outcome.version}, status)


def stream_answer(lines: AsyncIterator[bytes]) -> Response:
    """Return an answer of JSON lines that goes on."""
    response = Response(lines, content_type="application/jsonl")
    response.timeout = None
    return response


def change_line(change: ObjectChanged) -> bytes:
    """Return the line of a watch for a change."""
    line = {"name": change.name, "version": change.version, "value": change.value}
    if change.deleted:
        line["deleted"] = True
    return json.dumps(line).encode() + b"\n"


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
    calls : collections.Counter
        Calls received, by kind of call; a waiting watch counts once.
    """

    def __init__(self, now_unix_s: Callable[[], float] = time.time) -> None:
        self.faults = PlatformFaults()
        self.cloud = Cloud(self.faults, now_unix_s)
        self.kinds: dict[str, ObjectKind] = defaultdict(ObjectKind)
        self.calls: Counter[str] = Counter()
        self.silenced: set[int] = set()
        self.open_watches: set[int] = set()
        self.last_watch = 0
        self.outage_changed = trio.lowlevel.ParkingLot()
        self.nursery: trio.Nursery | None = None
        self.app = self.make_app()

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

    def silence_watches(self) -> None:
        """Let the open watches say nothing more, for good; new ones work."""
        self.silenced |= self.open_watches

    def make_app(self) -> QuartTrio:
        """Return the application with all routes."""
        app = QuartTrio(__name__)
        app.config["MAX_CONTENT_LENGTH"] = MAX_VALUE_BYTES
        add = app.add_url_rule
        add("/objects/<kind>", "list", self.list_objects)
        add("/objects/<kind>/<name>", "read", self.read)
        add("/objects/<kind>/<name>", "write", self.write, methods=["PUT", "DELETE"])
        add("/instances", "instances", self.list_instances)
        add("/instances/<name>", "instance", self.read_instance)
        add("/cloud/instances", "start", self.start, methods=["POST"])
        add("/cloud/instances/<name>", "release", self.release, methods=["DELETE"])
        add("/cloud/notices", "notices", self.follow_notices)
        add("/cloud/prices", "prices", self.list_prices)
        add("/test/faults", "test-faults", self.change_faults, methods=["POST"])
        add("/test/reclaim", "test-reclaim", self.post_reclaim, methods=["POST"])
        add("/test/rollback", "test-rollback", self.post_rollback, methods=["POST"])
        add("/test/silence", "test-silence", self.post_silence, methods=["POST"])
        add("/test/instances", "test-add", self.post_instance, methods=["POST"])
        add("/test/calls", "test-calls", self.read_calls)
        app.before_request(self.before)
        return app

    async def before(self) -> Response | None:
        """Count the call and apply the faults that hit every call."""
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
        if self.faults.slow_s and kind != "write":
            await trio.sleep(self.faults.slow_s)
        return None

    async def read(self, kind: str, name: str) -> Response:
        """Answer with one object."""
        stored = self.kinds[kind].read(name)
        if isinstance(stored, Missing):
            return answer({"error": "no such object"}, 404)
        return answer(asdict(stored))

    async def list_objects(self, kind: str) -> Response:
        """Answer with all objects of a kind, or follow them."""
        objects = self.kinds[kind]
        if "watch" not in request.args:
            listed = [asdict(change) for change in objects.listed()]
            return answer({"version": objects.version, "objects": listed})
        since = request.args.get("since", type=int)
        if since is None:
            return stream_answer(self.follow(objects, objects.logged, objects.listed()))
        position = objects.position_since(since)
        if position is None:
            return answer({"error": "too old; list again"}, 410)
        return stream_answer(self.follow(objects, position, []))

    async def follow(
        self, objects: ObjectKind, position: int, first: list[ObjectChanged]
    ) -> AsyncIterator[bytes]:
        """Yield the lines of one watch."""
        self.last_watch += 1
        number = self.last_watch
        self.open_watches.add(number)
        try:
            yield b"\n"
            for change in first:
                yield change_line(change)
            while not self.faults.outage or self.faults.outage == OUTAGE_SILENT:
                changes = objects.changes_from(position)
                position = objects.logged
                if self.is_silent(number):
                    await trio.sleep_forever()
                for change in changes:
                    yield change_line(change)
                if not changes:
                    with trio.move_on_after(HEARTBEAT_S) as scope:
                        await objects.changed.park()
                    if scope.cancelled_caught and not self.is_silent(number):
                        yield b"\n"
        finally:
            self.open_watches.discard(number)

    def is_silent(self, watch: int) -> bool:
        """Tell whether a watch says nothing more."""
        return (
            self.faults.watch_silent
            or watch in self.silenced
            or self.faults.outage == OUTAGE_SILENT
        )

    async def write(self, kind: str, name: str) -> Response:
        """Write or delete an object."""
        expected = 0
        if "If-None-Match" not in request.headers:
            expected = request.headers.get("If-Match", type=int)
        if expected is None:
            return answer({"error": "a condition is needed"}, 428)
        value = await request.get_json(force=True) if request.method == "PUT" else None
        objects = self.kinds[kind]
        if request.method == "PUT":
            outcome = objects.put(name, value, expected)
        else:
            outcome = objects.delete(name, expected)
        if isinstance(outcome, Written) and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await trio.aclose_forcefully(STREAM.get())
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        return outcome_answer(outcome)

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
        return answer(server_to_dict(started), 201)

    async def release(self, name: str) -> Response:
        """Give an instance back."""
        server = self.cloud.release(name)
        if isinstance(server, Missing):
            return answer({"error": "no such instance"}, 404)
        return answer(server_to_dict(server))

    async def follow_notices(self) -> Response:
        """Follow reclaim notices, from those that are open."""
        return stream_answer(self.notice_lines())

    async def notice_lines(self) -> AsyncIterator[bytes]:
        """Yield the lines of one watch of notices."""
        self.last_watch += 1
        number = self.last_watch
        self.open_watches.add(number)
        position = len(self.cloud.notices)
        notices = self.cloud.open_notices()
        try:
            yield b"\n"
            while not self.faults.outage or self.faults.outage == OUTAGE_SILENT:
                if self.is_silent(number):
                    await trio.sleep_forever()
                for notice in notices:
                    yield json.dumps(asdict(notice)).encode() + b"\n"
                with trio.move_on_after(HEARTBEAT_S) as scope:
                    if position == len(self.cloud.notices):
                        await self.cloud.noticed.park()
                if scope.cancelled_caught and not self.is_silent(number):
                    yield b"\n"
                notices = self.cloud.notices[position:]
                position += len(notices)
        finally:
            self.open_watches.discard(number)

    async def list_prices(self) -> Response:
        """Answer with the prices."""
        return answer({"prices": [asdict(price) for price in self.cloud.price_list()]})

    async def change_faults(self) -> Response:
        """Set faults by name."""
        try:
            self.faults.change(await request.get_json(force=True))
        except ValueError as error:
            return answer({"error": str(error)}, 400)
        return answer({})

    async def post_reclaim(self) -> Response:
        """Reclaim an instance or a zone."""
        body = await request.get_json(force=True)
        if "zone" in body:
            return answer(
                {"instances": self.cloud.reclaim_zone(body["zone"], body["notice_s"])}
            )
        if body["instance"] not in self.cloud.servers:
            return answer({"error": "no such instance"}, 404)
        self.reclaim(body["instance"], body["notice_s"])
        return answer({"instances": [body["instance"]]})

    async def post_rollback(self) -> Response:
        """Roll an object back."""
        body = await request.get_json(force=True)
        try:
            self.rollback(body["kind"], body["name"], body["version"])
        except KeyError as error:
            return answer({"error": str(error)}, 404)
        return answer({})

    async def post_silence(self) -> Response:
        """Silence the open watches."""
        self.silence_watches()
        return answer({})

    async def post_instance(self) -> Response:
        """Add an instance."""
        body = await request.get_json(force=True)
        self.add_instance(BackendServer(**body))
        return answer({}, 201)

    async def read_calls(self) -> Response:
        """Answer with the calls received."""
        return answer(dict(self.calls))
