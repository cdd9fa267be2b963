"""Identity of a request that a caller may send again under another request id."""

from hashlib import blake2b

from rosemaryknot.values.gateway import GatewayRequest

__all__ = ["request_digest", "target_digest"]

TARGET_DIGEST_BYTES = 8
REQUEST_DIGEST_BYTES = 16


def target_digest(customer: str, request: GatewayRequest) -> bytes:
    """Return a digest of what the head of a request asks for, and for whom.

    Cheap even if the body is long: it rules most requests out before their bodies are
    hashed. A cryptographic hash keeps one customer from colliding with another.

    Parameters
    ----------
    customer : str
        Name of the customer; empty without one.
    request : GatewayRequest
        Request of the caller.
    """
    return head_hash(customer, request, TARGET_DIGEST_BYTES).digest()


def request_digest(customer: str, request: GatewayRequest) -> bytes:
    """Return a digest that is the same for each repeat of a request.

    It covers customer, method, host, target and body, not the request id or headers.
    Parameters are those of `target_digest`.

    Examples
    --------
    >>> first = GatewayRequest("1", b"POST", b"/x", "h", "/x", [], b"b", None, None, 0)
    >>> again = GatewayRequest("2", b"POST", b"/x", "h", "/x", [], b"b", None, None, 9)
    >>> request_digest("ada", first) == request_digest("ada", again)
    True
    >>> request_digest("ada", first) == request_digest("bob", first)
    False
    """
    digest = head_hash(customer, request, REQUEST_DIGEST_BYTES)
    digest.update(request.body)
    return digest.digest()


def head_hash(customer: str, request: GatewayRequest, size: int) -> blake2b:
    """Return a hash that has consumed all but the body of a request."""
    parts = (customer.encode(), request.method, request.host.encode(), request.target)
    digest = blake2b(digest_size=size)
    for part in parts:
        # The length keeps parts apart that could otherwise run into each other.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest
