"""Callers that take their streams up again after they broke off."""

import re
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.users.servers import DEFAULT_VERSION
from rosemaryknot.standin.users.system import MODEL_HEADERS, Answer, PlatformSystem

__all__ = ["Event", "ResumingCaller", "events_of"]

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


@dataclass(slots=True)
class ResumingCaller:
    """A caller of one stream, which it may request several times.

    Attributes
    ----------
    system : PlatformSystem
        The gateway nodes.
    name : str
        Beginning of the ids of its attempts.
    path : str
        Path of its requests.
    names_origin : bool
        Whether it names the attempt that brought its first event, as newer callers do.
    events : list of Event
        Whole events that it received, of all attempts.
    origin : str
        Id of the attempt that brought its first event; empty before.
    attempts : int
        Number of its attempts.
    answers : list of Answer
        Responses to its attempts.
    headers : dict of str to str
        Headers that replace others.
    """

    system: PlatformSystem
    name: str
    path: str = "/ask/x"
    names_origin: bool = True
    events: list[Event] = field(default_factory=list)
    origin: str = ""
    attempts: int = 0
    answers: list[Answer] = field(default_factory=list)
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def versions(self) -> set[str]:
        """Software versions of the servers that wrote the events received."""
        return {event.software_version for event in self.events}

    @property
    def is_in_order(self) -> bool:
        """Whether each event came once and in order."""
        numbers = [event.number for event in self.events]
        return numbers == list(range(len(numbers)))

    async def attempt(self, node: str, max_events: int | None = None) -> Answer:
        """Request the stream, or the rest of it, at a node.

        Parameters
        ----------
        node : str
            Name of the node.
        max_events : int, optional
            Number of events after which the caller stops reading and leaves.
        """
        self.attempts += 1
        attempt_id = f"{self.name}-{self.attempts}"
        headers = dict(MODEL_HEADERS)
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1].number)
            if self.names_origin:
                headers["Resumes"] = self.origin
        headers |= self.headers
        answer = Answer()
        try:
            caller = await self.system.caller(node).open()
            await caller.send(self.path, request_id=attempt_id, **headers)
            answer = await caller.receive(max_events)
            await caller.close()
        except (OSError, trio.BrokenResourceError):
            pass
        self.answers.append(answer)
        received = events_of(answer.body) if answer.status == 200 else []
        if received and not self.events:
            self.origin = attempt_id
        self.events += received
        return answer
