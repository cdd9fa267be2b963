"""Compression of the frames of a link."""

from functools import lru_cache

import zstandard

from rosemaryknot.values.compression import CompressionError, unpacked
from rosemaryknot.values.messages import MessageError

__all__ = ["ZSTD", "compressed", "decompressed"]

ZSTD = "zstd"
"""Name of the compression in a hello."""

# A smaller frame takes one packet either way.
LEAST_BYTES = 1024
COMPRESSOR = zstandard.ZstdCompressor()


def compressed(payload: bytes) -> bytes:
    """Return a frame's payload as it goes out, compressed where that is worth it."""
    return payload if len(payload) < LEAST_BYTES else compressed_once(payload)


# One message is often sent on many links in a row.
@lru_cache(maxsize=1)
def compressed_once(payload: bytes) -> bytes:
    """Return a payload compressed."""
    return COMPRESSOR.compress(payload)


def decompressed(payload: bytes, limit: int) -> bytes:
    """Return a frame's payload as it was before `compressed`.

    An encoded message begins with the mark of an array, which no compressed one does.

    Parameters
    ----------
    payload : bytes
        As it came.
    limit : int
        Most bytes that it may have.

    Returns
    -------
    payload : bytes
        An encoded message.

    Raises
    ------
    MessageError
        If it cannot be decompressed, or to more than the limit.

    Examples
    --------
    >>> message = b"report" * 1000
    >>> len(compressed(message)) < 100
    True
    >>> decompressed(compressed(message), 6000) == message
    True
    """
    if not payload.startswith(zstandard.FRAME_HEADER):
        return payload
    try:
        return unpacked(payload, limit)
    except CompressionError as error:
        raise MessageError(str(error)) from error
