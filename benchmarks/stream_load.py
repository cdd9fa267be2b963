"""Callers of a relay benchmark: many streams at once, read by bare sockets."""

import json
from dataclasses import dataclass

import trio

__all__ = ["StreamLoad"]

RECEIVE_BYTES = 65536
END = b"data: [DONE]"


@dataclass(slots=True)
class StreamLoad:
    """Streams against one address.

    Attributes
    ----------
    port : int
        Port on the loopback address.
    api_key : str
        Key of the caller.
    service : str
        Model service to ask.
    tokens : int
        Tokens of each answer.
    finished : int
        Streams that ended with all their tokens.
    """

    port: int
    api_key: str
    service: str
    tokens: int
    finished: int = 0

    def request_bytes(self, number: int) -> bytes:
        """Return one request; each has a prompt of its own."""
        body = json.dumps(
            {
                "model": self.service,
                "messages": [{"role": "user", "content": f"span table {number}"}],
                "max_tokens": self.tokens,
                "stream": True,
            }
        ).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n"
            f"authorization: Bearer {self.api_key}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def run_stream(self, number: int) -> None:
        """Read one stream to its end."""
        received = bytearray()
        async with await trio.open_tcp_stream("127.0.0.1", self.port) as stream:
            await stream.send_all(self.request_bytes(number))
            while END not in received[-RECEIVE_BYTES - len(END) :]:
                data = await stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                received += data
        if received.count(b'"delta":{"content":') == self.tokens:
            self.finished += 1

    async def run(self, streams: int) -> None:
        """Run that many streams at once."""
        async with trio.open_nursery() as nursery:
            for number in range(streams):
                nursery.start_soon(self.run_stream, number)
