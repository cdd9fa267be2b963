"""Calls that one gateway at a time makes for all: usage and sizes of services."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["DutyCalls", "DutyDone", "DutyFailed", "DutyRefused", "SizeOrder"]


@dataclass(slots=True, frozen=True)
class SizeOrder:
    """How many servers of a kind a service is to have in an availability zone.

    Attributes
    ----------
    service, zone : str
        Where.
    is_reclaimable : bool
        Which kind; each is counted for itself.
    count : int
        How many.
    """

    service: str
    zone: str
    is_reclaimable: bool
    count: int


@dataclass(slots=True)
class DutyDone:
    """The platform has taken the call."""


@dataclass(slots=True)
class DutyRefused:
    """The platform has refused: a higher fencing number was seen, or none is there."""


@dataclass(slots=True)
class DutyFailed:
    """No answer, or none that tells; the call may still be carried out.

    Attributes
    ----------
    reason : str
        What happened.
    """

    reason: str


class DutyCalls(Protocol):
    """The calls, as the adapter of a platform fills them in."""

    async def send_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Tell the usage of a window."""

    async def send_order(
        self, order: SizeOrder, fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Order servers."""
