"""The operator of the demo: one patch that is accepted and one that is stale."""

from typing import Any

import httpx
import trio
from demo_fleet import say
from demo_plan import OPERATOR, NodePlan, Plan

__all__ = ["submit_patches"]

IN_FORCE_TIMEOUT_S = 20.0
POLL_S = 0.02
BASE = 1
OPERATIONS = [
    {
        "op": "replace",
        "path": "/customers/estimator-2/limits/kit-assistant/concurrent_requests",
        "value": 60,
    }
]


async def submit_patches(client: httpx.AsyncClient, plan: Plan) -> None:
    """Submit a patch, see it in force everywhere, and submit it again as stale.

    Raises
    ------
    RuntimeError
        If the patch is not accepted, does not come into force, or the stale one is
        accepted.
    """
    response = await submit(client, plan, plan.nodes[0], "demo-patch-0001")
    if response.status_code != httpx.codes.OK:
        raise RuntimeError(f"the patch was not accepted: {response.text.strip()}")
    start_s = trio.current_time()
    number = response.json()["number"]
    for node in plan.nodes:
        await wait_in_force(client, plan, node, number)
    took_s = trio.current_time() - start_s
    agents = len(plan.nodes)
    say(f"configuration {number} is in force at {agents} agents after {took_s:.2f} s")
    response = await submit(client, plan, plan.nodes[-1], "demo-patch-0002")
    if response.status_code != httpx.codes.PRECONDITION_FAILED:
        raise RuntimeError(f"a stale patch got {response.status_code}")
    say(f"a second patch against {BASE} is refused: {response.json()['outcome']}")


async def submit(
    client: httpx.AsyncClient, plan: Plan, node: NodePlan, patch_id: str
) -> httpx.Response:
    """Submit the patch to one agent."""
    headers = operator_headers(plan)
    headers |= {"If-Match": str(BASE), "Rosemaryknot-Patch": patch_id}
    url = f"http://{node.operators}/v1/configuration"
    return await client.patch(url, json=OPERATIONS, headers=headers)


async def wait_in_force(
    client: httpx.AsyncClient, plan: Plan, node: NodePlan, number: int
) -> None:
    """Wait until an agent has a version in force."""
    url = f"http://{node.operators}/v1/configuration"
    with trio.move_on_after(IN_FORCE_TIMEOUT_S):
        while True:
            response = await client.get(url, headers=operator_headers(plan))
            if response.json().get("number", 0) >= number:
                return
            await trio.sleep(POLL_S)
    raise RuntimeError(f"configuration {number} is not in force at {node.name}")


def operator_headers(plan: Plan) -> dict[str, Any]:
    """Return the headers that prove the operator."""
    return {"Authorization": f"Bearer {plan.keys[OPERATOR]}"}
