"""One life of a backend server, which may start again under the id that it had."""

from dataclasses import dataclass

__all__ = ["ServerIncarnation"]

SEPARATOR = "@"


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

        Examples
        --------
        >>> ServerIncarnation("i-1", 1000).to_text()
        'i-1@1000'
        >>> ServerIncarnation("i-1").to_text()
        'i-1@'
        """
        born = "" if self.born_ms is None else str(self.born_ms)
        return f"{self.id}{SEPARATOR}{born}"

    @classmethod
    def from_text(cls, text: str) -> "ServerIncarnation":
        """Return the life that a text names; the id may hold the separator.

        Examples
        --------
        >>> ServerIncarnation.from_text("a@b@1000")
        ServerIncarnation(id='a@b', born_ms=1000)
        >>> ServerIncarnation.from_text("i-1@").born_ms is None
        True
        """
        server_id, _, born = text.rpartition(SEPARATOR)
        return cls(server_id, int(born) if born.isdecimal() else None)
