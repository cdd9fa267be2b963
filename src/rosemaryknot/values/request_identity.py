"""Identity of a request that a caller may send again under another request id."""

from hashlib import blake2b

import xxhash

__all__ = ["LONG_BODY_BYTES", "RequestIdentity"]

# Hashing a longer body takes more than 40 us, so it is done only if it is needed.
LONG_BODY_BYTES = 1_048_576
CUSTOMER_DIGEST_BYTES = 8


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

    Examples
    --------
    >>> first = RequestIdentity("1", "ada", (b"POST", b"/x"), b"body")
    >>> RequestIdentity("2", "ada", (b"POST", b"/x"), b"body").digest == first.digest
    True
    >>> RequestIdentity("2", "bob", (b"POST", b"/x"), b"body").digest == first.digest
    False
    """

    __slots__ = ("body", "customer", "head", "known_digest", "request_id")

    def __init__(
        self, request_id: str, customer: str, head: tuple[bytes, ...], body: bytes
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.head = head
        self.body = body
        self.known_digest: bytes | None = None

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
        customer = blake2b(self.customer.encode(), digest_size=CUSTOMER_DIGEST_BYTES)
        return customer.digest() + content.digest()
