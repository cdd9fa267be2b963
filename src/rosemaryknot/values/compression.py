"""Bounded decompression of zstandard frames."""

import zstandard

__all__ = ["CompressionError", "unpacked"]


class CompressionError(ValueError):
    """Bytes that are no zstandard frame, or unpack to more than a bound."""


def unpacked(
    data: bytes, limit: int, dictionary: zstandard.ZstdCompressionDict | None = None
) -> bytes:
    """Return what a frame holds.

    Parameters
    ----------
    data : bytes
        The frame.
    limit : int
        Most bytes that it may unpack to.
    dictionary : zstandard.ZstdCompressionDict, optional
        What it was made with.

    Returns
    -------
    content : bytes
        What was compressed.

    Raises
    ------
    CompressionError
        If it is no frame, or its content is larger.
    """
    try:
        # Known before anything is unpacked: a small frame may claim any size.
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= limit:
            raise CompressionError(f"a frame of {size} bytes")
        return zstandard.ZstdDecompressor(dict_data=dictionary).decompress(data)
    except zstandard.ZstdError as error:
        raise CompressionError("cannot be decompressed") from error
