"""Messages of the tree along which notices reach all nodes."""

from dataclasses import dataclass
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = ["NoticeReceived"]


@message("notice_received")
@dataclass(slots=True)
class NoticeReceived(Message):
    """Reply of a relay that has received a notice and sends it on."""

    kind: ClassVar[str]
