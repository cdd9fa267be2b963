"""Stand-in of a model engine: the HTTP interface over a `Batch`."""

import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import trio
from quart import request

from rosemaryknot.connection.network import Network
from rosemaryknot.standin.answers import answer_length, count_tokens, prompt_text
from rosemaryknot.standin.batch import Batch, EngineSettings, Generation
from rosemaryknot.standin.drain_header import DrainHeader
from rosemaryknot.standin.engine_kv import KvTransfers
from rosemaryknot.standin.engine_load import LaggedLoad
from rosemaryknot.standin.engine_streams import EngineFaults, EngineStreams
from rosemaryknot.standin.host import Host, new_app
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.orders import Orders
from rosemaryknot.standin.prefix_cache import prefix_blocks
from rosemaryknot.standin.rate_limit import RateLimit
from rosemaryknot.values.nodes import Address

__all__ = ["EngineFaults", "EngineSettings", "EngineStandIn"]

DEFAULT_MAX_TOKENS = 256
RETRY_AFTER_S = 1
SSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
LEAVING_HEADERS = {"Rosemaryknot-Leaving": "1"}


class EngineStandIn:
    """One model engine.

    Parameters
    ----------
    settings : EngineSettings, optional
        What it is like.
    clock : callable, optional
        Seconds of the epoch, for the ledger.

    Attributes
    ----------
    batch : Batch
        Its generations and their ledger (``batch.ledger``).
    faults : EngineFaults
        May be changed at any time.
    host : Host
        Its process: ``freeze``, ``thaw``, ``silence``.
    orders : Orders
        The orders that it has carried out.
    leaving : bool
        Whether it refuses new work and goes on with what is running.
    rate_limit : RateLimit
        The rate limit that it states.
    drain_header : DrainHeader
        The drain that it states while it serves requests.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = EngineSettings() if settings is None else settings
        self.batch = Batch(self.settings, clock)
        self.orders = Orders(self.settings, clock)
        self.kv = KvTransfers(self.settings, self.batch)
        self.load = LaggedLoad(self.settings, self.batch)
        self.faults = EngineFaults()
        self.streams = EngineStreams(self.faults)
        self.leaving = False
        self.work = trio.Event()
        self.app = new_app("engine")
        self.drain_header = DrainHeader(self.app)
        self.rate_limit = RateLimit(self.app, "/v1/chat/completions")
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
            Where to listen, and to fetch KV caches from other engines.
        address : Address
            Where to listen; port 0 takes a free one.
        task_status : trio.TaskStatus
            Told the bound address.
        """
        self.kv.network = network
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.run_steps)
            await self.host.serve(network, address, task_status=task_status)
            nursery.cancel_scope.cancel()

    def kill(self) -> None:
        """Die: all connections end at once, and nothing is computed any more."""
        self.host.kill()
        if self.nursery is not None:
            self.nursery.cancel_scope.cancel()

    # Steps

    @property
    def step_time_s(self) -> float:
        """Time of one step, in seconds."""
        return self.settings.step_time_s * self.faults.step_time_factor

    async def run_steps(self) -> None:
        """Compute steps while there is work; the only task that computes."""
        due_s = trio.current_time()
        while True:
            if not self.batch.running and not self.batch.waiting:
                self.work = trio.Event()
                await self.work.wait()
            due_s = max(due_s + self.step_time_s, trio.current_time())
            await trio.sleep_until(due_s)
            await self.host.wait_thawed()
            self.step()

    def step(self) -> None:
        """Compute one step and note the load."""
        made = self.batch.step(trio.current_time())
        self.load.note(self.step_time_s)
        if self.faults.die_after_tokens:
            self.faults.die_after_tokens -= made
            if self.faults.die_after_tokens <= 0:
                self.kill()

    # Streams

    def accept(self, body: dict[str, Any]) -> Generation:
        """Queue the generation that a request asks for, or join the running one."""
        ours = body["rosemaryknot"]
        prompt = prompt_text(body["messages"])
        prefix = list(ours.get("prefix") or [])
        length = answer_length(prompt, body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        entry = GenerationEntry(ours["id"], ours["lineage"], count_tokens(prompt))
        generation = self.batch.generations.get(entry.id)
        # A prefix beyond what was made here came from another engine meanwhile.
        if not self.is_running(ours) or generation.offset < len(prefix):
            blocks = prefix_blocks(prompt)
            priority = int(ours.get("priority") or 0)
            generation = self.batch.add(entry, prompt, blocks, prefix, length, priority)
            generation.imported_tokens = self.kv.take_import(generation)
            generation.detached_s = trio.current_time()
            self.load.note(self.step_time_s)
            self.work.set()
        return generation

    def is_running(self, ours: dict[str, Any]) -> bool:
        """Tell whether a request asks for a generation that is here."""
        generation = self.batch.generations.get(ours["id"])
        return (
            generation is not None
            and generation.lineage == ours["lineage"]
            and generation.entry.outcome != "cancelled"
        )

    # HTTP

    def add_routes(self) -> None:
        """Declare the HTTP interface."""
        app = self.app
        app.post("/v1/chat/completions")(self.post_completion)
        app.get("/v1/requests/<id>")(self.get_request)
        app.post("/v1/requests/<id>/cancel")(self.post_cancel)
        app.get("/load")(self.get_load)
        app.get("/cache-events")(self.get_cache_events)
        app.post("/kv/export")(self.kv.post_export)
        app.get("/kv/<handle>/<int:part>")(self.kv.get_part)
        app.post("/kv/import")(self.post_import)
        app.post("/orders")(self.orders.post_order)
        app.get("/orders")(self.orders.get_orders)
        app.post("/test/faults")(self.post_faults)
        app.get("/test/ledger")(self.get_ledger)

    def refusal(self, body: dict[str, Any]) -> tuple | None:
        """Return the answer to work that is refused, or None."""
        if self.leaving and not self.is_running(body["rosemaryknot"]):
            return {"error": "leaving"}, 503, LEAVING_HEADERS
        if len(self.batch.waiting) >= self.settings.max_waiting:
            return {"error": "queue full"}, 503, {"Retry-After": str(RETRY_AFTER_S)}
        if not self.orders.has_model(body.get("model")):
            return {"error": "model not loaded"}, 404
        size = (body.get("max_tokens") or DEFAULT_MAX_TOKENS) + count_tokens(
            prompt_text(body["messages"])
        )
        if size > self.settings.kv_tokens:
            return {"error": "longer than the memory"}, 400
        return None

    async def post_completion(self) -> tuple:
        """Generate, from the start or from a prefix."""
        body = await request.get_json(force=True, silent=True)
        ours = body.get("rosemaryknot") if isinstance(body, dict) else None
        if not isinstance(ours, dict) or not {"id", "lineage"} <= ours.keys():
            return {"error": "no id and lineage"}, 400
        if not isinstance(body.get("messages"), list) or not body.get("stream"):
            return {"error": "messages and stream are needed"}, 400
        refusal = self.refusal(body)
        if refusal is not None:
            return refusal
        if self.faults.late_s:
            await trio.sleep(self.faults.late_s)
        generation = self.accept(body)
        events = self.streams.follow(generation, len(ours.get("prefix") or []))
        return events, 200, SSE_HEADERS

    async def get_request(self, id: str) -> dict[str, Any]:
        """Tell the state of a generation."""
        generation = self.batch.generations.get(id)
        if generation is None or generation.entry.outcome == "cancelled":
            return {"id": id, "lineage": "", "status": "unknown", "offset": 0}
        return {
            "id": id,
            "lineage": generation.lineage,
            "status": generation.entry.outcome,
            "offset": generation.offset,
        }

    async def post_cancel(self, id: str) -> dict[str, Any]:
        """Cancel a generation."""
        return {"cancelled": self.batch.cancel(id)}

    async def get_load(self) -> dict[str, Any]:
        """Report the load, with a lag."""
        return asdict(self.load.report())

    async def get_cache_events(self) -> dict[str, Any]:
        """Report cache events, late and with gaps in their numbers."""
        since = request.args.get("since", 0, type=int)
        before_s = trio.current_time() - self.settings.event_lag_s
        events = self.batch.cache.events_since(since, before_s)
        last = events[-1].seq if events else since
        return {
            "events": [
                {"seq": e.seq, "event": e.event, "block": e.block} for e in events
            ],
            "next": last,
        }

    async def post_import(self) -> tuple | dict[str, Any]:
        """Fetch a KV cache from another engine, unless this one is leaving."""
        if self.leaving:
            return {"error": "leaving"}, 503, LEAVING_HEADERS
        return await self.kv.post_import()

    async def post_faults(self) -> dict[str, Any]:
        """Set faults; see `apply_faults`."""
        return self.apply_faults(await request.get_json(force=True))

    def apply_faults(self, body: dict[str, Any]) -> dict[str, Any]:
        """Set faults from a JSON object.

        Parameters
        ----------
        body : dict
            Any of ``late_s``, ``step_time_factor``, ``swap``, ``die_after_tokens``,
            ``leaving``, ``silence``, ``freeze_s``, ``kill``.

        Returns
        -------
        state : dict
            The faults in force, and ``silenced``, the connections made silent.
        """
        for name in ("late_s", "step_time_factor", "swap", "die_after_tokens"):
            setattr(self.faults, name, body.get(name, getattr(self.faults, name)))
        self.leaving = body.get("leaving", self.leaving)
        self.streams.swap_if_due()
        if body.get("freeze_s"):
            self.nursery.start_soon(self.host.freeze_for, body["freeze_s"])
        if body.get("kill"):
            self.kill()
        silenced = self.host.silence() if body.get("silence") else 0
        return {**asdict(self.faults), "leaving": self.leaving, "silenced": silenced}

    async def get_ledger(self) -> dict[str, Any]:
        """Return what was spent on each generation, and the orders carried out."""
        return {
            "generations": [asdict(entry) for entry in self.batch.ledger],
            "orders": [asdict(order) for order in self.orders.carried_out],
        }
