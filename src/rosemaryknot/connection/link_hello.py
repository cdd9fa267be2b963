"""Frames, and the exchange of hellos by which two ends prove the cluster key."""

import hashlib
import hmac
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import trio

from rosemaryknot.connection.link_compression import ZSTD
from rosemaryknot.connection.link_messages import Hello, LinkClosed, Proof
from rosemaryknot.values.messages import MessageError, decode_message, encode_message

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "exchange_hellos"]

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_HELLO_BYTES = 4096
HELLO_TIMEOUT_S = 3.0
NONCE_BYTES = 16
RECEIVE_BYTES = 65536


class FrameReader:
    """Cuts a stream into frames."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.buffer = bytearray()

    async def read_exactly(self, size: int) -> bytes:
        """Return the next ``size`` bytes."""
        while len(self.buffer) < size:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise LinkClosed("end of stream")
            self.buffer += data
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    async def read_frame(self, limit: int = MAX_FRAME_BYTES) -> bytes:
        """Return the next frame's payload."""
        size = int.from_bytes(await self.read_exactly(4), "big")
        if size > limit:
            raise LinkClosed(f"frame of {size} bytes is too large")
        return await self.read_exactly(size)


def proof_of(key: bytes, nonce: bytes, hello: bytes) -> Proof:
    """Return the proof for the other end's nonce and a hello as it was sent.

    It covers the bytes on the wire: a newer peer's hello holds fields that this
    release drops, and would not be the same when encoded again.
    """
    return Proof(hmac.new(key, nonce + hello, hashlib.sha256).digest())


@contextmanager
def hello_bounds() -> Iterator[None]:
    """Bound the exchange of hellos in time, and map its errors."""
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            yield
    except (
        MessageError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
    ) as error:
        raise LinkClosed(f"no hello: {type(error).__name__}") from error


async def send_raw(stream: trio.abc.SendStream, payload: bytes) -> None:
    """Write one frame outside of a link."""
    await stream.send_all(len(payload).to_bytes(4, "big") + payload)


async def read_hello(reader: FrameReader) -> tuple[Hello, bytes]:
    """Read the other end's hello; return it with its bytes."""
    payload = await reader.read_frame(MAX_HELLO_BYTES)
    value, _, _ = decode_message(payload)
    if not isinstance(value, Hello) or not is_well_formed(value):
        raise LinkClosed("expected hello")
    return value, payload


def is_well_formed(hello: Hello) -> bool:
    """Tell whether the fields of a hello have their types."""
    texts = (hello.name, hello.zone, hello.role, hello.address, hello.compression)
    return (
        all(isinstance(text, str) for text in texts)
        and isinstance(hello.incarnation, int)
        and isinstance(hello.nonce, bytes)
        and len(hello.nonce) == NONCE_BYTES
    )


async def check_proof(
    reader: FrameReader, key: bytes, hello_sent: bytes, hello_read: bytes
) -> None:
    """Read the other end's proof and compare it."""
    ours, _, _ = decode_message(hello_sent)
    value, _, _ = decode_message(await reader.read_frame(MAX_HELLO_BYTES))
    if not isinstance(value, Proof) or not isinstance(value.mac, bytes):
        raise LinkClosed("expected proof")
    wanted = proof_of(key, ours.nonce, hello_read)
    if not hmac.compare_digest(value.mac, wanted.mac):
        raise LinkClosed("wrong cluster key")


async def exchange_hellos(
    stream: trio.abc.HalfCloseableStream,
    reader: FrameReader,
    key: bytes,
    hello: Hello,
    is_dialled: bool,
) -> Hello:
    """Exchange hellos and proofs over a new connection.

    The dialling end speaks first, the accepting end proves the key first.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    reader : FrameReader
        Reads it.
    key : bytes
        Cluster key.
    hello : Hello
        What we say of ourselves; its nonce is replaced.
    is_dialled : bool
        Whether this end dialled.

    Returns
    -------
    hello : Hello
        What the other end says of itself.

    Raises
    ------
    LinkClosed
        If the other end does not prove that it holds the key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    sent = encode_message(replace(hello, nonce=nonce, compression=ZSTD))
    with hello_bounds():
        if is_dialled:
            await send_raw(stream, sent)
            theirs, received = await read_hello(reader)
            await check_proof(reader, key, sent, received)
            proof = proof_of(key, theirs.nonce, sent)
            await send_raw(stream, encode_message(proof))
        else:
            theirs, received = await read_hello(reader)
            proof = proof_of(key, theirs.nonce, sent)
            await send_raw(stream, sent)
            await send_raw(stream, encode_message(proof))
            await check_proof(reader, key, sent, received)
    return theirs
