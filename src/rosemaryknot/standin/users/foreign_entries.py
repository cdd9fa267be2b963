"""Invalid server entries, as another writer might put them in the store."""

import json
import random
from collections.abc import Callable
from typing import Any

from rosemaryknot.standin.users.store import RawValue

__all__ = ["FOREIGN_ENTRIES", "PAGE_SIZES", "foreign_name", "foreign_value"]

Corruption = Callable[[dict[str, Any], random.Random], Any]
FOREIGN_ENTRIES: dict[str, Corruption] = {}
FIELDS = ("service", "address", "zone", "version", "slots", "state", "sequence")
NESTING_DEPTH = 3000
# Parts of names that a URL does not carry as they are, or that mean something there,
# and places of the name among those of servers.
NAME_PARTS = (
    "",
    "&",
    "+",
    "#",
    "%",
    "%7E",
    "%00",
    "&watch=1",
    " ",
    "/",
    "\n",
    "\u00e4",
)
NAME_PLACES = ("a", "m1", "n", "x")
# Objects in a page of a list: a name of another writer may end one.
PAGE_SIZES = (50, 50, 3, 1)


def foreign(name: str) -> Callable[[Corruption], Corruption]:
    """Register a way to make a server entry invalid."""

    def register(corrupt: Corruption) -> Corruption:
        FOREIGN_ENTRIES[name] = corrupt
        return corrupt

    return register


def foreign_value(way: str, valid: dict[str, Any], rng: random.Random) -> Any:
    """Return an invalid entry that is derived from a valid one."""
    return FOREIGN_ENTRIES[way](dict(valid), rng)


def foreign_name(text: str, rng: random.Random) -> str:
    """Return a name, which contains a text, for an entry of another writer."""
    return f"{rng.choice(NAME_PLACES)}-{text}{rng.choice(NAME_PARTS)}"


@foreign("field_missing")
def field_missing(entry: dict[str, Any], rng: random.Random) -> Any:
    """Omit a field."""
    del entry[rng.choice(FIELDS)]
    return entry


@foreign("other_type")
def other_type(entry: dict[str, Any], rng: random.Random) -> Any:
    """Set a field to a value of a wrong type."""
    entry[rng.choice((*FIELDS, "born"))] = rng.choice(([], {}, True, -1.5))
    return entry


@foreign("unknown_state")
def unknown_state(entry: dict[str, Any], rng: random.Random) -> Any:
    """Set an unknown state."""
    return entry | {"state": rng.choice(("resting", "", "READY"))}


@foreign("no_address")
def no_address(entry: dict[str, Any], rng: random.Random) -> Any:
    """Set an invalid address."""
    wrong = ("10.1.0.9:99999", "10.1.0.9:0", "a.example:80", "10.1.0.9", ":80")
    return entry | {"address": rng.choice(wrong)}


@foreign("no_object")
def no_object(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return a JSON value that is not an object."""
    return rng.choice((None, 7, "ready", [entry], True))


@foreign("not_text")
def not_text(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return bytes that are not valid UTF-8."""
    return RawValue(b'{"service": "\xff\xfe", "address": 7}')


@foreign("not_json")
def not_json(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return bytes that are not valid JSON."""
    return RawValue(rng.choice((b"{service: ready}", b"NaN", b"<entry/>")))


@foreign("cut_off")
def cut_off(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return the begin of the entry, which may end within a string."""
    text = json.dumps(entry).encode()
    return RawValue(text[: rng.randrange(len(text))])


@foreign("bracket_too_many")
def bracket_too_many(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return an entry with a bracket that closes nothing."""
    return RawValue(json.dumps(entry).encode() + rng.choice((b"}", b"]", b"}]}")))


@foreign("copied_items")
def copied_items(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return a value that holds items like those of the store, and is cut off."""
    item = {"metadata": {"name": "copied", "revision": 3}, "spec": entry}
    text = json.dumps({"items": [item, item]}).encode()
    return RawValue(text[: rng.randrange(len(text) // 2, len(text))])


@foreign("nested")
def nested(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return arrays that are nested more deeply than the parser allows."""
    return RawValue(b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH)


@foreign("huge_number")
def huge_number(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return a number that is too large for a message."""
    digits = rng.choice((30, 5000))
    return RawValue(b'{"slots": ' + b"9" * digits + b"}")


@foreign("half_character")
def half_character(entry: dict[str, Any], rng: random.Random) -> Any:
    """Set a lone surrogate, which cannot be encoded."""
    return entry | {"zone": "\ud800"}
