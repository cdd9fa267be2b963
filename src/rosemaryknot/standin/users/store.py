"""Stand-in of the users' store: list, watch, conditional writes, and its faults."""

import json
from dataclasses import dataclass, field
from typing import Any

import trio

from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire

__all__ = ["RawValue", "StoreFaults", "StoreStandIn", "Written"]

PREFIX = "/v1/objects/"
PAGE = 50
ANSWER_S = 0.004
JSON = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class RawValue:
    """A value that the store gives out as bytes, whatever they are."""

    data: bytes


def encoded(value: Any) -> bytes:
    """Return the body of an answer, raw values as they are."""
    raw: list[bytes] = []

    def mark(found: Any) -> str:
        raw.append(found.data)
        return f"raw value {len(raw) - 1}"

    body = json.dumps(value, default=mark).encode()
    for number, data in enumerate(raw):
        body = body.replace(b'"raw value %d"' % number, data)
    return body


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store at the moment.

    Attributes
    ----------
    mode : str
        Empty, ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
    hosts : set of str
        Callers that meet it; empty for all.
    lose_writes : int
        So many writes are done and not answered.
    delay_writes_s : float
        Lost writes are done this much later.
    began : int
        How often a fault began; a watch that waited meanwhile is swallowed.
    """

    mode: str = ""
    hosts: set[str] = field(default_factory=set)
    lose_writes: int = 0
    delay_writes_s: float = 0.0
    began: int = 0

    def begin(self, mode: str, *hosts: str) -> None:
        """Let a fault begin."""
        self.mode = mode
        self.hosts = set(hosts)
        self.began += 1

    def end(self) -> None:
        """End the fault."""
        self.mode = ""

    def hits(self, caller: str) -> bool:
        """Tell whether a call of a caller meets the fault."""
        return bool(self.mode) and (not self.hosts or caller in self.hosts)


@dataclass(slots=True)
class Call:
    """One call, as the store saw it."""

    at_s: float
    caller: str
    method: str
    path: str


@dataclass(slots=True, frozen=True)
class Written:
    """One change of an object.

    Attributes
    ----------
    at_s : float
        When the store confirmed it, in trio time.
    kind, name : str
        Which object.
    spec : object
        Its new value, None where it was removed.
    """

    at_s: float
    kind: str
    name: str
    spec: Any


class StoreStandIn:
    """The store.

    Attributes
    ----------
    objects : dict of str to dict
        By kind and name.
    revision : int
        Of the last change.
    calls : list of Call
        All calls.
    written : list of Written
        All changes of objects; no fault makes the store forget them.
    strays : dict of str to list
        By kind: what stands among the objects and is none.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.strays: dict[str, list[Any]] = {}
        self.revision = 10
        self.history: list[tuple[int, str, dict]] = []
        self.first_known = 0
        self.faults = StoreFaults()
        self.calls: list[Call] = []
        self.written: list[Written] = []
        self.changed = trio.Event()
        self.server = RawServer(self.handle)

    # The operator's and the servers' side, without calls.

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; return its revision."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["created"]
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        self.written.append(Written(trio.current_time(), kind, name, spec))
        self.note(kind, {"object": item, "deleted": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        self.written.append(Written(trio.current_time(), kind, name, None))
        item = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self.note(kind, {"object": item, "deleted": True})

    def put_stray(self, kind: str, item: Any) -> None:
        """Put something among the objects that is none, and tell the watches."""
        self.revision += 1
        self.strays.setdefault(kind, []).append(item)
        self.note(kind, item)

    def note(self, kind: str, event: Any) -> None:
        """Remember a change and wake the watches."""
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self.history.clear()
        self.first_known = self.revision

    # Calls.

    async def handle(self, request: RawRequest, wire: RawWire) -> None:
        """Answer a call."""
        self.calls.append(
            Call(trio.current_time(), request.caller, request.method, request.target)
        )
        if await self.is_hit(request, wire):
            return
        began = self.faults.began
        await trio.sleep(ANSWER_S)
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if request.method == "GET":
            status, value = await self.read(kind, name, request)
            if await self.is_hit(request, wire):
                return
            if began != self.faults.began and not self.faults.hosts:
                await trio.sleep_forever()
        else:
            outcome = await self.write(kind, name, request)
            if outcome is None:
                await trio.sleep_forever()
            status, value = outcome
        await wire.answer(status, JSON, encoded(value))

    async def is_hit(self, request: RawRequest, wire: RawWire) -> bool:
        """Let a fault happen to a call; tell whether one did."""
        if not self.faults.hits(request.caller):
            return False
        mode = self.faults.mode
        if mode == "silent":
            await trio.sleep_forever()
        elif mode == "reset":
            wire.reset()
        else:
            await wire.answer(429 if mode == "many" else 503)
        return True

    async def read(self, kind: str, name: str, request: RawRequest) -> tuple[int, Any]:
        """Return status and value of a read."""
        if name:
            item = self.objects.get(kind, {}).get(name)
            return (200, item) if item is not None else (404, {})
        if "watch" in request.query:
            return await self.watch(kind, request)
        return 200, self.page(kind, request.query.get("sinceRevision", ""))

    def page(self, kind: str, after: str) -> dict:
        """Return one page of a list."""
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][n] for n in names[:PAGE]]
        items += self.strays.get(kind, [])
        return {
            "items": items,
            "hasMore": len(names) > PAGE,
            "storeRevision": self.revision,
        }

    async def watch(self, kind: str, request: RawRequest) -> tuple[int, Any]:
        """Wait for changes of a kind."""
        since = int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if since < self.first_known:
            return 410, {}
        with trio.move_on_after(wait_s):
            while not self.events(kind, since):
                await self.changed.wait()
        if since < self.first_known:
            return 410, {}
        events = self.events(kind, since)
        return 200, {"events": events, "storeRevision": self.revision}

    def events(self, kind: str, since: int) -> list[dict]:
        """Return the changes of a kind since a revision."""
        return [e for r, k, e in self.history if k == kind and r > since]

    async def write(
        self, kind: str, name: str, request: RawRequest
    ) -> tuple[int, Any] | None:
        """Return status and value of a write, or None where its answer is lost."""
        body = json.loads(request.body or b"{}")
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await trio.sleep(self.faults.delay_writes_s)
            self.apply(kind, name, request.method, body)
            return None
        return self.apply(kind, name, request.method, body)

    def apply(self, kind: str, name: str, method: str, body: dict) -> tuple[int, Any]:
        """Carry a write out if its condition holds."""
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        item = self.objects.get(kind, {}).get(name)
        if method == "POST":
            if item is not None:
                return 409, item
        elif item is None:
            return 404, {}
        elif (
            metadata.get("revision", item["metadata"]["revision"])
            != (item["metadata"]["revision"])
        ):
            return 409, item
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, body.get("spec"))
        return 200, self.objects[kind][name]
