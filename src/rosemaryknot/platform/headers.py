"""Conversion between HTTP headers and the gateway's own types."""

import math
import re
from collections.abc import Container, Iterable
from hashlib import blake2b

from rosemaryknot.values.gateway import (
    GatewayRequest,
    Headers,
    ModelInput,
    PromptSegment,
    RoutedServer,
)
from rosemaryknot.values.gateway_responses import Framing, ResponseHead, TargetFault
from rosemaryknot.values.retry_after import (
    InvalidRetryAfter,
    decode_date,
    decode_retry_after,
)
from rosemaryknot.values.server_limits import decode_limit

__all__ = ["PlatformWire"]

REQUEST_ID = b"rosemaryknot-attempt-id"
DEADLINE = b"rosemaryknot-deadline-ms"
CUSTOMER = b"rosemaryknot-tenant"
EXPECTED_SERVER = b"rosemaryknot-expect-instance"
NOT_RUN = b"rosemaryknot-not-executed"
SIGNATURE = b"rosemaryknot-instance-signature"
TOKENS = b"rosemaryknot-token-usage"
PROMPT_SEGMENTS = b"rosemaryknot-prefix-hash"
PRIORITY = b"rosemaryknot-request-priority"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
LIMIT = b"server-limit"
BRITTLE = b"server-brittle"
DRAINING = b"server-leaving"
DRAINING_VALUE = "1"
RETRY_AFTER = b"retry-after"
DATE = b"date"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MISDIRECTED = 421
# Tokens of a request are summed over all requests of all nodes, and messages between
# nodes hold no number beyond 64 bits: four million requests of this size fit.
MAX_TOKENS = 2**40
# Segments of a prompt that are decoded. Those behind them are forwarded, but not looked
# for in the servers' caches, which takes time for each segment and server.
MAX_SEGMENTS = 256
# A longer id of a segment is represented by its digest, as ids are remembered.
MAX_SEGMENT_ID_CHARS = 64
SEGMENT_ID_DIGEST_BYTES = 16
# No underscore, infinity or NaN, which `float` accepts.
NUMBER = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]{1,3})?", re.ASCII)

# Headers that apply to a single connection (RFC 9110).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Headers that only the gateway may set. A caller that set them could reserve or read
# the memory of other requests, bypass priorities, or act as another customer.
RESERVED_HEADERS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        CUSTOMER,
        EXPECTED_SERVER,
        NOT_RUN,
        SIGNATURE,
        PRIORITY,
        LAST_EVENT_ID,
        b"rosemaryknot-instance-id",
        b"rosemaryknot-expect-version",
        b"rosemaryknot-weight-versions",
        b"rosemaryknot-hold",
        b"rosemaryknot-pin-ms",
        b"rosemaryknot-kv-backup",
        b"rosemaryknot-duty-holder",
        b"rosemaryknot-fencing-token",
        b"kv-from",
        b"kv-fetch",
        b"kv-backup",
    )
)


def connection_specific_headers(headers: Headers) -> set[bytes]:
    """Return the names listed in ``Connection`` headers."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}
    return named


def first_value(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None."""
    for known, value in headers:
        if known == name:
            return value.decode("latin-1").strip()
    return None


def all_values(headers: Headers, name: bytes) -> list[str]:
    """Return all values of a header."""
    return [value.decode("latin-1") for known, value in headers if known == name]


def parse_non_negative(text: str | None) -> float | None:
    """Return a finite, non-negative number, or None if the text is not one."""
    number = None if text is None else parse_number(text)
    return number if number is not None and 0 <= number < math.inf else None


def parse_number(text: str) -> float | None:
    """Return a decimal number, or None if the text is not one.

    Examples
    --------
    >>> parse_number("1.5"), parse_number("1_000"), parse_number("nan")
    (1.5, None, None)
    """
    return float(text) if NUMBER.fullmatch(text.strip()) else None


class HeaderOutOfRange(ValueError):
    """A number in a header is larger than any size that the gateway handles."""


def decode_tokens(text: str, header: bytes) -> int:
    """Return a number of tokens; 0 if the text is no number.

    Raises
    ------
    HeaderOutOfRange
        If there are more than `MAX_TOKENS`.
    """
    tokens = parse_number(text)
    if tokens is None:
        return 0
    if tokens > MAX_TOKENS:
        raise HeaderOutOfRange(f"{header.decode()} has more than {MAX_TOKENS} tokens")
    return int(tokens) if tokens > 0 else 0


def decode_segments(text: str) -> tuple[PromptSegment, ...]:
    """Decode the first segments of a prompt; malformed entries are skipped.

    Raises
    ------
    HeaderOutOfRange
        If a segment has more than `MAX_TOKENS` tokens.

    Examples
    --------
    >>> decode_segments("5c1e:800, 91bd:410")[1]
    PromptSegment(id='91bd', tokens=410)
    >>> decode_segments("rubbish")
    ()
    >>> len(decode_segments("5c1e:800," * 1000)) == MAX_SEGMENTS
    True
    """
    segments = []
    for entry in text.split(",", MAX_SEGMENTS)[:MAX_SEGMENTS]:
        segment_id, _, tokens = entry.strip().partition(":")
        if tokens.isdecimal():
            count = decode_tokens(tokens, PROMPT_SEGMENTS)
            segments.append(PromptSegment(shorten_id(segment_id), count))
    return tuple(segments)


