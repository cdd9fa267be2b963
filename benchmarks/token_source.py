"""A source of paced tokens that speaks the engine's wire format and costs little.

Run: ``python benchmarks/token_source.py PORT TOKENS GAP_MS``.
"""

import json
import random
import sys
from functools import partial

import trio

SEED = 7
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
LOAD = json.dumps(
    {
        "running": 0,
        "waiting": 0,
        "slots": 512,
        "step_time_ms": 3,
        "free_kv_tokens": 10**7,
    }
).encode()


def chunk(data: bytes) -> bytes:
    """Return one HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def token_event(identifier: str, lineage: str, offset: int) -> bytes:
    """Return the event of one token."""
    text = (
        f'data: {{"id":"{identifier}","lineage":"{lineage}","offset":{offset},'
        f'"choices":[{{"index":0,"delta":{{"content":" beam{offset}"}}}}]}}\n\n'
    )
    return chunk(text.encode())


def last_events(identifier: str, lineage: str, tokens: int) -> bytes:
    """Return the end of the stream."""
    usage = {"prompt_tokens": 8, "cached_tokens": 0, "completion_tokens": tokens}
    done = {"id": identifier, "lineage": lineage, "offset": tokens, "done": True}
    text = f"data: {json.dumps(done | {'usage': usage}, separators=(',', ':'))}\n\n"
    return chunk(text.encode() + b"data: [DONE]\n\n") + b"0\r\n\r\n"


async def read_request(stream: trio.SocketStream, buffer: bytearray) -> tuple | None:
    """Return the first line and the body of the next request."""
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some(65536)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(rest) < length:
        rest += await stream.receive_some(65536)
    buffer[:] = rest[length:]
    return head.split(b"\r\n")[0], rest[:length]


class TokenSource:
    """Serves each completion with the same number of paced tokens."""

    def __init__(self, tokens: int, gap_s: float) -> None:
        self.tokens = tokens
        self.gap_s = gap_s
        self.random = random.Random(SEED)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        buffer = bytearray()
        try:
            while True:
                request = await read_request(stream, buffer)
                if request is None:
                    return
                await self.answer(stream, *request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def answer(self, stream: trio.SocketStream, line: bytes, body: bytes) -> None:
        """Answer one request."""
        if not line.startswith(b"POST /v1/chat/completions"):
            length = b"content-length: %d\r\n\r\n" % len(LOAD)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + length + LOAD)
            return
        ids = json.loads(body).get("rosemaryknot", {"id": "r", "lineage": "l"})
        identifier, lineage = ids["id"], ids["lineage"]
        await stream.send_all(HEAD)
        start = trio.current_time() + self.random.random() * self.gap_s
        for offset in range(self.tokens):
            await trio.sleep_until(start + offset * self.gap_s)
            await stream.send_all(token_event(identifier, lineage, offset))
        await stream.send_all(last_events(identifier, lineage, self.tokens))


if __name__ == "__main__":
    source = TokenSource(int(sys.argv[2]), float(sys.argv[3]) / 1000)
    trio.run(partial(trio.serve_tcp, host="127.0.0.1"), source.handle, int(sys.argv[1]))
