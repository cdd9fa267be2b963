"""Counts of what the links of a process carry."""

from dataclasses import dataclass

__all__ = ["KindTraffic", "Traffic"]


@dataclass(slots=True)
class KindTraffic:
    """Messages and bytes of one kind.

    Attributes
    ----------
    messages, bytes : int
        Counts, frame headers included.
    """

    messages: int = 0
    bytes: int = 0


class Traffic:
    """Counts what the links of a process send and receive, by kind of message.

    Attributes
    ----------
    sent, received : dict of str to KindTraffic
        Counts by message kind.
    unreadable : int
        Links closed because of a message that could not be read.
    unsupported : int
        Messages of a kind without a handler.
    """

    def __init__(self) -> None:
        self.sent: dict[str, KindTraffic] = {}
        self.received: dict[str, KindTraffic] = {}
        self.unreadable = 0
        self.unsupported = 0

    def add_sent(self, kind: str, size_bytes: int) -> None:
        """Count one message sent."""
        count = self.sent.setdefault(kind, KindTraffic())
        count.messages += 1
        count.bytes += size_bytes

    def add_received(self, kind: str, size_bytes: int) -> None:
        """Count one message received."""
        count = self.received.setdefault(kind, KindTraffic())
        count.messages += 1
        count.bytes += size_bytes
