"""Framing of a link, and the handshake in which both ends prove the cluster key."""

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
    """Reader that splits a stream into frames."""

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


def compute_proof(key: bytes, nonce: bytes, hello: bytes) -> Proof:
    """Return the proof for the peer's nonce and a hello as it was sent.

    The proof covers the bytes on the wire. The hello of a newer peer may have fields
    that this release drops, so that it would differ when encoded again.
    """
    return Proof(hmac.new(key, nonce + hello, hashlib.sha256).digest())


@contextmanager
def hello_timeout() -> Iterator[None]:
    """Limit the duration of the handshake, and map its errors to `LinkClosed`."""
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
    """Write one frame before the link is established."""
    await stream.send_all(len(payload).to_bytes(4, "big") + payload)


async def read_hello(reader: FrameReader) -> tuple[Hello, bytes]:
    """Read the peer's hello; return it with its encoded bytes."""
    payload = await reader.read_frame(MAX_HELLO_BYTES)
    value, _, _ = decode_message(payload)
    if not isinstance(value, Hello) or not is_well_formed(value):
        raise LinkClosed("expected hello")
    return value, payload


def is_well_formed(hello: Hello) -> bool:
    """Return whether the fields of a hello have the expected types."""
    texts = (hello.name, hello.zone, hello.role, hello.address, hello.compression)
    return (
        all(isinstance(text, str) for text in texts)
        and isinstance(hello.incarnation, int)
        and isinstance(hello.nonce, bytes)
        and len(hello.nonce) == NONCE_BYTES
    )


async def verify_proof(
    reader: FrameReader, key: bytes, hello_sent: bytes, hello_read: bytes
) -> None:
    """Read and verify the peer's proof.

    Raises
    ------
    LinkClosed
        If the proof is missing or was made with another key.
    """
    ours, _, _ = decode_message(hello_sent)
    value, _, _ = decode_message(await reader.read_frame(MAX_HELLO_BYTES))
    if not isinstance(value, Proof) or not isinstance(value.mac, bytes):
        raise LinkClosed("expected proof")
    expected = compute_proof(key, ours.nonce, hello_read)
    if not hmac.compare_digest(value.mac, expected.mac):
        raise LinkClosed("wrong cluster key")


async def exchange_hellos(
    stream: trio.abc.HalfCloseableStream,
    reader: FrameReader,
    key: bytes,
    hello: Hello,
    is_dialled: bool,
) -> Hello:
    """Exchange hellos and proofs over a new connection.

    The dialling end sends its hello first; the accepting end sends its proof first.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    reader : FrameReader
        Reader of the stream.
    key : bytes
        Cluster key.
    hello : Hello
        Hello of this process; its nonce is replaced.
    is_dialled : bool
        Whether this process dialled the connection.

    Returns
    -------
    hello : Hello
        Hello of the peer.

    Raises
    ------
    LinkClosed
        If the peer does not prove that it holds the key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    sent = encode_message(replace(hello, nonce=nonce, compression=ZSTD))
    with hello_timeout():
        if is_dialled:
            await send_raw(stream, sent)
            theirs, received = await read_hello(reader)
            await verify_proof(reader, key, sent, received)
            proof = compute_proof(key, theirs.nonce, sent)
            await send_raw(stream, encode_message(proof))
        else:
            theirs, received = await read_hello(reader)
            proof = compute_proof(key, theirs.nonce, sent)
            await send_raw(stream, sent)
            await send_raw(stream, encode_message(proof))
            await verify_proof(reader, key, sent, received)
    return theirs
