"""Answers of the platform's store, item by item, whatever stands in one of them.

Servers write the entries, and others may write there too. An answer with one item that
is no JSON, or no object, would otherwise be lost whole: the node would know no change
of any server any more, and ask again and again.
"""

import json
import re
from typing import Any

import msgpack

from rosemaryknot.platform.documents import SERVERS_KIND
from rosemaryknot.process.logs import logger
from rosemaryknot.values.platform import ObjectChanged, StoredObject

__all__ = [
    "AnswerError",
    "changed_objects",
    "item_of",
    "objects_of",
    "page_of",
    "stored_object",
]

# What a text of JSON is made of, as far as the bounds of its items go.
PIECES = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
OPENING = ("[", "{")
CLOSING = ("]", "}")
# What parsing, and telling others, may raise: nesting that is too deep gives a
# `RecursionError`, and numbers beyond 64 bits an `OverflowError`.
PARSE_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)
UNREADABLE = "unreadable entry"
# Bytes of a server's entry, in a message. Servers write about 300; some hundred entries
# of this size fit into the largest message, 8 MB.
MAX_VALUE_BYTES = {SERVERS_KIND: 16_384}

log = logger("store")


class AnswerError(ValueError):
    """An answer that cannot be read as a whole."""


# Control characters in a text do no harm.
DECODER = json.JSONDecoder(strict=False)


def parse(text: str) -> Any:
    """Return the value of a JSON text."""
    return DECODER.decode(text)


def page_of(content: bytes, items_name: str) -> dict[str, Any]:
    """Return an answer whose items stand under a name; a spoilt item becomes None.

    Raises
    ------
    AnswerError
        If it cannot be told where its items begin and end.

    Examples
    --------
    >>> page_of(b'{"items": [{"a": 1}, {b}, ?], "storeRevision": 7}', "items")
    {'items': [{'a': 1}, None, None], 'storeRevision': 7}
    """
    text = content.decode("utf-8", errors="replace")
    try:
        page = parse(text)
    except PARSE_ERRORS:
        page = salvaged(text, items_name)
    if not isinstance(page, dict) or not isinstance(page.get(items_name), list):
        raise AnswerError(f"no {items_name}")
    return page


def salvaged(text: str, items_name: str) -> dict[str, Any]:
    """Return what can be read of an answer of which some item cannot."""
    start = re.search(rf'"{items_name}"\s*:\s*\[', text)
    if start is None:
        raise AnswerError(f"no {items_name}")
    texts, end = split_items(text, start.end())
    try:
        page = parse(text[: start.end()] + text[end:])
    except PARSE_ERRORS as error:
        raise AnswerError("not JSON") from error
    page[items_name] = [item_of(item) for item in texts]
    return page


def split_items(text: str, start: int) -> tuple[list[str], int]:
    """Return the texts of a list's items, and where the list ends."""
    depth = 0
    begin = start
    texts = []
    for piece in PIECES.finditer(text, start):
        mark = piece.group()
        if depth == 0 and mark in (",", "]"):
            texts.append(text[begin : piece.start()])
            begin = piece.end()
            if mark == "]":
                return texts, piece.start()
        elif mark in OPENING:
            depth += 1
        elif mark in CLOSING:
            depth -= 1
    raise AnswerError("the list has no end")


def item_of(text: str | bytes) -> Any:
    """Return an item, without its value where that cannot be read."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", errors="replace")
    try:
        return parse(text)
    except PARSE_ERRORS:
        return metadata_only(text)


def metadata_only(text: str) -> Any:
    """Return an item's metadata with an unreadable value, None without metadata.

    Which entry was spoilt is known then, and that its server is not to be used.
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


def readable(value: Any, kind: str) -> Any:
    """Return a value that nodes can tell each other, or a mark in its place.

    A message takes no number beyond 64 bits, no half of a character and not more than
    some megabytes; the error would end the node that passes the entries on.
    """
    try:
        size = len(msgpack.packb([[[[[[value]]]]]]))
    except PARSE_ERRORS:
        return UNREADABLE
    return value if size <= MAX_VALUE_BYTES.get(kind, size) else UNREADABLE


def name_of(item: Any) -> tuple[str, int] | None:
    """Return an item's name and revision, or None where it has none."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or type(revision) is not int:
        return None
    return None if readable([name, revision], "") == UNREADABLE else (name, revision)


def stored_object(item: Any, kind: str) -> StoredObject | None:
    """Return an object; its ``spec`` holds the value."""
    found = name_of(item)
    if found is None:
        return None
    return StoredObject(found[1], readable(item.get("spec"), kind))


def objects_of(items: list[Any], kind: str) -> dict[str, StoredObject]:
    """Return the objects of a page by name; what is none is left out."""
    objects = {}
    for item in items:
        found = stored_object(item, kind)
        if found is None:
            log.warning("item without a name left out", kind=kind, where="list")
        else:
            objects[item["metadata"]["name"]] = found
    return objects


def changed_objects(events: list[Any], kind: str) -> list[ObjectChanged]:
    """Return the changes of a watch in order; what is none is left out."""
    changes = []
    for event in events:
        item = event.get("object") if isinstance(event, dict) else None
        found = name_of(item)
        if found is None:
            log.warning("item without a name left out", kind=kind, where="watch")
            continue
        is_deleted = event.get("deleted") is True
        value = None if is_deleted else readable(item.get("spec"), kind)
        changes.append(ObjectChanged(*found, value, is_deleted))
    return changes
