"""Calls under ``/test/`` by which other processes set the platform's faults."""

import json
from typing import TYPE_CHECKING, Any

from quart import Response, request

from rosemaryknot.values.servers import server_from_dict

if TYPE_CHECKING:
    from rosemaryknot.standin.platform import PlatformStandIn

__all__ = ["PlatformControls", "answer"]


def answer(value: Any, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(json.dumps(value), status, content_type="application/json")


class PlatformControls:
    """The test calls of a stand-in.

    Parameters
    ----------
    platform : PlatformStandIn
        The stand-in.
    """

    def __init__(self, platform: "PlatformStandIn") -> None:
        self.platform = platform
        calls = {
            "faults": self.change_faults,
            "reclaim": self.reclaim,
            "rollback": self.rollback,
            "silence": self.silence,
            "instances": self.add_instance,
            "terminate": self.terminate,
        }
        for name, function in calls.items():
            path = f"/test/{name}"
            platform.app.add_url_rule(path, f"test-{name}", function, methods=["POST"])
        platform.app.add_url_rule("/test/calls", "test-calls", self.read_calls)

    async def change_faults(self) -> Response:
        """Set faults by name."""
        try:
            self.platform.faults.change(await request.get_json(force=True))
        except ValueError as error:
            return answer({"error": str(error)}, 400)
        return answer({})

    async def reclaim(self) -> Response:
        """Reclaim an instance, or the reclaimable ones of a zone."""
        body = await request.get_json(force=True)
        cloud = self.platform.cloud
        if "zone" in body:
            reclaimed = cloud.reclaim_zone(body["zone"], body["notice_s"])
            return answer({"instances": reclaimed})
        if body["instance"] not in cloud.servers:
            return answer({"error": "no such instance"}, 404)
        cloud.reclaim(body["instance"], body["notice_s"])
        return answer({"instances": [body["instance"]]})

    async def terminate(self) -> Response:
        """Take an instance away without notice."""
        body = await request.get_json(force=True)
        if body["instance"] not in self.platform.cloud.servers:
            return answer({"error": "no such instance"}, 404)
        self.platform.cloud.terminate(body["instance"])
        return answer({})

    async def rollback(self) -> Response:
        """Hold an earlier version of an object again."""
        body = await request.get_json(force=True)
        try:
            self.platform.rollback(body["kind"], body["name"], body["version"])
        except KeyError as error:
            return answer({"error": str(error)}, 404)
        return answer({})

    async def silence(self) -> Response:
        """Silence the open watches."""
        self.platform.silence_watches()
        return answer({})

    async def add_instance(self) -> Response:
        """Add an instance that the list shows at once."""
        body = await request.get_json(force=True)
        self.platform.add_instance(server_from_dict(body))
        return answer({}, 201)

    async def read_calls(self) -> Response:
        """Answer with the calls received."""
        return answer(dict(self.platform.calls))
