"""Counters of the messages on the links of a process."""

from dataclasses import dataclass

__all__ = ["KindTraffic", "Traffic"]


@dataclass(slots=True)
class KindTraffic:
    """Number of messages and bytes of one kind of message.

    Attributes
    ----------
    messages, bytes : int
        Number of messages, and of bytes including frame headers.
    """

    messages: int = 0
    bytes: int = 0


class Traffic:
    """Counters of sent and received messages, by kind of message.

    Attributes
    ----------
    sent, received : dict of str to KindTraffic
        Counters by kind of message.
    unreadable : int
        Links closed because a message could not be decoded.
    unsupported : int
        Messages of a kind without a handler.
    """

    def __init__(self) -> None:
        self.sent: dict[str, KindTraffic] = {}
        self.received: dict[str, KindTraffic] = {}
        self.unreadable = 0
        self.unsupported = 0

    def add_sent(self, kind: str, size_bytes: int) -> None:
        """Count one sent message."""
        count = self.sent.setdefault(kind, KindTraffic())
        count.messages += 1
        count.bytes += size_bytes

    def add_received(self, kind: str, size_bytes: int) -> None:
        """Count one received message."""
        count = self.received.setdefault(kind, KindTraffic())
        count.messages += 1
        count.bytes += size_bytes
