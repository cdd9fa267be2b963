"""Simulation of callers that read slowly, for tests in virtual time."""

import trio

from rosemaryknot.connection.memory_network import MemoryStream
from rosemaryknot.standin.users.system import CALLER_HOST

__all__ = ["read_slowly"]


def read_slowly(monkeypatch, write_s):
    """Make each write to callers take `write_s`; none completes immediately."""

    async def send_all(stream, data):
        if stream.far == CALLER_HOST:
            await trio.sleep(write_s)
        await original_send_all(stream, data)

    def send_now(stream, data):
        return 0 if stream.far == CALLER_HOST else original_send_now(stream, data)

    original_send_all = MemoryStream.send_all
    original_send_now = MemoryStream.send_now
    monkeypatch.setattr(MemoryStream, "send_all", send_all)
    monkeypatch.setattr(MemoryStream, "send_now", send_now)
