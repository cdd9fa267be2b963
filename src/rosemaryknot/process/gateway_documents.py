"""Encoding of configurations sent between gateways, complete or as a difference."""

from dataclasses import dataclass, field
from typing import Any

import msgpack
import xxhash
import zstandard

from rosemaryknot.values.compression import CompressionError, decompress_frame

__all__ = ["Document", "DocumentError", "difference", "rebuild"]

# Maximum size of an object in the store, plus headroom for the different encoding.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class DocumentError(ValueError):
    """Raised for bytes that are not a document or do not match their base."""


@dataclass(slots=True)
class Document:
    """One version of the configuration, encoded.

    Attributes
    ----------
    version : int
        Version of the configuration.
    revision : int
        Revision of the store at which the version was written, with its era.
    packed : bytes
        Value written by the operator, encoded as msgpack.
    digest : int
        Digest of the packed bytes.

    Examples
    --------
    >>> old, new = Document.of(1, 7, [1, 2]), Document.of(2, 8, [1, 2, 3])
    >>> rebuild(difference(new, old), old) == new.packed
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
    """Return the digest of a document, in 63 bits to fit a message's integers."""
    return xxhash.xxh64_intdigest(packed) >> 1


def dictionary_of(base: Document | None) -> zstandard.ZstdCompressionDict | None:
    """Return a document as a compression dictionary for another one."""
    if base is None:
        return None
    raw = zstandard.DICT_TYPE_RAWCONTENT
    return zstandard.ZstdCompressionDict(base.packed, dict_type=raw)


def difference(document: Document, base: Document | None) -> bytes:
    """Return a document compressed as a difference from another one.

    Parameters
    ----------
    document : Document
        Document to send.
    base : Document or None
        Document that the receiver has; None if it has none.

    Returns
    -------
    packed : bytes
        Input for `rebuild`.
    """
    compressor = zstandard.ZstdCompressor(dict_data=dictionary_of(base))
    return compressor.compress(document.packed)


def rebuild(packed: bytes, base: Document | None) -> bytes:
    """Return the packed bytes of the document that a difference encodes.

    Raises
    ------
    DocumentError
        If the bytes are not a difference from this base, or the document is too large.
    """
    try:
        return decompress_frame(packed, MAX_DOCUMENT_BYTES, dictionary_of(base))
    except CompressionError as error:
        raise DocumentError(str(error)) from error
