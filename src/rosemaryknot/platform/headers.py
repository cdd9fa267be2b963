"""Headers of requests and answers, to and from the gateway's own types."""

from collections.abc import Iterable

from rosemaryknot.values.gateway import (
    GatewayRequest,
    Headers,
    ModelInput,
    PromptSegment,
    RoutedServer,
)
from rosemaryknot.values.gateway_answers import AnswerHead, TargetFault

__all__ = ["PlatformWire"]

REQUEST_ID = b"rosemaryknot-attempt-id"
DEADLINE = b"rosemaryknot-deadline-ms"
CUSTOMER = b"rosemaryknot-tenant"
EXPECTED_SERVER = b"rosemaryknot-expect-instance"
NOT_RUN = b"rosemaryknot-not-executed"
SIGNATURE = b"rosemaryknot-instance-signature"
TOKENS = b"rosemaryknot-token-usage"
PROMPT_PARTS = b"rosemaryknot-prefix-hash"
PRIORITY = b"rosemaryknot-request-priority"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MISDIRECTED = 421

# Concern one connection only, by RFC 9110.
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
# A caller that could set these would reserve or read other requests' memory, pass
# before others, or act under another customer's name.
OURS_TO_SET = frozenset(
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


def named_by_connection(headers: Headers) -> set[bytes]:
    """Return the headers that a ``Connection`` header names."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}
    return named


def first(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None."""
    for known, value in headers:
        if known == name:
            return value.decode("latin-1").strip()
    return None


def number_of(text: str | None) -> float | None:
    """Return a number that is not negative, or None."""
    try:
        number = float(text)
    except (TypeError, ValueError):
        return None
    return number if 0 <= number < float("inf") else None


def parts_of(text: str) -> tuple[PromptSegment, ...]:
    """Return the parts of a prompt; what has another form is left out.

    Examples
    --------
    >>> parts_of("5c1e:800, 91bd:410")[1]
    PromptSegment(id='91bd', tokens=410)
    >>> parts_of("rubbish")
    ()
    """
    segments = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if tokens.isdecimal():
            segments.append(PromptSegment(part_id, int(tokens)))
    return tuple(segments)


def size_of(headers: Headers) -> ModelInput | None:
    """Return the size of a model request, or None for another one."""
    tokens = first(headers, TOKENS)
    if tokens is None:
        return None
    prompt, _, output = tokens.partition(",")
    segments = first(headers, PROMPT_PARTS) or ""
    return ModelInput(
        int(number_of(prompt) or 0), int(number_of(output) or 0), parts_of(segments)
    )


def key_of(headers: Headers) -> str | None:
    """Return the API key, or None."""
    value = first(headers, AUTHORIZATION)
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def keep_alive_of(headers: Headers) -> float | None:
    """Return how long a server keeps an idle connection, in seconds.

    Examples
    --------
    >>> keep_alive_of([(b"keep-alive", b"timeout=5, max=100")])
    5.0
    """
    value = first(headers, b"keep-alive") or ""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout":
            return number_of(number)
    return None


class PlatformWire:
    """The platform's headers; see `rosemaryknot.values.gateway_answers.GatewayWire`."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        arrived_s: float,
    ) -> GatewayRequest | TargetFault:
        """Decode a request of a caller."""
        pairs = [(name.lower(), value) for name, value in headers]
        host = first(pairs, b"host")
        if host is None or not target.startswith(b"/"):
            return TargetFault(400, "no host, or a target that is no path")
        dropped = HOP_BY_HOP | OURS_TO_SET | named_by_connection(pairs)
        dropped |= {b"content-length"}
        patience_ms = number_of(first(pairs, DEADLINE))
        last_event_id = first(pairs, LAST_EVENT_ID)
        return GatewayRequest(
            id=first(pairs, REQUEST_ID) or "",
            method=method,
            target=target,
            host=host.rpartition(":")[0] if ":" in host else host,
            path=target.partition(b"?")[0].decode("latin-1"),
            headers=[pair for pair in pairs if pair[0] not in dropped],
            body=body,
            key=key_of(pairs),
            patience_s=None if patience_ms is None else patience_ms / 1000,
            arrived_s=arrived_s,
            size=size_of(pairs),
            last_event_id=last_event_id.encode("latin-1") if last_event_id else None,
        )

    def server_headers(
        self,
        request: GatewayRequest,
        server: RoutedServer,
        customer: str | None,
        left_s: float,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> Headers:
        """Return the headers of a request as it goes to a server."""
        headers = list(request.headers)
        headers.append((DEADLINE, str(max(1, int(left_s * 1000))).encode()))
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

    def read_answer(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> AnswerHead:
        """Decode the head of a server's answer."""
        pairs = [(name.lower(), value) for name, value in headers]
        named = named_by_connection(pairs)
        dropped = HOP_BY_HOP | named
        names = {name for name, _ in pairs}
        return AnswerHead(
            status=status,
            request_id=first(pairs, REQUEST_ID) or "",
            not_run=NOT_RUN in names or status == MISDIRECTED,
            is_signed=SIGNATURE in names,
            is_closing=b"close" in named,
            keep_alive_s=keep_alive_of(pairs),
            has_length=b"content-length" in names or b"transfer-encoding" in names,
            headers=[pair for pair in pairs if pair[0] not in dropped],
        )

    def refusal_headers(self, request: GatewayRequest | None) -> Headers:
        """Return what identifies the request in an answer of our own."""
        if request is None or not request.id:
            return []
        return [(REQUEST_ID, request.id.encode("latin-1"))]
