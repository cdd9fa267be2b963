"""Identity of a request that a caller may send again under another request id."""

from collections.abc import Callable, Iterable
from hashlib import blake2b

import xxhash

__all__ = [
    "LONG_BODY_BYTES",
    "RequestIdentity",
    "SegmentUnit",
    "digest_of_segment",
    "is_segment_digest",
]

# Hashing a longer body takes more than 40 us, so it is done only if it is needed.
LONG_BODY_BYTES = 1_048_576
CUSTOMER_DIGEST_BYTES = 8
SEGMENT_DIGEST_BYTES = 16
# First byte of the digest of a customer's segment, which is longer than a request's.
SEGMENT_MARK = b"s"
# Segments of a prompt that are told apart; the first ones are shared most.
MAX_SEGMENTS = 64


class SegmentUnit:
    """Prompt segment that requests to a service share.

    Parameters
    ----------
    service : str
        Service that runs the requests.
    segment : str
        Id of the segment.

    Attributes
    ----------
    digest : bytes
        Digest of both. It is cryptographic: no customer can name a segment that has the
        digest of another one.
    """

    __slots__ = ("digest", "segment")

    def __init__(self, service: str, segment: str) -> None:
        self.segment = segment
        # The length keeps the two parts apart.
        content = f"{len(service)} {service} {segment}".encode()
        self.digest = blake2b(content, digest_size=SEGMENT_DIGEST_BYTES).digest()


def no_segments() -> Iterable[str]:
    """Return the segments of a request without a prompt."""
    return ()


class RequestIdentity:
    """Digest that is the same for each repeat of a request.

    The part of the customer is cryptographic, so that no customer can send a request
    with the digest of another customer's request. The rest is fast.

    Parameters
    ----------
    request_id : str
        Id of this request, which differs from that of a repeat; for the log.
    customer : str
        Name of the customer; empty without one.
    head : tuple of bytes
        What the request asks for, such as its method, host and target.
    body : bytes
        Its body.
    service : str
        Service that runs it.
    list_segments : callable
        Returns the ids of the prompt segments that other requests may share. It is
        called only once servers have crashed.

    Examples
    --------
    >>> first = RequestIdentity("1", "ada", (b"POST", b"/x"), b"body")
    >>> RequestIdentity("2", "ada", (b"POST", b"/x"), b"body").digest == first.digest
    True
    >>> RequestIdentity("2", "bob", (b"POST", b"/x"), b"body").digest == first.digest
    False
    """

    __slots__ = (
        "body",
        "customer",
        "head",
        "known_digest",
        "known_units",
        "list_segments",
        "request_id",
        "service",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        head: tuple[bytes, ...],
        body: bytes,
        service: str = "",
        list_segments: Callable[[], Iterable[str]] = no_segments,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.head = head
        self.body = body
        self.service = service
        self.list_segments = list_segments
        self.known_digest: bytes | None = None
        self.known_units: list[SegmentUnit] | None = None

    @property
    def digest(self) -> bytes:
        """Digest of the request; computed once."""
        if self.known_digest is None:
            self.known_digest = self.compute_digest()
        return self.known_digest

    @property
    def has_long_body(self) -> bool:
        """Whether the digest takes long to compute."""
        return len(self.body) > LONG_BODY_BYTES

    def compute_digest(self) -> bytes:
        """Return the digest of the customer, followed by that of the request."""
        content = xxhash.xxh3_128()
        for part in self.head:
            # The length keeps parts apart that could otherwise run into each other.
            content.update(len(part).to_bytes(4, "big"))
            content.update(part)
        content.update(self.body)
        return customer_digest(self.customer) + content.digest()

    @property
    def units(self) -> list[SegmentUnit]:
        """Prompt segments that other requests may share; computed once."""
        if self.known_units is None:
            segments = list(dict.fromkeys(self.list_segments()))[:MAX_SEGMENTS]
            self.known_units = [SegmentUnit(self.service, s) for s in segments]
        return self.known_units


def digest_of_segment(customer: str, unit: bytes) -> bytes:
    """Return the digest of a segment in the requests of one customer."""
    return SEGMENT_MARK + customer_digest(customer) + unit


def is_segment_digest(digest: bytes) -> bool:
    """Return whether a digest is that of a segment and not of a request.

    Examples
    --------
    >>> is_segment_digest(digest_of_segment("ada", SegmentUnit("s", "5c1e").digest))
    True
    >>> is_segment_digest(RequestIdentity("1", "ada", (b"POST",), b"").digest)
    False
    """
    size = len(SEGMENT_MARK) + CUSTOMER_DIGEST_BYTES + SEGMENT_DIGEST_BYTES
    return len(digest) == size


def customer_digest(customer: str) -> bytes:
    """Return the digest of a customer's name."""
    return blake2b(customer.encode(), digest_size=CUSTOMER_DIGEST_BYTES).digest()
