"""Messages that spread the configuration, and the digest that names its content."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any, ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "ConfigurationFetch",
    "ConfigurationOffer",
    "ConfigurationPush",
    "document_digest",
]


def canonical(value: Any) -> Any:
    """Return the value with whole floats as integers.

    A store may hand 3.0 back as 3. The digest of the same document would then
    differ and every node would report a conflict.
    """
    if isinstance(value, dict):
        return {str(key): canonical(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [canonical(item) for item in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def document_digest(document: dict) -> str:
    """Return the digest of a configuration document.

    Parameters
    ----------
    document : dict
        JSON value.

    Returns
    -------
    digest : str
        SHA-256 in hex, the same for the same content in any key order.

    Examples
    --------
    >>> document_digest({"a": 1, "b": 2.0}) == document_digest({"b": 2, "a": 1})
    True
    """
    text = json.dumps(canonical(document), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


@message("configuration_push")
@dataclass(slots=True)
class ConfigurationPush(Message):
    """A whole version of the configuration: agent to entry, and peer to peer.

    Attributes
    ----------
    number : int
        Version; 0 where the sender holds none.
    digest : str
        `document_digest` of the document.
    document : dict
        The configuration document.
    settles : int
        Highest number up to which an operator has settled a conflict of digests
        by this version; 0 where none.
    lineage : list of [int, str]
        Earlier numbers with the start of their digests, newest last and bounded.
    """

    kind: ClassVar[str]
    number: int
    digest: str
    document: dict = field(repr=False)
    settles: int = 0
    lineage: list[list] = field(default_factory=list, repr=False)


@message("configuration_offer")
@dataclass(slots=True)
class ConfigurationOffer(Message):
    """The version that the sender holds; a receiver fetches what is newer.

    Attributes
    ----------
    number : int
        Version; 0 where the sender holds none.
    digest : str
        Digest of its document.
    """

    kind: ClassVar[str]
    number: int
    digest: str


@message("configuration_fetch")
@dataclass(slots=True)
class ConfigurationFetch(Message):
    """Ask for the version held; answered by a `ConfigurationPush`.

    Attributes
    ----------
    number : int
        Version that the sender expects at least.
    """

    kind: ClassVar[str]
    number: int
