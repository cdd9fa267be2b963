"""One life of a backend server, which may start again under the id that it had."""

from dataclasses import dataclass

__all__ = ["ServerIncarnation", "id_of"]

SEPARATOR = "@"
DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


@dataclass(slots=True, frozen=True)
class ServerIncarnation:
    """One life of a backend server.

    Attributes
    ----------
    id : str
        Its id, which the next life may have as well.
    born_ms : int or None
        When this life started, in milliseconds of the epoch. Servers of older
        software tell none; all that is told of them counts for one life.

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
        """Tell whether this is a later life of the same server.

        A life without a number comes before each one with a number: its server was
        started again with software that tells one. The other way round it would be
        a late word, or that of another writer.
        """
        if self.born_ms is None:
            return False
        return other.born_ms is None or self.born_ms > other.born_ms

    def to_text(self) -> str:
        """Return the text by which nodes name this life to each other.

        The birth stands in base 36, eight characters in place of thirteen: each name of
        a life is in up to a hundred places of a message.

        Examples
        --------
        >>> ServerIncarnation("i-1", 1_764_722_000_123).to_text()
        'i-1@mip9wxyz'
        >>> ServerIncarnation("i-1").to_text()
        'i-1@'
        """
        born = "" if self.born_ms is None else base_36(self.born_ms)
        return f"{self.id}{SEPARATOR}{born}"


def base_36(number: int) -> str:
    """Return a number from 0 on in base 36."""
    digits = ""
    while number >= len(DIGITS):
        number, last = divmod(number, len(DIGITS))
        digits = DIGITS[last] + digits
    return DIGITS[number] + digits


def id_of(text: str) -> str:
    """Return the id of the server whose life a text names.

    Examples
    --------
    >>> id_of("a@b@mip9wxyz")
    'a@b'
    """
    return text.rpartition(SEPARATOR)[0]
