"""Instances of the platform stand-in: list, notices, starts and reclaims."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from rosemaryknot.standin.platform_faults import PlatformFaults
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.platform import Missing, Notice, Price, StartRefused

__all__ = ["Cloud"]

RECLAIMABLE_PRICE = 1.0
ON_DEMAND_PRICE = 3.0

Launcher = Callable[[BackendServer], Awaitable[str]]


class Cloud:
    """Instances and what the cloud does to them.

    Parameters
    ----------
    faults : PlatformFaults
        Lag of the list, refused starts.
    now_unix_s : callable
        Wall clock, seconds of the epoch.

    Attributes
    ----------
    servers : dict of str to BackendServer
        The truth, terminated instances included.
    prices : dict of tuple of (str, str, bool) to float
        Price of an hour by zone, machine class and reclaimable.
    on_terminated : list of callable
        Called with the instance name after it is terminated.
    launcher : callable or None
        Async function of a new instance that starts it and returns its address.
    nursery : trio.Nursery or None
        Where reclaims run; set while the stand-in serves.
    noticed_unix_s : dict of str to float
        When each notice was sent, by instance.
    """

    def __init__(self, faults: PlatformFaults, now_unix_s: Callable[[], float]) -> None:
        self.faults = faults
        self.now_unix_s = now_unix_s
        self.servers: dict[str, BackendServer] = {}
        self.past: dict[str, list[tuple[float, BackendServer]]] = {}
        self.prices: dict[tuple[str, str, bool], float] = {}
        self.on_terminated: list[Callable[[str], None]] = []
        self.launcher: Launcher | None = None
        self.nursery: trio.Nursery | None = None
        self.notices: list[Notice] = []
        self.noticed_unix_s: dict[str, float] = {}
        self.noticed = trio.lowlevel.ParkingLot()
        self.started = 0

    def add(self, server: BackendServer, listed_from_s: float = -math.inf) -> None:
        """Add an instance that the list shows from a time on (trio time)."""
        self.servers[server.instance] = server
        self.past[server.instance] = [(listed_from_s, replace(server))]

    def listed(self) -> list[BackendServer]:
        """Return the instances as they were `PlatformFaults.list_lag_s` ago."""
        seen = trio.current_time() - self.faults.list_lag_s
        servers = []
        for states in self.past.values():
            while len(states) > 1 and states[1][0] <= seen:
                del states[0]
            time_s, server = states[0]
            if time_s <= seen and server.state != ServerState.TERMINATED:
                servers.append(server)
        return servers

    def record(self, server: BackendServer) -> None:
        """Let the list show the new state after its lag."""
        states = self.past[server.instance]
        states.append((trio.current_time(), replace(server)))

    def price(self, zone: str, machine_class: str, reclaimable: bool) -> float:
        """Return the price of an hour."""
        default = RECLAIMABLE_PRICE if reclaimable else ON_DEMAND_PRICE
        return self.prices.get((zone, machine_class, reclaimable), default)

    def price_list(self) -> list[Price]:
        """Return all prices that are set or in use."""
        keys = set(self.prices)
        for server in self.servers.values():
            keys.add((server.zone, server.machine_class, True))
            keys.add((server.zone, server.machine_class, False))
        return [Price(*key, self.price(*key)) for key in sorted(keys)]

    async def start(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused:
        """Start an instance, or refuse to."""
        if (zone, machine_class) in self.faults.refused_starts:
            return StartRefused(f"no {machine_class} in {zone}")
        self.started += 1
        server = BackendServer(
            instance=f"{service}-{zone}-s{self.started}",
            service=service,
            zone=zone,
            machine_class=machine_class,
            reclaimable=reclaimable,
            address="",
            price_per_hour=self.price(zone, machine_class, reclaimable),
        )
        if self.launcher is not None:
            server.address = await self.launcher(server)
        self.add(server, trio.current_time() + self.faults.start_delay_s)
        return server

    def release(self, instance: str) -> BackendServer | Missing:
        """Give an instance back at once."""
        server = self.servers.get(instance)
        if server is None:
            return Missing()
        self.terminate(instance)
        return server

    def reclaim(self, instance: str, notice_s: float) -> None:
        """Send a notice now and terminate the instance after ``notice_s``.

        Raises
        ------
        KeyError
            If there is no such instance.
        RuntimeError
            If the stand-in does not serve.
        """
        if self.nursery is None:
            raise RuntimeError("the platform stand-in does not serve")
        server = self.servers[instance]
        if server.state != ServerState.LIVE:
            return
        server.state = ServerState.LEAVING
        server.deadline_unix_s = self.now_unix_s() + notice_s
        self.record(server)
        self.notices.append(Notice(instance, server.deadline_unix_s))
        self.noticed_unix_s[instance] = self.now_unix_s()
        self.noticed.unpark_all()
        self.nursery.start_soon(self.terminate_later, instance, notice_s)

    def reclaim_zone(self, zone: str, notice_s: float) -> list[str]:
        """Reclaim every live reclaimable instance of a zone.

        Returns
        -------
        instances : list of str
            Those reclaimed.
        """
        names = [
            server.instance
            for server in self.servers.values()
            if server.zone == zone
            and server.reclaimable
            and server.state == ServerState.LIVE
        ]
        for name in names:
            self.reclaim(name, notice_s)
        return names

    async def terminate_later(self, instance: str, notice_s: float) -> None:
        """Terminate an instance at the end of its notice."""
        await trio.sleep(notice_s)
        self.terminate(instance)

    def terminate(self, instance: str) -> None:
        """Take an instance away now, without notice where none was sent."""
        server = self.servers[instance]
        if server.state == ServerState.TERMINATED:
            return
        server.state = ServerState.TERMINATED
        self.record(server)
        for callback in self.on_terminated:
            callback(instance)

    def open_notices(self) -> list[Notice]:
        """Return the notices of instances that are not yet terminated."""
        return [
            notice
            for notice in self.notices
            if self.servers[notice.instance].state == ServerState.LEAVING
        ]
