"""Callers that resume their streams after they broke off."""

from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from rosemaryknot.standin.users.events import Event, events_of
from rosemaryknot.standin.users.system import MODEL_HEADERS, Answer

__all__ = ["ResumingCaller"]


class AskedSystem(Protocol):
    """Gateway nodes that callers send requests to."""

    async def ask(self, path: str, node: str, **options: Any) -> Answer:
        """Send a request on a new connection and return the response."""


@dataclass(slots=True)
class ResumingCaller:
    """A caller of one stream, which it may request several times.

    Attributes
    ----------
    system : AskedSystem
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

    system: AskedSystem
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
        # A prompt of its own, which no server has cached: any may be chosen.
        prompt = {"Rosemaryknot-Prefix-Hash": f"{self.name.encode().hex()}:1000"}
        headers = MODEL_HEADERS | prompt
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1].number)
            if self.names_origin:
                headers["Resumes"] = self.origin
        headers |= self.headers
        answer = Answer()
        try:
            answer = await self.system.ask(
                self.path,
                node,
                max_events=max_events,
                request_id=attempt_id,
                **headers,
            )
        except (OSError, trio.BrokenResourceError):
            pass
        self.answers.append(answer)
        received = events_of(answer.body) if answer.status == 200 else []
        if received and not self.events:
            self.origin = attempt_id
        self.events += received
        return answer
