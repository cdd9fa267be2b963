"""Parsing of an engine's stream, with validation of each frame before it is used."""

import json
from dataclasses import dataclass
from typing import Any

from rosemaryknot.values.json_text import JSON_ERRORS, parse_json

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
        Request id that each frame must have.
    lineage : str
        Lineage that each frame must have.
    head : bytes
        Bytes with which each frame starts, up to the offset.
    body : dict
        Body of the caller's request.
    prefix : list of str
        Texts of the tokens already emitted.
    priority : int
        Engine priority; lower values run first.
    skip_tokens : int
        Number of first tokens to drop if a response is recomputed from its start
        although these were already emitted; used as a baseline in measurements.
    """

    request_id: str
    lineage: str
    head: bytes
    body: dict[str, Any]
    prefix: list[str]
    priority: int
    skip_tokens: int = 0

    def payload(self) -> bytes:
        """Return the encoded request body for the engine."""
        own = {
            "id": self.request_id,
            "lineage": self.lineage,
            "prefix": self.prefix,
            "priority": self.priority,
        }
        return json.dumps({**self.body, "stream": True, "rosemaryknot": own}).encode()


@dataclass(slots=True)
class Finished:
    """The engine reported that the response is complete.

    Attributes
    ----------
    tokens : int
        Number of tokens of the complete response.
    prompt_tokens, cached_tokens : int
        Number of prompt tokens, and how many of them were cached.
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
        Whether the engine is draining.
    pause_s : float
        Time for which it wants no requests, in seconds.
    """

    status: int
    leaving: bool
    pause_s: float = 0.0


@dataclass(slots=True)
class Broken:
    """The connection ended or sent invalid data before the response was complete.

    Attributes
    ----------
    detail : str
        What happened; never contains text of the caller.
    sent : bool
        Whether any byte of the request may have reached the engine.
    """

    detail: str
    sent: bool = True


@dataclass(slots=True)
class Crossed:
    """A frame of another request or lineage was received on this connection.

    Attributes
    ----------
    detail : str
        Which field differed.
    """

    detail: str


StreamEnd = Finished | Refused | Broken | Crossed


class FrameChecker:
    """Parser that splits a body into frames and accepts only those of one request.

    Parameters
    ----------
    call : EngineCall
        Call whose frames are expected.
    check_id, check_lineage : bool
        Whether the id and lineage of each frame are checked; disabled only in tests
        that show the failures which these checks prevent.

    Attributes
    ----------
    offset : int
        Offset of the next token.
    end : Finished, Broken, Crossed or None
        How the stream ended; None while it continues.
    """

    def __init__(self, call: EngineCall, check_id: bool, check_lineage: bool) -> None:
        self.call = call
        self.check_id = check_id
        self.check_lineage = check_lineage
        self.offset = len(call.prefix)
        self.end: StreamEnd | None = None
        self.buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Parse a chunk of the body and return the tokens that it completes.

        Parameters
        ----------
        chunk : bytes
            Chunk as received.

        Returns
        -------
        tokens : list of bytes
            Texts of the next tokens, each encoded as the content of a JSON string.
        """
        frames = (self.buffer + chunk).split(b"\n\n")
        self.buffer = frames.pop()
        if len(self.buffer) > MAX_FRAME_BYTES:
            self.end = Broken("a frame is too long")
        tokens: list[bytes] = []
        for frame in frames:
            token = self.parse_token(frame)
            if self.end is not None:
                break
            if token is not None:
                if self.offset >= self.call.skip_tokens:
                    tokens.append(token)
                self.offset += 1
        return tokens

    def parse_token(self, frame: bytes) -> bytes | None:
        """Return the token of a frame, or None if it has none."""
        start = b"%b%d%b" % (self.call.head, self.offset, CONTENT_KEY)
        if frame.startswith(start) and frame.endswith(CONTENT_END):
            token = frame[len(start) : -len(CONTENT_END)]
            # An escape or a quote may conceal further fields; use the JSON parser.
            if b'"' not in token and b"\\" not in token:
                return token
        return self.parse_json_token(frame)

    def parse_json_token(self, frame: bytes) -> bytes | None:
        """Parse a frame as JSON, the slow path for frames other than plain tokens."""
        frame = frame.strip()
        if not frame.startswith(b"data:") or frame == DONE_FRAME:
            return None
        try:
            fields = parse_json(frame[5:])
            if not self.is_expected(fields):
                return None
            if fields.get("done"):
                self.end = self.parse_end(fields)
                return None
            if "choices" not in fields:
                self.end = Broken("the engine reported an error")
                return None
            if int(fields["offset"]) != self.offset:
                self.end = Broken("an offset is missing or came twice")
                return None
            text = fields["choices"][0]["delta"]["content"]
            return json.dumps(str(text))[1:-1].encode()
        except JSON_ERRORS:
            self.end = Broken("a frame cannot be read")
            return None

    def is_expected(self, fields: dict[str, Any]) -> bool:
        """Return whether a frame belongs to the call; set `end` if it does not.

        A proxy between the two ends may deliver the response to another request on
        this connection, and the caller would receive another caller's text. That frame
        and all later ones are dropped. Earlier text remains valid, since each of its
        frames had the expected id and lineage.
        """
        if fields.get("id") != self.call.request_id:
            self.end = Crossed("id") if self.check_id else None
        elif self.check_lineage and fields.get("lineage") != self.call.lineage:
            self.end = Crossed("lineage")
        return self.end is None

    def parse_end(self, fields: dict[str, Any]) -> StreamEnd:
        """Return how the stream ended, from its final frame."""
        total = int(fields["offset"])
        if total != self.offset:
            return Broken("the engine counts another number of tokens")
        usage = fields.get("usage") or {}
        return Finished(
            total,
            int(usage.get("prompt_tokens", 0)),
            int(usage.get("cached_tokens", 0)),
        )
