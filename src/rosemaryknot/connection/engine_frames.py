"""Frames of an engine's stream: every one checked before its token is passed on."""

import json
from dataclasses import dataclass
from typing import Any

__all__ = [
    "Broken",
    "Crossed",
    "EngineCall",
    "Finished",
    "FrameChecker",
    "Refused",
    "StreamEnd",
]

CONTENT_KEY = b',"choices":[{"index":0,"delta":{"content":"'
CONTENT_END = b'"}}]}'
DONE_FRAME = b"data: [DONE]"
MAX_FRAME_BYTES = 1024 * 1024


@dataclass(slots=True)
class EngineCall:
    """One completion request to an engine.

    Attributes
    ----------
    request_id : str
        Id that each frame must carry.
    lineage : str
        Lineage that each frame must carry.
    head : bytes
        What each frame starts with, up to the offset.
    body : dict
        The caller's body.
    prefix : list of str
        Texts of the tokens already emitted.
    priority : int
        Engine priority; lower runs first.
    skip : int
        Tokens that are not passed on, where an answer is computed from its start
        though its first tokens were emitted; a baseline for measurements.
    """

    request_id: str
    lineage: str
    head: bytes
    body: dict[str, Any]
    prefix: list[str]
    priority: int
    skip: int = 0

    def payload(self) -> bytes:
        """Return the body that the engine gets."""
        own = {
            "id": self.request_id,
            "lineage": self.lineage,
            "prefix": self.prefix,
            "priority": self.priority,
        }
        return json.dumps({**self.body, "stream": True, "rosemaryknot": own}).encode()


@dataclass(slots=True)
class Finished:
    """The engine said that the answer is whole.

    Attributes
    ----------
    tokens : int
        Tokens of the whole answer.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and how many of them were cached.
    """

    tokens: int
    prompt_tokens: int
    cached_tokens: int


@dataclass(slots=True)
class Refused:
    """The engine refused the request before its first token.

    Attributes
    ----------
    status : int
        HTTP status.
    leaving : bool
        Whether it said that it is leaving.
    """

    status: int
    leaving: bool


@dataclass(slots=True)
class Broken:
    """The connection ended, or sent what cannot be read, before the answer was whole.

    Attributes
    ----------
    detail : str
        What happened; never caller text.
    sent : bool
        Whether any byte of the request may have reached the engine.
    """

    detail: str
    sent: bool = True


@dataclass(slots=True)
class Crossed:
    """A frame of another request or lineage came on this connection.

    Attributes
    ----------
    detail : str
        Which field differed.
    """

    detail: str


StreamEnd = Finished | Refused | Broken | Crossed


class FrameChecker:
    """Splits a body into frames and lets only those of one request through.

    Parameters
    ----------
    call : EngineCall
        The call whose frames are expected.
    check_id, check_lineage : bool
        Safeguards; off only in tests that show what they are for.

    Attributes
    ----------
    offset : int
        Offset of the next token.
    end : Finished, Broken, Crossed or None
        Set when the stream is over.
    """

    def __init__(self, call: EngineCall, check_id: bool, check_lineage: bool) -> None:
        self.call = call
        self.check_id = check_id
        self.check_lineage = check_lineage
        self.offset = len(call.prefix)
        self.end: StreamEnd | None = None
        self.rest = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take a chunk of the body and return the tokens that it completes.

        Parameters
        ----------
        chunk : bytes
            Bytes as they arrived.

        Returns
        -------
        tokens : list of bytes
            Texts of the next tokens, each as the inside of a JSON string.
        """
        frames = (self.rest + chunk).split(b"\n\n")
        self.rest = frames.pop()
        if len(self.rest) > MAX_FRAME_BYTES:
            self.end = Broken("a frame is too long")
        tokens: list[bytes] = []
        for frame in frames:
            token = self.token_of(frame)
            if self.end is not None:
                break
            if token is not None:
                if self.offset >= self.call.skip:
                    tokens.append(token)
                self.offset += 1
        return tokens

    def token_of(self, frame: bytes) -> bytes | None:
        """Return the token of a frame, or None where it holds none."""
        start = b"%b%d%b" % (self.call.head, self.offset, CONTENT_KEY)
        if frame.startswith(start) and frame.endswith(CONTENT_END):
            token = frame[len(start) : -len(CONTENT_END)]
            # An escape or a quote may hide further fields: those take the slow way.
            if b'"' not in token and b"\\" not in token:
                return token
        return self.parsed_token_of(frame)

    def parsed_token_of(self, frame: bytes) -> bytes | None:
        """Read a frame as JSON; the slow way, for what is not a plain token."""
        frame = frame.strip()
        if not frame.startswith(b"data:") or frame == DONE_FRAME:
            return None
        try:
            fields = json.loads(frame[5:])
            if not self.is_ours(fields):
                return None
            if fields.get("done"):
                self.end = self.finished(fields)
                return None
            if "choices" not in fields:
                self.end = Broken("the engine reported an error")
                return None
            if int(fields["offset"]) != self.offset:
                self.end = Broken("an offset is missing or came twice")
                return None
            text = fields["choices"][0]["delta"]["content"]
            return json.dumps(str(text))[1:-1].encode()
        except (ValueError, TypeError, LookupError, AttributeError):
            self.end = Broken("a frame cannot be read")
            return None

    def is_ours(self, fields: dict[str, Any]) -> bool:
        """Tell whether a frame belongs to the call; sets `end` where not.

        Something between the two ends may hand this connection the answer to
        another request, and its caller would get another caller's text. Nothing of
        such a connection is passed on from that frame; the text so far stays, since
        each of its frames carried our id and lineage.
        """
        if fields.get("id") != self.call.request_id:
            self.end = Crossed("id") if self.check_id else None
        elif self.check_lineage and fields.get("lineage") != self.call.lineage:
            self.end = Crossed("lineage")
        return self.end is None

    def finished(self, fields: dict[str, Any]) -> StreamEnd:
        """Return how the stream ended by the frame that says so."""
        total = int(fields["offset"])
        if total != self.offset:
            return Broken("the engine counts another number of tokens")
        usage = fields.get("usage") or {}
        return Finished(
            total,
            int(usage.get("prompt_tokens", 0)),
            int(usage.get("cached_tokens", 0)),
        )
