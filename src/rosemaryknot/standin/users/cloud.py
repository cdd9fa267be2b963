"""Stand-in of the users' cloud: usage and sizes of services, with fences."""

import json
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire

__all__ = ["CloudStandIn"]

JSON = {"Content-Type": "application/json"}


@dataclass(slots=True)
class CloudCall:
    """One call of a duty."""

    at_s: float
    duty: str
    holder: str
    fencing: int
    body: dict
    status: int


@dataclass(slots=True)
class CloudFaults:
    """What is wrong with the cloud.

    Attributes
    ----------
    lose_calls : int
        So many calls are carried out and not answered.
    exhausted_zones : set of str
        Zones without reclaimable servers.
    """

    lose_calls: int = 0
    exhausted_zones: set[str] = field(default_factory=set)


class CloudStandIn:
    """The cloud.

    Attributes
    ----------
    calls : list of CloudCall
        All calls with what they were answered.
    usage : dict of int to dict
        Counts by window, as first accepted.
    doubled : list of int
        Windows that were told twice with different counts.
    sizes : dict of tuple to int
        Servers ordered by service, zone and kind.
    """

    def __init__(self) -> None:
        self.calls: list[CloudCall] = []
        self.usage: dict[int, dict] = {}
        self.doubled: list[int] = []
        self.sizes: dict[tuple[str, str, bool], int] = {}
        self.fences: dict[str, int] = {}
        self.faults = CloudFaults()
        self.server = RawServer(self.handle)

    async def handle(self, request: RawRequest, wire: RawWire) -> None:
        """Answer a call."""
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
        """Carry a call out if its fence is not older; return the status."""
        subject = duty
        if duty == "scale":
            subject = f"{duty}/{body['service']}/{body['zone']}"
        if fencing < self.fences.get(subject, 0):
            return 409
        self.fences[subject] = fencing
        if duty == "usage":
            known = self.usage.setdefault(body["windowId"], body["counts"])
            if known != body["counts"]:
                self.doubled.append(body["windowId"])
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
