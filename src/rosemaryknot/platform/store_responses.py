"""Parsing of the store's responses that tolerates malformed items.

Backend servers write the entries, and other writers may too. Without this tolerance,
one item that is not JSON, or not an object, would make the whole response unusable:
the node would learn of no further change of any server, and repeat the query
indefinitely.
"""

import json
import re
from typing import Any

import msgpack

from rosemaryknot.platform.documents import SERVERS_KIND
from rosemaryknot.platform.item_boundaries import HEADS, ItemText, find_items
from rosemaryknot.process.logs import logger
from rosemaryknot.values.platform import ObjectChanged, StoredObject
from rosemaryknot.values.store_revisions import qualified

__all__ = [
    "AnswerError",
    "decode_events",
    "parse_item",
    "decode_objects",
    "names_of",
    "parse_page",
    "decode_object",
]

# JSON tokens that are needed to find the boundaries of items.
JSON_TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
OPENING = ("[", "{")
CLOSING = ("]", "}")
# Exceptions from parsing a value and from encoding it for a message: too deep nesting
# gives a `RecursionError`, and numbers beyond 64 bits give an `OverflowError`.
PARSE_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)
UNREADABLE = "unreadable entry"
# Maximum size of a server's name, and of its entry, in a message. Servers write about
# 300 bytes; some hundred entries of the maximum size fit into the largest message, of
# 8 MB.
MAX_VALUE_BYTES = {SERVERS_KIND: 16_384}

log = logger("store")


class AnswerError(ValueError):
    """Raised for a response that cannot be parsed."""


# Control characters in strings are harmless, so they are accepted.
DECODER = json.JSONDecoder(strict=False)


def parse(text: str) -> Any:
    """Parse a JSON text."""
    return DECODER.decode(text)


def parse_page(content: bytes, items_name: str) -> dict[str, Any]:
    """Parse a response with a list of items; a malformed item becomes None.

    A malformed item with readable metadata is replaced; see `metadata_only`.

    Raises
    ------
    AnswerError
        If the boundaries of the items cannot be determined.

    Examples
    --------
    >>> parse_page(b'{"items": [{"a": 1}, {b}, ?], "storeRevision": 7}', "items")
    {'items': [{'a': 1}, None, None], 'storeRevision': 7}
    """
    text = content.decode("utf-8", errors="replace")
    try:
        page = parse(text)
    except PARSE_ERRORS:
        page = parse_by_item(text, items_name)
    if not isinstance(page, dict) or not isinstance(page.get(items_name), list):
        raise AnswerError(f"no {items_name}")
    return page


def parse_by_item(text: str, items_name: str) -> dict[str, Any]:
    """Parse the items of a response one by one, since some of them are malformed."""
    start = re.search(rf'"{items_name}"\s*:\s*\[', text)
    if start is None:
        raise AnswerError(f"no {items_name}")
    split = split_items(text, start.end())
    if split is None or any(hides_items(item, items_name) for item in split[0]):
        found = find_items(text, start.end(), items_name)
        if found is None:
            raise AnswerError("not JSON")
        items, end = parse_found(found[0]), found[1]
    else:
        items, end = [parse_item(item) for item in split[0]], split[1]
    try:
        page = parse(text[: start.end()] + text[end:])
    except PARSE_ERRORS as error:
        raise AnswerError("not JSON") from error
    page[items_name] = items
    return page


def hides_items(text: str, items_name: str) -> bool:
    """Return whether a malformed item may include others, since its end is hidden."""
    if HEADS[items_name].search(text) is None:
        return False
    try:
        parse(text)
    except PARSE_ERRORS:
        return True
    return False


def parse_found(texts: list[ItemText]) -> list[Any]:
    """Parse items whose boundaries had to be found.

    A malformed value may hold what looks like an item; that of a certain one counts.
    """
    certain = [parse_item(item.text) for item in texts if item.is_certain]
    names = {found[0] for item in certain if (found := identity_of(item)) is not None}
    items = [parse_item(item.text) for item in texts]
    return [
        item
        for item, text in zip(items, texts, strict=True)
        if text.is_certain or (identity_of(item) or ("", 0))[0] not in names
    ]


def identity_of(item: Any) -> tuple[str, int] | None:
    """Return the name and revision of an item of a list or of an event."""
    if isinstance(item, dict) and "object" in item:
        item = item["object"]
    return name_and_revision(item)


