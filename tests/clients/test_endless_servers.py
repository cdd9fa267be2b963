"""Crowds of requests to a backend server that sends bytes without end.

Each test has the machine to itself, as those of crowds of clients have. The checks
depend on no time: the node lives, its memory stays within that of its machine, and an
ordinary request is served.
"""

import pytest
import trio
from tests.clients.crowd import Script, head
from tests.clients.processes import ATTEMPT_MARK, run_node
from tests.clients.test_node_clients import check_crowd

CALLERS = 60
HEAD = (
    b"HTTP/1.1 200 OK\r\nRosemaryknot-Instance-Signature: signed\r\n"
    b"Rosemaryknot-Attempt-Id: " + ATTEMPT_MARK + b"\r\n"
)
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
PIECE = b"x" * 65536
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
PLAIN = "/stock/endless"
MODEL = "/plan/endless"
MODEL_FIELDS = (
    "Content-Length: 0\r\nRosemaryknot-Model: m\r\n"
    "Rosemaryknot-Token-Usage: 1000,50\r\nRosemaryknot-Prefix-Hash: a:400,b:600"
)
# What the server sends first, and then again and again.
WAYS = {
    "status": (PLAIN, b"HTTP/1.1 200 ", PIECE),
    "headers": (PLAIN, HEAD, b"X-More: 1\r\n" * 1000),
    "interim": (PLAIN, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "close": (PLAIN, HEAD + b"\r\n", PIECE),
    "length": (PLAIN, HEAD + b"Content-Length: 99999999999\r\n\r\n", PIECE),
    "chunks": (PLAIN, HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "extension": (PLAIN, HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=", PIECE),
    "trailers": (
        PLAIN,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n" * 1000,
    ),
    "event": (MODEL, STREAM + b"\r\ndata: ", PIECE),
    "events": (MODEL, STREAM + b"\r\n", b"id: 1\ndata: x\n\n" * 1000),
}


class TestEndlessResponses:
    @pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
    @pytest.mark.parametrize("way", WAYS)
    def test_memory(self, way, reads, tmp_path):
        """Guards against a node that buffers what servers send without end."""

        async def run():
            path, begin, piece = WAYS[way]
            async with run_node(tmp_path) as node:
                node.endless[path] = (begin, piece)
                fields = MODEL_FIELDS if path == MODEL else "Content-Length: 0"
                script = Script([head(fields, path=path)], reads=reads)
                await check_crowd(node, script, CALLERS)

        trio.run(run)
