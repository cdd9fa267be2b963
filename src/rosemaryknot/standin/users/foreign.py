"""Entries that another writer puts among those of the servers."""

import random
from collections.abc import Callable
from typing import Any

from rosemaryknot.standin.users.store import RawValue

__all__ = ["FOREIGN", "foreign_value"]

Spoil = Callable[[dict[str, Any], random.Random], Any]
FOREIGN: dict[str, Spoil] = {}
FIELDS = ("service", "address", "zone", "version", "slots", "state", "sequence")
DEPTH = 3000


def foreign(name: str) -> Callable[[Spoil], Spoil]:
    """Register a way in which an entry is none of a server's."""

    def register(spoil: Spoil) -> Spoil:
        FOREIGN[name] = spoil
        return spoil

    return register


def foreign_value(way: str, sound: dict[str, Any], rng: random.Random) -> Any:
    """Return the value of such an entry, made from a sound one."""
    return FOREIGN[way](dict(sound), rng)


@foreign("field_missing")
def field_missing(entry: dict[str, Any], rng: random.Random) -> Any:
    """Leave a field out."""
    del entry[rng.choice(FIELDS)]
    return entry


@foreign("other_type")
def other_type(entry: dict[str, Any], rng: random.Random) -> Any:
    """Give a field another type."""
    entry[rng.choice((*FIELDS, "born"))] = rng.choice(([], {}, True, -1.5))
    return entry


@foreign("unknown_state")
def unknown_state(entry: dict[str, Any], rng: random.Random) -> Any:
    """Name a state that there is not."""
    return entry | {"state": rng.choice(("resting", "", "READY"))}


@foreign("no_address")
def no_address(entry: dict[str, Any], rng: random.Random) -> Any:
    """Name an address that there cannot be."""
    wrong = ("10.1.0.9:99999", "10.1.0.9:0", "a.example:80", "10.1.0.9", ":80")
    return entry | {"address": rng.choice(wrong)}


@foreign("no_object")
def no_object(entry: dict[str, Any], rng: random.Random) -> Any:
    """Write a value that is no object."""
    return rng.choice((None, 7, "ready", [entry], True))


@foreign("not_text")
def not_text(entry: dict[str, Any], rng: random.Random) -> Any:
    """Write bytes that are no text."""
    return RawValue(b'{"service": "\xff\xfe", "address": 7}')


@foreign("not_json")
def not_json(entry: dict[str, Any], rng: random.Random) -> Any:
    """Write bytes that are no value."""
    return RawValue(rng.choice((b"{service: ready}", b"NaN", b"<entry/>")))


@foreign("nested")
def nested(entry: dict[str, Any], rng: random.Random) -> Any:
    """Nest deeper than a parser follows."""
    return RawValue(b"[" * DEPTH + b"]" * DEPTH)


@foreign("huge_number")
def huge_number(entry: dict[str, Any], rng: random.Random) -> Any:
    """Write numbers that no message takes."""
    digits = rng.choice((30, 5000))
    return RawValue(b'{"slots": ' + b"9" * digits + b"}")


@foreign("half_character")
def half_character(entry: dict[str, Any], rng: random.Random) -> Any:
    """Write a text that no encoding takes."""
    return entry | {"zone": "\ud800"}
