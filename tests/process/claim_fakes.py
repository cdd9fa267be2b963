"""Store with faults for the tests of claims."""

from collections import defaultdict

import trio

from rosemaryknot.standin.platform_objects import ObjectKind
from rosemaryknot.values.claims import ClaimRequest, CloseRequest, ResultRecord
from rosemaryknot.values.platform import PlatformFailed


class FakeStore:
    """Object store whose answers can be lost, late or missing.

    ``lose`` is the number of writes whose answer is lost after they took effect,
    ``late`` the number that take effect only ``late_s`` after their failure.
    """

    def __init__(self):
        self.kinds = defaultdict(ObjectKind)
        self.is_down = False
        self.lose = 0
        self.late = 0
        self.late_s = 1.0
        self.calls = 0
        self.nursery = None

    async def read(self, kind, name):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        return self.kinds[kind].read(name)

    async def create(self, kind, name, value):
        return await self.put(kind, name, value, 0)

    async def update(self, kind, name, value, version):
        return await self.put(kind, name, value, version)

    async def delete(self, kind, name, version):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        return self.kinds[kind].delete(name, version)

    async def put(self, kind, name, value, version):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        if self.late:
            self.late -= 1
            self.nursery.start_soon(self.put_late, kind, name, value, version)
            return PlatformFailed("timeout", maybe_done=True)
        written = self.kinds[kind].put(name, value, version)
        if self.lose:
            self.lose -= 1
            return PlatformFailed("timeout", maybe_done=True)
        return written

    async def put_late(self, kind, name, value, version):
        await trio.sleep(self.late_s)
        self.kinds[kind].put(name, value, version)


def claim_of(key, claim, attempt=0, body=b"b", number=0, timeout_s=10.0):
    return ClaimRequest(
        "estimator-1", "dispatch-app", key, claim, attempt, body, number, timeout_s
    )


def close_of(key, attempt):
    return CloseRequest("estimator-1", "dispatch-app", key, attempt)


def result_of(request, result, **fields):
    return ResultRecord(
        request.customer,
        request.service,
        request.key,
        request.claim,
        request.attempt,
        result,
        **fields,
    )
