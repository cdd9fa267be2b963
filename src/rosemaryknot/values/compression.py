"""Bounded decompression of zstandard frames."""

import zstandard

__all__ = ["CompressionError", "decompress_frame"]


class CompressionError(ValueError):
    """Raised for bytes that are not a valid zstandard frame, or exceed a limit."""


def decompress_frame(
    data: bytes, limit: int, dictionary: zstandard.ZstdCompressionDict | None = None
) -> bytes:
    """Return the decompressed content of a frame.

    Parameters
    ----------
    data : bytes
        The compressed frame.
    limit : int
        Maximum size of the content, in bytes.
    dictionary : zstandard.ZstdCompressionDict, optional
        Dictionary that the frame was compressed with.

    Returns
    -------
    content : bytes
        Decompressed bytes.

    Raises
    ------
    CompressionError
        If the data is not a frame, or its content exceeds the limit.
    """
    try:
        # Checked before decompression, since a small frame may declare any size.
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= limit:
            raise CompressionError(f"invalid content size of frame: {size} bytes")
        return zstandard.ZstdDecompressor(dict_data=dictionary).decompress(data)
    except zstandard.ZstdError as error:
        raise CompressionError("zstandard frame cannot be decompressed") from error
