"""Where an accepted model request stands between two attempts."""

from dataclasses import dataclass, field

import trio

from rosemaryknot.request.router import Prompt
from rosemaryknot.values.nodes import BackendServer

__all__ = ["RequestContext"]

FIRST_EXCLUSION_S = 0.1
LONGEST_EXCLUSION_S = 5.0
MAX_RESUMES_HERE = 3


@dataclass(slots=True)
class RequestContext:
    """Where a generation stands between two attempts.

    Attributes
    ----------
    prompt : Prompt
        Its prompt, as routing sees it.
    server : BackendServer or None
        Server of the newest attempt.
    next_server : BackendServer or None
        Where the next attempt goes without a choice.
    moved_tokens : int
        Answer tokens whose KV cache is at the next server with the prompt's; -1
        where nothing was moved.
    joins : bool
        Whether the next server is still at work on it.
    restart : bool
        Whether the next attempt computes the answer from its start.
    in_flight : bool
        Whether an attempt is under way.
    was_sent : bool
        Whether any server may have computed something.
    resumes_here : int
        Resumes at the same server since the last token.
    progress : int
        Tokens at the last resume.
    failures : int
        Failed attempts since the last token.
    excluded : dict of str to float
        Instances that failed it, with the trio time until when they are avoided.
    """

    prompt: Prompt
    server: BackendServer | None = None
    next_server: BackendServer | None = None
    moved_tokens: int = -1
    joins: bool = False
    restart: bool = False
    in_flight: bool = False
    was_sent: bool = False
    resumes_here: int = 0
    progress: int = 0
    failures: int = 0
    excluded: dict[str, float] = field(default_factory=dict)

    def exclude(self, server: BackendServer) -> None:
        """Avoid a server for a while, each time for longer."""
        length_s = min(LONGEST_EXCLUSION_S, FIRST_EXCLUSION_S * 2**self.failures)
        self.failures += 1
        self.excluded[server.instance] = trio.current_time() + length_s

    def still_excluded(self) -> dict[str, float]:
        """Return the exclusions that are in force."""
        now_s = trio.current_time()
        self.excluded = {k: v for k, v in self.excluded.items() if v > now_s}
        return self.excluded

    def note_progress(self, tokens: int) -> None:
        """Start the bounds anew when there are more tokens than at the last end."""
        if tokens > self.progress:
            self.progress = tokens
            self.resumes_here = 0
            self.failures = 0

    def resume_here(self, server: BackendServer) -> bool:
        """Go on at the same server, a few times at most; tell whether it does."""
        self.resumes_here += 1
        if self.resumes_here > MAX_RESUMES_HERE:
            self.exclude(server)
            return False
        self.next_server = server
        self.joins = True
        return True

    def start_attempt(self, server: BackendServer) -> None:
        """Use up what was laid down for the next attempt."""
        self.server = server
        self.in_flight = True
        self.next_server = None
        self.moved_tokens = -1
        self.joins = False
        self.restart = False
