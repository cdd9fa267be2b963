"""Calls of duties to the platform: reports of usage and orders of service sizes.

A duty is a task that only the holder of a lease performs, here one gateway at a time
on behalf of all.
"""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["DutyCalls", "DutyDone", "DutyFailed", "DutyRefused", "SizeOrder"]


@dataclass(slots=True, frozen=True)
class SizeOrder:
    """Order for a number of servers of one kind for a service in an availability zone.

    Attributes
    ----------
    service, zone : str
        Service and availability zone.
    is_reclaimable : bool
        Whether the servers are reclaimable; the two kinds are counted separately.
    count : int
        Number of servers that the service is to have.
    """

    service: str
    zone: str
    is_reclaimable: bool
    count: int


@dataclass(slots=True)
class DutyDone:
    """The platform accepted the call."""


@dataclass(slots=True)
class DutyRefused:
    """The platform refused the call: its fencing token is outdated or missing."""


@dataclass(slots=True)
class DutyFailed:
    """No response, or an inconclusive one; the call may still take effect.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    """

    reason: str


class DutyCalls(Protocol):
    """The calls of duties, implemented by the adapter of a platform."""

    async def send_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Report the usage of a window."""

    async def send_order(
        self, order: SizeOrder, fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Order a number of servers."""
