"""Documents of the configuration as gateways pass them on: whole or as a difference."""

from dataclasses import dataclass, field
from typing import Any

import msgpack
import xxhash
import zstandard

from rosemaryknot.values.compression import CompressionError, unpacked

__all__ = ["Document", "DocumentError", "difference", "rebuilt"]

# As large as an object of the store may be, with room for the other encoding.
MAX_BYTES = 4 * 1024 * 1024


class DocumentError(ValueError):
    """Bytes that are no document, or do not fit their base."""


@dataclass(slots=True)
class Document:
    """One version of the configuration, encoded.

    Attributes
    ----------
    version : int
        Its version.
    revision : int
        Of the store, at which it was written.
    packed : bytes
        The value that the operator wrote, in msgpack.
    digest : int
        Of these bytes.

    Examples
    --------
    >>> old, new = Document.of(1, 7, [1, 2]), Document.of(2, 8, [1, 2, 3])
    >>> rebuilt(difference(new, old), old) == new.packed
    True
    """

    version: int
    revision: int
    packed: bytes
    digest: int = field(init=False)

    def __post_init__(self) -> None:
        self.digest = digest_of(self.packed)

    @classmethod
    def of(cls, version: int, revision: int, value: Any) -> "Document":
        """Return the document of a value."""
        return cls(version, revision, msgpack.packb(value))


def digest_of(packed: bytes) -> int:
    """Return a number that names a document's bytes; it fits a message."""
    return xxhash.xxh64_intdigest(packed) >> 1


def dictionary_of(base: Document | None) -> zstandard.ZstdCompressionDict | None:
    """Return a document as what another one may refer to."""
    if base is None:
        return None
    raw = zstandard.DICT_TYPE_RAWCONTENT
    return zstandard.ZstdCompressionDict(base.packed, dict_type=raw)


def difference(document: Document, base: Document | None) -> bytes:
    """Return a document as a difference to another one, compressed.

    Parameters
    ----------
    document : Document
        What to pass on.
    base : Document or None
        What the other end has; None for nothing.

    Returns
    -------
    packed : bytes
        What `rebuilt` takes.
    """
    compressor = zstandard.ZstdCompressor(dict_data=dictionary_of(base))
    return compressor.compress(document.packed)


def rebuilt(packed: bytes, base: Document | None) -> bytes:
    """Return the document that a difference was made of.

    Raises
    ------
    DocumentError
        If the bytes are none, or a document would be too large.
    """
    try:
        return unpacked(packed, MAX_BYTES, dictionary_of(base))
    except CompressionError as error:
        raise DocumentError(str(error)) from error