def shorten_id(segment_id: str) -> str:
    """Return the id of a segment, or its digest if the id is long.

    The digest is cryptographic: no customer can name a segment that has the digest of
    another one.

    Examples
    --------
    >>> shorten_id("5c1e"), len(shorten_id("5c1e" * 1000))
    ('5c1e', 32)
    """
    if len(segment_id) <= MAX_SEGMENT_ID_CHARS:
        return segment_id
    content = segment_id.encode("latin-1")
    return blake2b(content, digest_size=SEGMENT_ID_DIGEST_BYTES).hexdigest()


def decode_size(headers: Headers) -> ModelInput | None:
    """Decode the size of a model request; None for other requests.

    Raises
    ------
    HeaderOutOfRange
        If it has more than `MAX_TOKENS` tokens.
    """
    tokens = first_value(headers, TOKENS)
    if tokens is None:
        return None
    prompt, _, output = tokens.partition(",")
    segments = first_value(headers, PROMPT_SEGMENTS) or ""
    return ModelInput(
        decode_tokens(prompt, TOKENS),
        decode_tokens(output, TOKENS),
        decode_segments(segments),
    )


def decode_api_key(headers: Headers) -> str | None:
    """Return the API key, or None if there is none."""
    value = first_value(headers, AUTHORIZATION)
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def framing_of(names: Container[bytes]) -> Framing:
    """Return what marks the end of a response, from the names of its headers.

    Examples
    --------
    >>> str(framing_of({b"content-type"}))
    'close'
    """
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def decode_keep_alive_s(headers: Headers) -> float | None:
    """Return how long a server keeps an idle connection open, in seconds.

    Examples
    --------
    >>> decode_keep_alive_s([(b"keep-alive", b"timeout=5, max=100")])
    5.0
    """
    value = first_value(headers, b"keep-alive") or ""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout":
            return parse_non_negative(number)
    return None


def is_stated_draining(headers: Headers) -> bool:
    """Return whether a server states that it drains.

    Examples
    --------
    >>> is_stated_draining([(b"server-leaving", b"11")])
    False
    """
    return DRAINING_VALUE in (text.strip() for text in all_values(headers, DRAINING))


def read_retry_after(headers: Headers) -> float | InvalidRetryAfter | None:
    """Return the time for which a server wants no requests, in seconds."""
    sent_unix_s = decode_date(first_value(headers, DATE) or "")
    return decode_retry_after(all_values(headers, RETRY_AFTER), sent_unix_s)


class PlatformWire:
    """Header codec of the platform; implements `GatewayWire`."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        arrived_s: float,
    ) -> GatewayRequest | TargetFault:
        """Decode a caller's request."""
        pairs = [(name.lower(), value) for name, value in headers]
        host = first_value(pairs, b"host")
        if host is None or not target.startswith(b"/"):
            return TargetFault(400, "no host, or a target that is no path")
        try:
            size = decode_size(pairs)
        except HeaderOutOfRange as error:
            return TargetFault(400, str(error))
        dropped = HOP_BY_HOP | RESERVED_HEADERS | connection_specific_headers(pairs)
        dropped |= {b"content-length"}
        patience_ms = parse_non_negative(first_value(pairs, DEADLINE))
        last_event_id = first_value(pairs, LAST_EVENT_ID)
        return GatewayRequest(
            id=first_value(pairs, REQUEST_ID) or "",
            method=method,
            target=target,
            host=host.rpartition(":")[0] if ":" in host else host,
            path=target.partition(b"?")[0].decode("latin-1"),
            headers=[pair for pair in pairs if pair[0] not in dropped],
            body=body,
            key=decode_api_key(pairs),
            caller_timeout_s=None if patience_ms is None else patience_ms / 1000,
            arrived_s=arrived_s,
            size=size,
            last_event_id=last_event_id.encode("latin-1") if last_event_id else None,
            resumes=first_value(pairs, RESUMES) or None,
        )

    def server_headers(
        self,
        request: GatewayRequest,
        server: RoutedServer,
        customer: str | None,
        remaining_s: float,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> Headers:
        """Return the headers of a request to a backend server."""
        headers = list(request.headers)
        headers.append((DEADLINE, str(max(1, int(remaining_s * 1000))).encode()))
        headers.append((EXPECTED_SERVER, server.id.encode()))
        if customer is not None:
            headers.append((CUSTOMER, customer.encode()))
        if priority is not None:
            headers.append((PRIORITY, str(priority).encode()))
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, last_event_id))
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        return headers

    def read_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> ResponseHead:
        """Decode the status and headers of a backend server's response."""
        pairs = [(name.lower(), value) for name, value in headers]
        named = connection_specific_headers(pairs)
        dropped = HOP_BY_HOP | named
        names = {name for name, _ in pairs}
        return ResponseHead(
            status=status,
            request_id=first_value(pairs, REQUEST_ID) or "",
            not_run=NOT_RUN in names or status == MISDIRECTED,
            is_signed=SIGNATURE in names,
            is_closing=b"close" in named,
            keep_alive_s=decode_keep_alive_s(pairs),
            framing=framing_of(names),
            limit=decode_limit(all_values(pairs, LIMIT)),
            brittle=decode_limit(all_values(pairs, BRITTLE)),
            is_draining=is_stated_draining(pairs),
            retry_after=read_retry_after(pairs),
            headers=[pair for pair in pairs if pair[0] not in dropped],
        )

    def refusal_headers(self, request: GatewayRequest | None) -> Headers:
        """Return the headers that identify the request in a response of the gateway."""
        if request is None or not request.id:
            return []
        return [(REQUEST_ID, request.id.encode("latin-1"))]
