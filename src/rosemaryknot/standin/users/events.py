"""Events of the stand-ins' streams, and which software version wrote each."""

import re
from dataclasses import dataclass

from rosemaryknot.standin.users.servers import DEFAULT_VERSION

__all__ = ["Event", "events_of"]

# An event of a stand-in, which names the software version of the server that wrote it
# unless that is the default one.
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)(?: by (\S+))?\n\n")


@dataclass(slots=True, frozen=True)
class Event:
    """A whole event of a stream.

    Attributes
    ----------
    number : int
        Position in the stream, from 0.
    software_version : str
        Version of the server that wrote it.
    """

    number: int
    software_version: str


def events_of(body: bytes) -> list[Event]:
    r"""Return the whole events in a part of a stream.

    Examples
    --------
    >>> events_of(b"id: 3\ndata: piece 3 by v2\n\nid: 4\nda")
    [Event(number=3, software_version='v2')]
    """
    return [
        Event(int(number), (version or DEFAULT_VERSION.encode()).decode())
        for number, _, version in EVENT.findall(body)
    ]
