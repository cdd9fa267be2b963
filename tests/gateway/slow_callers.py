"""Callers that read slowly, for tests in virtual time."""

import trio

from rosemaryknot.connection.memory_network import MemoryStream
from rosemaryknot.standin.users.system import CALLERS

__all__ = ["read_slowly"]


def read_slowly(monkeypatch, write_s):
    """Let each write to callers take a time; no byte is taken at once."""

    async def send_all(stream, data):
        if stream.far == CALLERS:
            await trio.sleep(write_s)
        await send_at_once(stream, data)

    def send_now(stream, data):
        return 0 if stream.far == CALLERS else take_at_once(stream, data)

    send_at_once = MemoryStream.send_all
    take_at_once = MemoryStream.send_now
    monkeypatch.setattr(MemoryStream, "send_all", send_all)
    monkeypatch.setattr(MemoryStream, "send_now", send_now)
