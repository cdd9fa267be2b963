"""How gateways of a large deployment learn of each other's work: sums of hubs.

Each gateway tells its hub at moments of its own, each hub adds up at its own, and what
another zone tells is a step older. The sums are those of the product; see
`rosemaryknot.process.hub_exchange`.
"""

import random
from collections.abc import Sequence

import trio

from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.standin.peak_gateway import Gateway

__all__ = ["Hubs"]

OTHERS = "others"
# Time on the way between zones, in seconds.
WAY_S = 0.001

Loads = dict[str, tuple[int, int]]


class Hubs:
    """One hub a zone.

    Parameters
    ----------
    gateways : sequence of Gateway
        All of them.
    zones : sequence of str
        Their zones.
    report_s : float
        How often gateways and hubs tell, in seconds.
    """

    def __init__(
        self, gateways: Sequence[Gateway], zones: Sequence[str], report_s: float
    ) -> None:
        self.gateways = gateways
        self.report_s = report_s
        self.rng = random.Random(len(gateways))
        self.reports: dict[str, dict[str, Loads]] = {zone: {} for zone in zones}
        self.sums: dict[str, Loads] = {zone: {} for zone in zones}

    async def run(self) -> None:
        """Tell until cancelled."""
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                nursery.start_soon(self.report, gateway)
            for zone in self.sums:
                nursery.start_soon(self.serve, zone)

    async def pause(self) -> None:
        """Wait for the next turn."""
        await trio.sleep(self.report_s * self.rng.uniform(0.9, 1.1))

    async def report(self, gateway: Gateway) -> None:
        """Tell the hub what a gateway has in flight."""
        await trio.sleep(self.report_s * self.rng.random())
        while True:
            loads = {
                name: (state.in_flight, state.pending_prefill_tokens)
                for name, state in gateway.table.by_id.items()
            }
            self.reports[gateway.zone][gateway.name] = loads
            await self.pause()

    async def serve(self, zone: str) -> None:
        """Add up, and tell the zone's gateways and the other hubs."""
        await trio.sleep(self.report_s * self.rng.random())
        while True:
            self.sums[zone] = added_up(list(self.reports[zone].values()))
            region = added_up(list(self.sums.values()))
            await trio.sleep(WAY_S)
            for gateway in self.gateways:
                if gateway.zone == zone:
                    self.tell(gateway, region)
            await self.pause()

    def tell(self, gateway: Gateway, region: Loads) -> None:
        """Let a gateway take over the sum, without its own part."""
        now_s = trio.current_time()
        own = self.reports[gateway.zone].get(gateway.name, {})
        for name, state in gateway.table.by_id.items():
            requests, tokens = region.get(name, (0, 0))
            own_requests, own_tokens = own.get(name, (0, 0))
            state.peers = {
                OTHERS: PeerLoad(requests - own_requests, tokens - own_tokens, now_s)
            }


def added_up(many: list[Loads]) -> Loads:
    """Return requests and tokens by server, over all."""
    total: Loads = {}
    for loads in many:
        for name, (requests, tokens) in loads.items():
            known = total.get(name, (0, 0))
            total[name] = (known[0] + requests, known[1] + tokens)
    return total
