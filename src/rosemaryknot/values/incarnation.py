"""Incarnations of backend servers, which may restart under the same id."""

from dataclasses import dataclass

__all__ = ["ServerIncarnation", "server_id_from_text"]

SEPARATOR = "@"
DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


@dataclass(slots=True, frozen=True)
class ServerIncarnation:
    """One incarnation of a backend server.

    Attributes
    ----------
    id : str
        Id of the server, which the next incarnation may share.
    born_ms : int or None
        When this incarnation started, in milliseconds since the epoch. Servers with
        older software do not report it; all their reports count as one incarnation.

    Examples
    --------
    >>> first, second = ServerIncarnation("i-1", 1000), ServerIncarnation("i-1", 2000)
    >>> second.is_newer_than(first), first.is_newer_than(second)
    (True, False)
    >>> first.is_newer_than(first)
    False
    """

    id: str
    born_ms: int | None = None

    def is_newer_than(self, other: "ServerIncarnation") -> bool:
        """Return whether this is a later incarnation of the same server.

        An incarnation without a start time precedes all that have one: the server was
        restarted with software that reports it. An entry without a start time that
        follows one with a start time is late, or comes from another writer.
        """
        if self.born_ms is None:
            return False
        return other.born_ms is None or self.born_ms > other.born_ms

    def to_text(self) -> str:
        """Return the text form, which identifies this incarnation in messages.

        The start time is in base 36, which takes eight characters rather than thirteen:
        each incarnation occurs up to a hundred times in one message.

        Examples
        --------
        >>> ServerIncarnation("i-1", 1_764_722_000_123).to_text()
        'i-1@mip9wxyz'
        >>> ServerIncarnation("i-1").to_text()
        'i-1@'
        """
        born = "" if self.born_ms is None else to_base36(self.born_ms)
        return f"{self.id}{SEPARATOR}{born}"

    @staticmethod
    def has_born(text: str) -> bool:
        """Return whether a text form includes a start time.

        Examples
        --------
        >>> ServerIncarnation.has_born("i-1@mip9wxyz")
        True
        """
        return bool(text.rpartition(SEPARATOR)[2])


def to_base36(number: int) -> str:
    """Return a non-negative number in base 36."""
    digits = ""
    while number >= len(DIGITS):
        number, last = divmod(number, len(DIGITS))
        digits = DIGITS[last] + digits
    return DIGITS[number] + digits


def server_id_from_text(text: str) -> str:
    """Return the server id from the text form of an incarnation.

    Examples
    --------
    >>> server_id_from_text("a@b@mip9wxyz")
    'a@b'
    """
    return text.rpartition(SEPARATOR)[0]
