"""Context of an accepted model request over all its attempts."""

from dataclasses import dataclass, field

import trio

from rosemaryknot.request.router import Prompt
from rosemaryknot.values.nodes import BackendServer

__all__ = ["RequestContext"]

INITIAL_EXCLUSION_S = 0.1
MAX_EXCLUSION_S = 5.0
MAX_RESUMES_AT_SERVER = 3


@dataclass(slots=True)
class RequestContext:
    """State of a generation that is carried from one attempt to the next.

    Attributes
    ----------
    prompt : Prompt
        Prompt of the request in the form used for routing.
    server : BackendServer or None
        Server of the latest attempt.
    next_server : BackendServer or None
        Server of the next attempt if it is already determined.
    moved_tokens : int
        Output tokens whose KV cache was moved to the next server with that of the
        prompt; -1 if nothing was moved.
    joins_running_attempt : bool
        Whether the next server still runs the generation.
    restart : bool
        Whether the next attempt generates the response from its start.
    in_flight : bool
        Whether an attempt is running.
    was_sent : bool
        Whether any server may have run part of the request.
    resumes_at_server : int
        Number of resumptions at the same server since the last token.
    progress : int
        Number of tokens when progress was last recorded.
    failures : int
        Number of failed attempts since the last token.
    excluded : dict of str to float
        Instances that failed the request, with the trio time until which they are
        excluded.
    """

    prompt: Prompt
    server: BackendServer | None = None
    next_server: BackendServer | None = None
    moved_tokens: int = -1
    joins_running_attempt: bool = False
    restart: bool = False
    in_flight: bool = False
    was_sent: bool = False
    resumes_at_server: int = 0
    progress: int = 0
    failures: int = 0
    excluded: dict[str, float] = field(default_factory=dict)

    def exclude(self, server: BackendServer) -> None:
        """Exclude a server for a time that doubles with each failure, up to a limit."""
        duration_s = min(MAX_EXCLUSION_S, INITIAL_EXCLUSION_S * 2**self.failures)
        self.failures += 1
        self.excluded[server.instance] = trio.current_time() + duration_s

    def current_exclusions(self) -> dict[str, float]:
        """Remove expired exclusions and return the others."""
        now_s = trio.current_time()
        self.excluded = {k: v for k, v in self.excluded.items() if v > now_s}
        return self.excluded

    def record_progress(self, tokens: int) -> None:
        """Reset the failure counts if tokens have been added since the last attempt."""
        if tokens > self.progress:
            self.progress = tokens
            self.resumes_at_server = 0
            self.failures = 0

    def resume_at_server(self, server: BackendServer) -> bool:
        """Resume at the same server; return False after too many resumptions."""
        self.resumes_at_server += 1
        if self.resumes_at_server > MAX_RESUMES_AT_SERVER:
            self.exclude(server)
            return False
        self.next_server = server
        self.joins_running_attempt = True
        return True

    def start_attempt(self, server: BackendServer) -> None:
        """Start an attempt, and reset what was determined for it."""
        self.server = server
        self.in_flight = True
        self.next_server = None
        self.moved_tokens = -1
        self.joins_running_attempt = False
        self.restart = False
