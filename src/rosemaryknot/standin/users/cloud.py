"""Stand-in for the users' cloud: usage and service sizes, with fencing tokens.

It receives the calls of duties, which are tasks that only the holder of a lease
performs.
"""

import json
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire

__all__ = ["CloudStandIn"]

JSON = {"Content-Type": "application/json"}


@dataclass(slots=True)
class CloudCall:
    """A call of a duty and the status that it was answered with."""

    timestamp_s: float
    duty: str
    holder: str
    fencing: int
    body: dict
    status: int


@dataclass(slots=True)
class CloudFaults:
    """Active faults of the cloud.

    Attributes
    ----------
    lose_calls : int
        Number of following calls that are carried out but not answered.
    exhausted_zones : set of str
        Zones whose capacity of reclaimable servers is exhausted.
    """

    lose_calls: int = 0
    exhausted_zones: set[str] = field(default_factory=set)


class CloudStandIn:
    """Stand-in for the cloud.

    Attributes
    ----------
    calls : list of CloudCall
        All calls, with the status of their responses.
    usage : dict of int to dict
        Counts by window, as accepted first.
    conflicting_windows : list of int
        Windows whose usage was reported twice with different counts.
    sizes : dict of tuple to int
        Number of servers ordered, by service, zone and whether reclaimable.
    """

    def __init__(self) -> None:
        self.calls: list[CloudCall] = []
        self.usage: dict[int, dict] = {}
        self.conflicting_windows: list[int] = []
        self.sizes: dict[tuple[str, str, bool], int] = {}
        self.fencing_tokens: dict[str, int] = {}
        self.faults = CloudFaults()
        self.server = RawServer(self.handle)

    async def handle(self, request: RawRequest, wire: RawWire) -> None:
        """Handle a call."""
        body = json.loads(request.body)
        holder = request.headers.get("rosemaryknot-duty-holder", "")
        fencing = int(request.headers.get("rosemaryknot-fencing-token", "0"))
        duty = request.path.removeprefix("/")
        status = self.carry_out(duty, body, fencing)
        self.calls.append(
            CloudCall(trio.current_time(), duty, holder, fencing, body, status)
        )
        if self.faults.lose_calls > 0:
            self.faults.lose_calls -= 1
            await trio.sleep_forever()
        await wire.answer(status, JSON, b"{}")

    def carry_out(self, duty: str, body: dict, fencing: int) -> int:
        """Carry out a call unless its fencing token is outdated; return the status."""
        subject = duty
        if duty == "scale":
            subject = f"{duty}/{body['service']}/{body['zone']}"
        if fencing < self.fencing_tokens.get(subject, 0):
            return 409
        self.fencing_tokens[subject] = fencing
        if duty == "usage":
            known = self.usage.setdefault(body["windowId"], body["counts"])
            if known != body["counts"]:
                self.conflicting_windows.append(body["windowId"])
            return 200
        is_reclaimable = bool(body.get("spot"))
        if (
            is_reclaimable
            and body["desired"]
            and body["zone"] in self.faults.exhausted_zones
        ):
            return 409
        self.sizes[body["service"], body["zone"], is_reclaimable] = body["desired"]
        return 200
