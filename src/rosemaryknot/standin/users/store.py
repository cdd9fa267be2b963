"""Stand-in for the users' store: list, watch, conditional writes, and its faults."""

import json
import random
import re
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote

import trio

from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire

__all__ = ["PAGE_SIZE", "RawValue", "StoreFaults", "StoreStandIn", "ObjectChange"]

PREFIX = "/v1/objects/"
PAGE_SIZE = 50
FIRST_REVISION = 10
RESPONSE_DELAY_S = 0.004
JSON = {"Content-Type": "application/json"}
ERA_HEADER = "Store-Era"
# Targets in origin form; RFC 3986, sections 3.3 and 3.4.
TARGET = re.compile(r"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
MAX_TARGET_BYTES = 8192
INVALID_TARGET = 400
INTERNAL_ERROR = 500
TARGET_TOO_LONG = 414


@dataclass(slots=True, frozen=True)
class RawValue:
    """A value that the store returns as raw bytes, which need not be valid JSON."""

    data: bytes


def encode_value(value: Any) -> bytes:
    """Return the body of a response, with raw values inserted unchanged."""
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
    """Active faults of the store.

    Attributes
    ----------
    mode : str
        Empty (no fault), ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
    hosts : set of str
        Hosts of the callers that are affected; empty for all.
    share : float
        Share of their calls that is affected.
    rng : random.Random
        Draws these calls.
    lose_writes : int
        Number of following writes that are applied but not answered.
    delay_writes_s : float
        Delay until such a write is applied.
    begin_count : int
        Number of faults begun. A read or watch that was waiting when a fault of all
        callers began is never answered.
    """

    mode: str = ""
    hosts: set[str] = field(default_factory=set)
    share: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    lose_writes: int = 0
    delay_writes_s: float = 0.0
    begin_count: int = 0

    def begin(self, mode: str, *hosts: str, share: float = 1.0) -> None:
        """Begin a fault."""
        self.mode = mode
        self.share = share
        self.hosts = set(hosts)
        self.begin_count += 1

    def end(self) -> None:
        """End the fault."""
        self.mode = ""

    def affects(self, caller: str) -> bool:
        """Return whether the fault affects a call of a caller."""
        if not self.mode or (self.hosts and caller not in self.hosts):
            return False
        return self.share >= 1.0 or self.rng.random() < self.share


@dataclass(slots=True)
class Call:
    """A call that the store received."""

    timestamp_s: float
    caller: str
    method: str
    path: str


@dataclass(slots=True, frozen=True)
class ObjectChange:
    """A change of an object.

    Attributes
    ----------
    timestamp_s : float
        When the store confirmed the change, in trio time.
    kind, name : str
        Kind and name of the object.
    spec : object
        New value of the object; None if it was removed.
    """

    timestamp_s: float
    kind: str
    name: str
    spec: Any


@dataclass(slots=True, frozen=True)
class SavedObject:
    """An object as it was from a time on; see `StoreStandIn.restore`.

    Attributes
    ----------
    timestamp_s : float
        When the object was written, in trio time.
    revision : int
        Revision of the write.
    kind, name : str
        Kind and name of the object.
    item : dict or None
        The object; None if it was removed.
    """

    timestamp_s: float
    revision: int
    kind: str
    name: str
    item: dict | None


class StoreStandIn:
    """Stand-in for the store.

    Attributes
    ----------
    era : int or None
        How often the store was restored from a copy, as all responses state it; None
        for a store that states none.
    objects : dict of str to dict
        Objects by kind and name.
    revision : int
        Revision of the last change.
    calls : list of Call
        All calls received.
    object_changes : list of ObjectChange
        All changes of objects; unlike the history, no fault discards them.
    invalid_items : dict of str to list
        Items by kind that are listed among the objects but are not objects.
    page_size : int
        Maximum number of objects in a page of a list.
    response_delay_s : float
        Time until a call is answered, in seconds.
    failing_targets : tuple of str
        Parts of targets; a call whose target contains one is answered with 500.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.invalid_items: dict[str, list[Any]] = {}
        self.page_size = PAGE_SIZE
        self.response_delay_s = RESPONSE_DELAY_S
        self.failing_targets: tuple[str, ...] = ()
        self.era: int | None = 1
        self.revision = FIRST_REVISION
        self.saved: list[SavedObject] = []
        self.history: list[tuple[int, str, dict]] = []
        self.oldest_revision = 0
        self.faults = StoreFaults()
        self.calls: list[Call] = []
        self.object_changes: list[ObjectChange] = []
        self.changed = trio.Event()
        self.server = RawServer(self.handle)

    # Used directly by the operator and the servers' stand-ins, without calls.

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
        self.save(kind, name, item)
        self.object_changes.append(ObjectChange(trio.current_time(), kind, name, spec))
        self.record_change(kind, {"object": item, "deleted": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        self.save(kind, name, None)
        self.object_changes.append(ObjectChange(trio.current_time(), kind, name, None))
        item = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self.record_change(kind, {"object": item, "deleted": True})

    def put_invalid_item(self, kind: str, item: Any) -> None:
        """List an item that is not an object, and report it to the watches."""
        self.revision += 1
        self.invalid_items.setdefault(kind, []).append(item)
        self.record_change(kind, item)

    def record_change(self, kind: str, event: Any) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self) -> None:
        """Drop the history; watches from an earlier revision get 410."""
        self.history.clear()
        self.oldest_revision = self.revision

    def save(self, kind: str, name: str, item: dict | None) -> None:
        """Save the state of an object for a later restore."""
        now_s = trio.current_time()
        self.saved.append(SavedObject(now_s, self.revision, kind, name, item))

    def restore(self, age_s: float) -> None:
        """Return to the state of some seconds ago and begin a new era.

        Revisions after it are given out again.
        """
        copied_s = trio.current_time() - age_s
        self.saved = [saved for saved in self.saved if saved.timestamp_s <= copied_s]
        self.revision = max((s.revision for s in self.saved), default=FIRST_REVISION)
        self.history = [e for e in self.history if e[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.objects = {kind: {} for kind in self.objects}
        for saved in self.saved:
            if saved.item is None:
                self.objects[saved.kind].pop(saved.name, None)
            else:
                self.objects[saved.kind][saved.name] = saved.item
        if self.era is not None:
            self.era += 1

    def headers(self) -> dict[str, str]:
        """Return the headers of a response."""
        return {} if self.era is None else {ERA_HEADER: str(self.era)}

    # Calls over the network.

    async def handle(self, request: RawRequest, wire: RawWire) -> None:
        """Handle a call."""
        self.calls.append(
            Call(trio.current_time(), request.caller, request.method, request.target)
        )
        if await self.apply_fault(request, wire):
            return
        error = target_error(request.target)
        if any(part in request.target for part in self.failing_targets):
            error = INTERNAL_ERROR
        if error is not None:
            await wire.answer(error, self.headers())
            return
        begin_count = self.faults.begin_count
        await trio.sleep(self.response_delay_s)
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        kind, name = unquote(kind), unquote(name)
        if request.method == "GET":
            status, value = await self.read(kind, name, request)
            if self.faults.share >= 1.0 and await self.apply_fault(request, wire):
                return
            if begin_count != self.faults.begin_count and not self.faults.hosts:
                await trio.sleep_forever()
        else:
            outcome = await self.write(kind, name, request)
            if outcome is None:
                await trio.sleep_forever()
            status, value = outcome
        await wire.answer(status, JSON | self.headers(), encode_value(value))

    async def apply_fault(self, request: RawRequest, wire: RawWire) -> bool:
        """Apply the active fault to a call; return whether there was one."""
        if not self.faults.affects(request.caller):
            return False
        mode = self.faults.mode
        if mode == "silent":
            await trio.sleep_forever()
        elif mode == "reset":
            wire.reset()
        else:
            await wire.answer(429 if mode == "many" else 503, self.headers())
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
        items = [self.objects[kind][n] for n in names[: self.page_size]]
        items += self.invalid_items.get(kind, [])
        return {
            "items": items,
            "hasMore": len(names) > self.page_size,
            "storeRevision": self.revision,
        }

    async def watch(self, kind: str, request: RawRequest) -> tuple[int, Any]:
        """Wait for changes of a kind; return status and value."""
        since = int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if since < self.oldest_revision or since > self.revision:
            return 410, {}
        with trio.move_on_after(wait_s):
            while since >= self.oldest_revision and not self.events(kind, since):
                await self.changed.wait()
        if since < self.oldest_revision:
            return 410, {}
        events = self.events(kind, since)
        return 200, {"events": events, "storeRevision": self.revision}

    def events(self, kind: str, since: int) -> list[dict]:
        """Return the changes of a kind since a revision."""
        return [e for r, k, e in self.history if k == kind and r > since]

    async def write(
        self, kind: str, name: str, request: RawRequest
    ) -> tuple[int, Any] | None:
        """Return status and value of a write, or None if its response is lost."""
        body = json.loads(request.body or b"{}")
        if "revision" in request.query:
            body.setdefault("metadata", {})["revision"] = int(request.query["revision"])
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await trio.sleep(self.faults.delay_writes_s)
            self.apply(kind, name, request.method, body)
            return None
        return self.apply(kind, name, request.method, body)

    def apply(self, kind: str, name: str, method: str, body: dict) -> tuple[int, Any]:
        """Apply a write if its condition holds; return status and value."""
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


def target_error(target: str) -> int | None:
    """Return the status that refuses the target of a request; None for a valid one."""
    if len(target) > MAX_TARGET_BYTES:
        return TARGET_TOO_LONG
    if TARGET.fullmatch(target) is None:
        return INVALID_TARGET
    try:
        unquote(target, errors="strict")
        parse_qsl(target.partition("?")[2], strict_parsing="?" in target)
    except ValueError:
        return INVALID_TARGET
    return None
