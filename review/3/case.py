"""Case 3: a window's usage is reported twice with different counts.

The nodes are stopped and started in turn while the store comes back from a copy some
seconds old. The copy lacks the records of the last two windows that were reported. The
first holder of the duty after that knows that records may be missing and leaves these
windows out; the next holder reports them again, with the counts that it knows.
"""

import signal
import time
from pathlib import Path

import harness
import trio

from rosemaryknot.standin.users.servers import Ledger, ServerStandIn
from rosemaryknot.values.nodes import Address

NODES = 3
REQUESTS_PER_S = 30
WINDOW_S = 5
WINDOWS = 2
# Times after the end of a window, whose usage is reported two seconds after it: when
# the store is away; when nodes get SIGTERM, the holder of the duty last, once the store
# has its lease again; and of the copy that the store comes back from. The window before
# was reported after the copy.
STORE_AWAY_S = 2.9
STORE_BACK_S = 5.1
STOPS_S = (4.4, 5.7, 7.5)
LATEST_STOP_S = 10.5
COPY_S = -3.4
RESTART_DELAY_S = 0.2
GRACE_S = 8.0
OBSERVED_S = 24.0


async def send_bookings(deployment: harness.Deployment, case: harness.Case) -> None:
    """Send bookings to all nodes until cancelled."""
    number = 0

    async def book(name: str, node: int) -> None:
        headers = {
            "Authorization": f"Bearer {harness.KEY}",
            "Rosemaryknot-Attempt-Id": name,
            "Rosemaryknot-Deadline-Ms": "1000",
        }
        host, port = deployment.hosts[node], deployment.ports["callers"]
        try:
            await harness.ask(host, port, "POST", f"/book/{name}", headers, timeout_s=2)
        except OSError:
            # The node is being restarted; its client would go to another one.
            return

    async with trio.open_nursery() as nursery:
        while True:
            number += 1
            nursery.start_soon(book, f"r{number}", number % NODES)
            await trio.sleep(1 / REQUESTS_PER_S)


def accepted(deployment: harness.Deployment) -> dict[int, list]:
    """Return the usage reports that the cloud has accepted, by window."""
    found: dict[int, list] = {}
    for call in deployment.cloud.calls:
        if call.duty == "usage" and call.status == 200:
            found.setdefault(call.body["windowId"], []).append(call)
    return found


def lease(deployment: harness.Deployment) -> dict:
    """Return the lease of the duty, as the store has it."""
    return deployment.store.objects["leases"]["gateway-duties"]["spec"]


def holder(deployment: harness.Deployment) -> str:
    """Return the name of the node that holds the duty, as the store tells."""
    return lease(deployment)["holder"].partition("/")[0]


async def restart(
    deployment: harness.Deployment, case: harness.Case, node: int
) -> None:
    """Stop a node in order, as the platform does, and start it again."""
    process = deployment.nodes[node]
    process.send_signal(signal.SIGTERM)
    case.note(f"SIGTERM to node {node}")
    with trio.move_on_after(GRACE_S):
        while process.poll() is None:
            await trio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
    case.note(f"node {node} has ended: {process.returncode}")
    await trio.sleep(RESTART_DELAY_S)
    deployment.start_node(node)


async def disturb(
    deployment: harness.Deployment, case: harness.Case, end_s: float
) -> None:
    """Restart all nodes in turn; restore the store meanwhile from a copy.

    Parameters
    ----------
    deployment : harness.Deployment
        The nodes and the store.
    case : harness.Case
        Record of the case.
    end_s : float
        End of a window, in trio time.
    """
    await trio.sleep_until(end_s)
    name = holder(deployment)
    last = next(n for n in range(NODES) if deployment.settings(n)["node"] == name)
    case.note(f"{name} (node {last}) holds the duty")
    deployment.is_first_start = False
    order = [(last + 1) % NODES, (last + 2) % NODES, last]
    store = deployment.store

    async def restart_at(node: int, delay_s: float) -> None:
        await trio.sleep_until(end_s + delay_s)
        if node == last:
            with trio.move_on_at(end_s + LATEST_STOP_S):
                while lease(deployment)["era"] != store.era:
                    await trio.sleep(0.02)
                await trio.sleep(0.1)
        await restart(deployment, case, node)

    async with trio.open_nursery() as nursery:
        for node, delay_s in zip(order, STOPS_S, strict=True):
            nursery.start_soon(restart_at, node, delay_s)
        await trio.sleep_until(end_s + STORE_AWAY_S)
        store.faults.begin("busy")
        case.note("the store is away")
        await trio.sleep_until(end_s + STORE_BACK_S)
        age_s = trio.current_time() - (end_s + COPY_S)
        store.restore(age_s)
        store.faults.end()
        case.note(f"the store is back from a copy {age_s:.1f} s old")


async def play(case: harness.Case, deployment: harness.Deployment) -> None:
    """Play the case."""
    routes = [harness.route("book", "non_idempotent", "dispatch-app", timeoutMs=1000)]
    services = [{"name": "dispatch-app"}]
    store = deployment.store
    store.put("config", "main", harness.configuration(routes, services))
    ledger = Ledger()
    for number, zone in enumerate(harness.ZONES):
        server = ServerStandIn(f"i-{number}", False, 0.02, ledger)
        address = await deployment.nursery.start(
            server.server.serve, deployment.network, Address("127.0.0.1", 0)
        )
        entry = harness.server_entry("dispatch-app", address, zone)
        store.put("servers", server.id, entry)
    for node in range(NODES):
        deployment.start_node(node)
    await deployment.wait_ready()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_bookings, deployment, case)
        while len(accepted(deployment)) < WINDOWS:
            await trio.sleep(0.01)
        # The end of the next window but one; they begin at multiples of their length.
        ends_in_s = 2 * WINDOW_S - time.time() % WINDOW_S
        end_s = trio.current_time() + ends_in_s
        if case.has_trouble:
            nursery.start_soon(disturb, deployment, case, end_s)
        await trio.sleep_until(end_s + OBSERVED_S)
        nursery.cancel_scope.cancel()
    origin_s = time.monotonic() - case.started_s - trio.current_time()
    for call in deployment.cloud.calls:
        case.note(
            f"at {call.timestamp_s + origin_s:.2f}: usage {call.body} by {call.holder},"
            f" generation number {call.fencing}: {call.status}"
        )
    runs = len([a for a in ledger.arrivals if a.has_run])
    case.note(f"{runs} requests ran; windows accepted: {len(accepted(deployment))}")
    for window, calls in accepted(deployment).items():
        counts = {str(sorted(call.body["counts"].items())) for call in calls}
        if len(counts) > 1:
            case.breaks(f"ONE: window {window} was accepted with {sorted(counts)}")
    if len(accepted(deployment)) < WINDOWS + 2:
        case.breaks("the usage of too few windows was reported")


if __name__ == "__main__":
    harness.run_case(Path(__file__).parent, play, nodes=NODES)
