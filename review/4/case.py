"""Case 4: a response that is reset on the way reaches the client as a complete one.

A server begins to answer before it has read a long body. Its answer has neither a
length nor chunks and ends with its connection. A proxy between one of three nodes and
the server resets some of these connections, all at one moment of a round, in the middle
of their answers.
"""

import socket
from functools import partial
from pathlib import Path

import harness
import trio

ROUNDS = 14
REQUESTS = 10
# Half of the connections of one node of three are reset; the site file has 0.55 of
# those of 0.35 of the nodes.
RESETS = 5
BODY = b"plan set " * 465_000
PARTS = (b"first half of the answer;", b" second half of the answer")
SMALL_WINDOW = 65536
# Pause of the server between the two parts of its answer.
WORK_S = 0.8
# When the proxy resets connections, after it has passed on the first part of all.
RESET_AFTER_S = 0.1


class EarlyServer:
    """A sound server that answers while the body of a request is still arriving."""

    def __init__(self, server_id: str) -> None:
        self.id = server_id
        self.completed: set[str] = set()

    async def handle(self, stream: trio.SocketStream) -> None:
        """Answer one request, then close the connection."""
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                data = await stream.receive_some(4096)
                if not data:
                    return
                head += data
            head, _, body = head.partition(b"\r\n\r\n")
            fields = dict(
                line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:]
            )
            name = fields[b"rosemaryknot-attempt-id"].decode()
            answer = (
                "HTTP/1.1 200 OK\r\n"
                f"Rosemaryknot-Instance-Signature: {self.id}.sig\r\n"
                f"Rosemaryknot-Attempt-Id: {name}\r\n"
                "Content-Type: text/plain\r\nConnection: close\r\n\r\n"
            ).encode()
            await stream.send_all(answer + PARTS[0])
            await trio.sleep(WORK_S)
            left = int(fields[b"content-length"]) - len(body)
            while left > 0:
                data = await stream.receive_some(65536)
                if not data:
                    return
                left -= len(data)
            await stream.send_all(PARTS[1])
            self.completed.add(name)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def listen(nursery: trio.Nursery, handler: object) -> harness.Address:
    """Accept connections with small windows; return the address."""
    listening = trio.socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
    await listening.bind(("127.0.0.1", 0))
    listening.listen(64)
    listener = trio.SocketListener(listening)
    nursery.start_soon(partial(trio.serve_listeners, handler, [listener]))
    return harness.Address(*listening.getsockname())


class Proxy:
    """Passes bytes on between a node and a server; may reset connections.

    Attributes
    ----------
    answering : list of tuple
        Both ends of the connections on which an answer has begun.
    """

    def __init__(self, server: harness.Address) -> None:
        self.server = server
        self.answering: list[tuple[trio.SocketStream, trio.SocketStream]] = []

    async def handle(self, near: trio.SocketStream) -> None:
        """Pass the bytes of one connection on until it ends."""
        far = await trio.open_tcp_stream(self.server.host, self.server.port)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_WINDOW)
        ends = (near, far)
        async with trio.open_nursery() as nursery:

            async def copy_request() -> None:
                try:
                    while data := await near.receive_some(16384):
                        await far.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    nursery.cancel_scope.cancel()

            async def copy_answer() -> None:
                try:
                    while data := await far.receive_some(16384):
                        await near.send_all(data)
                        if ends not in self.answering:
                            self.answering.append(ends)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(copy_request)
            nursery.start_soon(copy_answer)
        await trio.aclose_forcefully(far)

    async def reset(self, count: int) -> None:
        """Reset some connections once the answers on all have begun."""
        while len(self.answering) < REQUESTS:
            await trio.sleep(0.01)
        await trio.sleep(RESET_AFTER_S)
        for ends in self.answering[:count]:
            for stream in ends:
                harness.reset(stream)


async def ask(case: harness.Case, deployment: harness.Deployment, name: str) -> None:
    """Send a request and compare what comes back with the answer of the server."""
    headers = {
        "Authorization": f"Bearer {harness.KEY}",
        "Rosemaryknot-Attempt-Id": name,
        "Rosemaryknot-Deadline-Ms": "10000",
    }
    reply = await harness.ask(
        deployment.hosts[0],
        deployment.ports["callers"],
        "POST",
        f"/plan/{name}",
        headers,
        BODY,
    )
    whole = PARTS[0] + PARTS[1]
    signature = reply.headers.get("rosemaryknot-instance-signature", "")
    case.note(
        f"{name}: sent {len(BODY)} bytes; status {reply.status}, signature"
        f" {signature!r}, body {reply.body!r}, complete by its framing:"
        f" {reply.is_whole}; whole body: {reply.body == whole}"
    )
    if reply.status == 200 and reply.is_whole and reply.body != whole:
        case.breaks(f"MIXED: {name} got 200 with a body that isn't the whole one")
    if not case.has_trouble and reply.body != whole:
        case.breaks(f"{name} was not answered although nothing was in its way")


async def play(case: harness.Case, deployment: harness.Deployment) -> None:
    """Play the case."""
    routes = [harness.route("plan", "non_idempotent", "dispatch-app")]
    services = [{"name": "dispatch-app", "maxConnections": 100}]
    deployment.store.put("config", "main", harness.configuration(routes, services))
    server = EarlyServer("i-1")
    proxy = Proxy(await listen(deployment.nursery, server.handle))
    through = await listen(deployment.nursery, proxy.handle)
    entry = harness.server_entry("dispatch-app", through)
    deployment.store.put("servers", "i-1", entry)
    for number in range(3):
        deployment.start_node(number)
    await deployment.wait_ready()
    for turn in range(ROUNDS):
        proxy.answering.clear()
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(ask, case, deployment, f"r{turn}-{number}")
            if case.has_trouble:
                await proxy.reset(RESETS)
        case.note(f"round {turn}: the server sent {len(server.completed)} whole so far")


if __name__ == "__main__":
    harness.run_case(Path(__file__).parent, play, nodes=3)