def split_items(text: str, start: int) -> tuple[list[str], int] | None:
    """Return the texts of the items of a list, and the position where it ends.

    None if brackets or quotes do not match, so that the list does not end with the
    response.
    """
    depth = 0
    begin = start
    texts = []
    for piece in JSON_TOKENS.finditer(text, start):
        mark = piece.group()
        if depth == 0 and mark in (",", "]"):
            texts.append(text[begin : piece.start()])
            begin = piece.end()
            if mark == "]":
                return (texts, begin - 1) if begin > text.rfind("]") else None
        elif mark in OPENING:
            depth += 1
        elif mark in CLOSING:
            depth -= 1
    return None


def parse_item(text: str | bytes) -> Any:
    """Parse an item, without its value if that is malformed."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", errors="replace")
    try:
        return parse(text)
    except PARSE_ERRORS:
        return metadata_only(text)


def metadata_only(text: str) -> Any:
    """Return the metadata of a malformed item with a placeholder for its value.

    This identifies the malformed entry, so that its server is not used. Return None if
    the metadata is malformed too.
    """
    start = re.search(r'"metadata"\s*:\s*', text)
    if start is None:
        return None
    try:
        metadata, _ = DECODER.raw_decode(text, start.end())
    except PARSE_ERRORS:
        return None
    item = {"metadata": metadata, "spec": UNREADABLE}
    is_event = re.match(r'\s*\{.*"object"\s*:', text[: start.start()], re.DOTALL)
    is_deleted = re.search(r'"deleted"\s*:\s*true\s*[,}]', text) is not None
    return {"object": item, "deleted": is_deleted} if is_event else item


def encodable_value(value: Any, kind: str) -> Any:
    """Return the value if nodes can send it to each other, else a placeholder.

    Messages allow no number beyond 64 bits, no unpaired surrogate, and only some
    megabytes in total; the exception would end the node that forwards the entries.
    """
    try:
        size = len(msgpack.packb([[[[[[value]]]]]]))
    except PARSE_ERRORS:
        return UNREADABLE
    return value if size <= MAX_VALUE_BYTES.get(kind, size) else UNREADABLE


def name_and_revision(item: Any, kind: str = "") -> tuple[str, int] | None:
    """Return the name and revision of an item, or None if they are not usable."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or type(revision) is not int:
        return None
    return (
        None
        if encodable_value([name, revision], kind) == UNREADABLE
        else (name, revision)
    )


def decode_object(item: Any, kind: str, era: int = 0) -> StoredObject | None:
    """Decode an object, whose value is in ``spec``; None if it has no name."""
    found = name_and_revision(item, kind)
    if found is None:
        return None
    value = encodable_value(item.get("spec"), kind)
    return StoredObject(qualified(era, found[1]), value)


def decode_objects(
    items: list[Any], kind: str, era: int = 0
) -> dict[str, StoredObject]:
    """Decode the objects of a page, by name; items that are no objects are skipped."""
    objects = {}
    for item in items:
        found = decode_object(item, kind, era)
        if found is None:
            log.warning(
                "skipped item without a valid name or revision", kind=kind, where="list"
            )
        else:
            objects[item["metadata"]["name"]] = found
    return objects


def names_of(items: list[Any]) -> list[str]:
    """Return the names in the items of a page, also of items that are no objects."""
    metadata = [item.get("metadata") for item in items if isinstance(item, dict)]
    names = [found.get("name") for found in metadata if isinstance(found, dict)]
    return [name for name in names if isinstance(name, str)]


def decode_events(events: list[Any], kind: str, era: int = 0) -> list[ObjectChanged]:
    """Decode the changes of a watch in order; items that are no objects are skipped."""
    changes = []
    for event in events:
        item = event.get("object") if isinstance(event, dict) else None
        found = name_and_revision(item, kind)
        if found is None:
            log.warning(
                "skipped item without a valid name or revision",
                kind=kind,
                where="watch",
            )
            continue
        is_deleted = event.get("deleted") is True
        value = None if is_deleted else encodable_value(item.get("spec"), kind)
        name, revision = found
        changes.append(ObjectChanged(name, qualified(era, revision), value, is_deleted))
    return changes
