"""Rate limits that backend servers state, and the permits to send to such a server.

A limit holds for the requests of all nodes together. The owner of a limited server, a
node that all nodes select by the same hash, issues a permit for each request to it.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "InvalidLimit",
    "NO_LIMIT",
    "PermitReply",
    "PermitRequest",
    "PermitReturn",
    "ServerLimitNotice",
    "ServerStatement",
    "decode_limit",
]

# Stands for an absent limit in messages; a limit is never negative.
NO_LIMIT = -1.0
# No exponent, sign, infinity or NaN, which `float` accepts.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_LOGGED_CHARS = 40


@dataclass(slots=True, frozen=True)
class InvalidLimit:
    """A stated rate limit that is not a decimal number.

    Attributes
    ----------
    text : str
        The text of the header.
    """

    text: str


def decode_limit(texts: Sequence[str]) -> float | InvalidLimit | None:
    """Return the limit that the headers of a response state, in requests per second.

    Parameters
    ----------
    texts : sequence of str
        Values of the header, which may occur several times.

    Returns
    -------
    limit : float or InvalidLimit or None
        The lowest stated limit; None if there is no header.

    Examples
    --------
    >>> decode_limit(["1.8", "rubbish"])
    1.8
    >>> decode_limit(["-1"])
    InvalidLimit(text='-1')
    """
    if not texts:
        return None
    stripped = [text.strip() for text in texts]
    limits = [float(text) for text in stripped if DECIMAL.fullmatch(text)]
    return min(limits) if limits else InvalidLimit(stripped[0][:MAX_LOGGED_CHARS])


@message("server_limit_notice")
@dataclass(slots=True)
class ServerLimitNotice(Message):
    """Servers that state a limit, and servers that no longer do.

    Notices are merged: one that is repeated, or arrives late, changes nothing.

    Attributes
    ----------
    records : list of list
        For each server: its incarnation, the version and revision of its limit, and
        the limit in requests per second, or `NO_LIMIT`. A brittle server has its places
        instead of a rate, and a fifth value: the requests a second that it may turn
        away.
    is_forwarded : bool
        Whether a relay has forwarded the notice to the nodes of its zone.
    """

    kind: ClassVar[str]
    records: list = field(default_factory=list)
    is_forwarded: bool = False


@message("server_permit_request")
@dataclass(slots=True)
class PermitRequest(Message):
    """Request for a permit to send to a limited server; answered by `PermitReply`.

    Attributes
    ----------
    record : list
        What the sender knows of the limit, as in `ServerLimitNotice`.
    node : str
        Node that sends the request to the server.
    customer : str
        Customer whose request needs the permit; empty if unknown.
    priority : int
        Priority of that request; 0 is the highest.
    wait_s : float
        How long the request may wait for the permit, in seconds; 0 if there are other
        servers for it.
    target_wait_s : float
        How long it may wait and still meet its target latency, in seconds; 0 if it has
        none.
    is_first : bool
        Whether no other owner has refused the request, so that those that come back are
        counted once.
    """

    kind: ClassVar[str]
    record: list = field(default_factory=list)
    node: str = ""
    customer: str = ""
    priority: int = 0
    wait_s: float = 0.0
    target_wait_s: float = 0.0
    is_first: bool = True


@message("server_permit_reply")
@dataclass(slots=True)
class PermitReply(Message):
    """Permits, or how long to wait before the next request for one.

    Attributes
    ----------
    record : list
        What the owner knows of the limit, as in `ServerLimitNotice`.
    permits : int
        Number of issued permits.
    owner : str
        Name of the node that issues permits for the server.
    incarnation : int
        Incarnation of that node.
    number : int
        Number of the first issued permit; numbers rise with each permit.
    reports_all : bool
        Whether the owner has to know what the server states in response to these
        requests even if it is what the owner knows already.
    pause_s : float
        Time before the sender requests a permit again, if none was issued, in seconds.
    queue_s, retry_s : float
        Time until a request that comes now would get a permit, in seconds; the second
        one if all requests that were refused of late come back.
    """

    kind: ClassVar[str]
    record: list = field(default_factory=list)
    permits: int = 0
    owner: str = ""
    incarnation: int = 0
    number: int = 0
    reports_all: bool = False
    pause_s: float = 0.0
    queue_s: float = 0.0
    retry_s: float = 0.0


@message("server_statement")
@dataclass(slots=True)
class ServerStatement(Message):
    """What a limited server stated in response to a request that had a permit.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    version : int
        Version of its limit under which the permit was issued.
    owner : str
        Name of the node that issued the permit.
    incarnation : int
        Incarnation of that node.
    number : int
        Number of the permit.
    limit : float
        Stated limit in requests per second, or `NO_LIMIT`.
    """

    kind: ClassVar[str]
    server: str = ""
    version: int = 0
    owner: str = ""
    incarnation: int = 0
    number: int = 0
    limit: float = NO_LIMIT


@message("server_permit_return")
@dataclass(slots=True)
class PermitReturn(Message):
    """End of a request that had a permit to send to a brittle server.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    owner : str
        Name of the node that issued the permit.
    incarnation : int
        Incarnation of that node.
    number : int
        Number of the permit.
    was_turned_away : bool
        Whether the server had no room for the request.
    """

    kind: ClassVar[str]
    server: str = ""
    owner: str = ""
    incarnation: int = 0
    number: int = 0
    was_turned_away: bool = False
