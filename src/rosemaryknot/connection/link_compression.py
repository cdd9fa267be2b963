"""Compression of the frames of a link."""

from functools import lru_cache

import zstandard

from rosemaryknot.values.compression import CompressionError, decompress_frame
from rosemaryknot.values.messages import MessageError

__all__ = ["ZSTD", "compress", "decompress"]

ZSTD = "zstd"
"""Name of the compression in `Hello.compression`."""

# A smaller frame takes one packet with or without compression.
MIN_COMPRESSED_BYTES = 1024
COMPRESSOR = zstandard.ZstdCompressor()


def compress(payload: bytes) -> bytes:
    """Return a frame's payload, compressed if it is large enough to benefit."""
    return payload if len(payload) < MIN_COMPRESSED_BYTES else compress_cached(payload)


# The same message is often sent on many links in a row.
@lru_cache(maxsize=1)
def compress_cached(payload: bytes) -> bytes:
    """Return the compressed payload, cached for the last payload."""
    return COMPRESSOR.compress(payload)


def decompress(payload: bytes, limit: int) -> bytes:
    """Return a frame's payload, decompressed if it is compressed.

    An uncompressed message starts with a msgpack array marker, with which no
    compressed one starts.

    Parameters
    ----------
    payload : bytes
        Payload as received.
    limit : int
        Maximum size of the decompressed payload, in bytes.

    Returns
    -------
    payload : bytes
        Encoded message.

    Raises
    ------
    MessageError
        If the payload cannot be decompressed or exceeds the limit.

    Examples
    --------
    >>> message = b"report" * 1000
    >>> len(compress(message)) < 100
    True
    >>> decompress(compress(message), 6000) == message
    True
    """
    if not payload.startswith(zstandard.FRAME_HEADER):
        return payload
    try:
        return decompress_frame(payload, limit)
    except CompressionError as error:
        raise MessageError(str(error)) from error
