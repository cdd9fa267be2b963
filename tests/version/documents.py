"""Configuration documents and patches for tests."""

from rosemaryknot.version.keys import new_key, new_operator_key

CUSTOMER_KEY, CUSTOMER_ENTRY = new_key("estimator-1")
EDITOR_KEY, EDITOR_ENTRY = new_operator_key("ana", "editor")
VIEWER_KEY, VIEWER_ENTRY = new_operator_key("ben")


def sample_document() -> dict:
    """Return a document with two services, a customer, an editor and a viewer."""
    return {
        "services": {
            "kit-assistant": {"kind": "model", "step_time_ms": 3},
            "dispatch-app": {
                "kind": "plain",
                "idempotent": [{"method": "GET", "path": "/stock"}],
            },
        },
        "placements": {
            "kit-assistant": {"waco-a": {"count": 2}, "waco-b": {"count": 2}},
            "dispatch-app": {"waco-a": {"count": 1}},
        },
        "customers": {
            "estimator-1": {"limits": {"kit-assistant": {"concurrent_requests": 40}}}
        },
        "keys": {**CUSTOMER_ENTRY, **EDITOR_ENTRY, **VIEWER_ENTRY},
        "rules": {"max_capacity_change_share": 0.5},
    }


def count_patch(zone: str, count: int) -> list[dict]:
    """Return the operations that set the count of kit-assistant in a zone."""
    path = f"/placements/kit-assistant/{zone}/count"
    return [{"op": "replace", "path": path, "value": count}]


def first_patch() -> list[dict]:
    """Return the operations that turn an empty document into the sample."""
    return [{"op": "add", "path": "", "value": sample_document()}]
