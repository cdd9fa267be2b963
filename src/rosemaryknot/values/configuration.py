"""Messages that distribute the configuration, and the digest of its content."""

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
    """Return the value with integral floats as integers.

    A store may return 3.0 as 3. The digest of the same document would then differ, and
    every node would report a conflict.
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
        JSON object.

    Returns
    -------
    digest : str
        SHA-256 in hex, independent of the order of keys.

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
    """A complete version of the configuration, from agent to entry or between peers.

    Attributes
    ----------
    number : int
        Version; 0 if the sender has none.
    digest : str
        `document_digest` of the document.
    document : dict
        The configuration document.
    settles : int
        Highest version up to which an operator resolved a conflict of digests by
        this version; 0 for none.
    lineage : list of [int, str]
        Recent earlier versions with the start of their digests, newest last.
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
    """The version that the sender has; a receiver with an older one fetches it.

    Attributes
    ----------
    number : int
        Version; 0 if the sender has none.
    digest : str
        Digest of the document.
    """

    kind: ClassVar[str]
    number: int
    digest: str


@message("configuration_fetch")
@dataclass(slots=True)
class ConfigurationFetch(Message):
    """Request for the current version; answered by a `ConfigurationPush`.

    Attributes
    ----------
    number : int
        Minimum version that the sender expects.
    """

    kind: ClassVar[str]
    number: int
