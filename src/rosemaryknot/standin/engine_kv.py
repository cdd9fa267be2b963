"""Export and import of KV caches between stand-in engines, at a bounded rate."""

import itertools
import math
from dataclasses import asdict, dataclass
from typing import Any

import httpx
import trio
from quart import request

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.standin.batch import Batch, EngineSettings, Generation

__all__ = ["KvExport", "KvTransfers"]

PART_S = 0.05
TRANSFERS_KEPT = 1000
PART_TIMEOUT_S = 10.0


@dataclass(slots=True)
class KvExport:
    """The KV cache of a generation as it was when it was exported.

    Attributes
    ----------
    id, lineage : str
        Of the generation.
    prompt_tokens : int
        Length of the prompt.
    tokens : int
        Length of prompt and answer so far.
    size_bytes : int
        Its size.
    parts : int
        Number of parts in which it is fetched.
    """

    id: str
    lineage: str
    prompt_tokens: int
    tokens: int
    size_bytes: int
    parts: int


def keep(table: dict[str, KvExport], name: str, export: KvExport) -> None:
    """Keep an export, and forget the oldest where there are too many."""
    table[name] = export
    if len(table) > TRANSFERS_KEPT:
        del table[next(iter(table))]


class KvTransfers:
    """The exports and imports of one engine.

    Parameters
    ----------
    settings : EngineSettings
        Gives the rate and the size of a token.
    batch : Batch
        Where generations are found.

    Attributes
    ----------
    network : Network or None
        Where imports are fetched.
    exports : dict of str to KvExport
        By handle.
    imports : dict of str to KvExport
        Fetched and not used yet, by request id.
    exported_bytes, imported_bytes : int
        Moved so far.
    """

    def __init__(self, settings: EngineSettings, batch: Batch) -> None:
        self.settings = settings
        self.batch = batch
        self.network: Network | None = None
        self.exports: dict[str, KvExport] = {}
        self.imports: dict[str, KvExport] = {}
        self.numbers = itertools.count(1)
        self.export_free_s = -math.inf
        self.import_free_s = -math.inf
        self.exported_bytes = 0
        self.imported_bytes = 0

    def export(self, id: str) -> tuple[str, KvExport] | None:
        """Take a copy of a running generation's KV cache under a new handle."""
        generation = self.batch.generations.get(id)
        if generation is None or generation.entry.outcome == "cancelled":
            return None
        if generation.prefill_left != 0:
            return None  # nothing worth moving before the prefill is done
        tokens = generation.entry.prompt_tokens + generation.offset
        size_bytes = tokens * self.settings.kv_bytes_per_token
        parts = max(1, math.ceil(size_bytes / (self.settings.kv_bytes_per_s * PART_S)))
        prompt_tokens = generation.entry.prompt_tokens
        lineage = generation.lineage
        export = KvExport(id, lineage, prompt_tokens, tokens, size_bytes, parts)
        handle = f"kv-{next(self.numbers)}"
        keep(self.exports, handle, export)
        return handle, export

    def take_import(self, generation: Generation) -> int:
        """Return how many tokens of a generation need no prefill after an import."""
        export = self.imports.pop(generation.id, None)
        if export is None:
            return 0
        if export.lineage != generation.lineage:
            return min(export.prompt_tokens, generation.entry.prompt_tokens)
        return min(export.tokens, generation.entry.prompt_tokens + generation.first)

    async def post_export(self) -> tuple | dict[str, Any]:
        """Handle ``POST /kv/export``."""
        body = await request.get_json(force=True)
        made = self.export(body.get("id"))
        if made is None:
            return {"error": "nothing to export"}, 404
        handle, export = made
        return {"kv": handle, "tokens": export.tokens, "bytes": export.size_bytes}

    async def get_part(self, handle: str, part: int) -> tuple | dict[str, Any]:
        """Handle ``GET /kv/<handle>/<part>``: answers when the part has been sent."""
        export = self.exports.get(handle)
        if export is None or part >= export.parts:
            return {"error": "no such part"}, 404
        size_bytes = export.size_bytes / export.parts
        now = trio.current_time()
        begin = max(now, self.export_free_s)
        self.export_free_s = begin + size_bytes / self.settings.kv_bytes_per_s
        await trio.sleep_until(self.export_free_s)
        self.exported_bytes += int(size_bytes)
        return asdict(export)

    async def post_import(self) -> tuple | dict[str, Any]:
        """Handle ``POST /kv/import``."""
        body = await request.get_json(force=True)
        try:
            export = await self.fetch(body["source"], body["kv"])
        except (httpx.HTTPError, LookupError) as error:
            return {"error": f"import failed: {type(error).__name__}"}, 502
        if export.id != body.get("id"):
            return {"error": "the KV cache is of another request"}, 409
        keep(self.imports, export.id, export)
        return {"tokens": export.tokens, "bytes": export.size_bytes}

    async def fetch(self, source: str, handle: str) -> KvExport:
        """Fetch all parts from another engine, no faster than this one can take."""
        part = 0
        async with http_client(self.network, PART_TIMEOUT_S, math.inf) as client:
            while True:
                response = await client.get(f"http://{source}/kv/{handle}/{part}")
                if response.status_code != httpx.codes.OK:
                    raise LookupError(handle)
                export = KvExport(**response.json())
                await self.take_part(export.size_bytes / export.parts)
                part += 1
                if part >= export.parts:
                    return export

    async def take_part(self, size_bytes: float) -> None:
        """Wait for this engine's own share of the link."""
        duration_s = size_bytes / self.settings.kv_bytes_per_s
        begin = max(trio.current_time() - duration_s, self.import_free_s)
        self.import_free_s = begin + duration_s
        await trio.sleep_until(self.import_free_s)
        self.imported_bytes += int(size_bytes)
