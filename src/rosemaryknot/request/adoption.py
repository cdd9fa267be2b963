"""Adoption of requests that other entries accepted and relayed."""

import json

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.drain import Drain
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.request.replica_state import ReplicatedGeneration
from rosemaryknot.request.standby import StandbyReplicator
from rosemaryknot.values.outcomes import NotRun, Running
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import (
    AdoptGeneration,
    GenerationAdopted,
    StandbyCopy,
    decode_nested,
)

__all__ = ["GenerationAdopter"]


class GenerationAdopter:
    """Handler that adopts requests from entries that are draining or have failed.

    Parameters
    ----------
    relay : ModelRelay
        Relay that runs generations.
    copies : StandbyReplicator
        Replicates adopted generations to a standby.
    drain : Drain
        Counts adopted generations as in flight.
    nursery : trio.Nursery
        Nursery that is open until the process ends.
    handlers : Handlers
        Message handlers of the link to the agent.
    """

    def __init__(
        self,
        relay: ModelRelay,
        copies: StandbyReplicator,
        drain: Drain,
        nursery: trio.Nursery,
        handlers: Handlers,
    ) -> None:
        self.relay = relay
        self.copies = copies
        self.drain = drain
        self.nursery = nursery
        handlers.on(AdoptGeneration)(self.handle_adopt)

    async def handle_adopt(
        self, order: AdoptGeneration, link: MessageLink
    ) -> GenerationAdopted:
        """Resume a request that another entry relayed."""
        copy = decode_nested(order.copy, StandbyCopy)
        if copy is None or self.drain.is_stopping:
            return GenerationAdopted(False)
        known = self.relay.table.find(copy.customer, copy.request)
        if known is not None:
            return GenerationAdopted(not isinstance(known.outcome, Running))
        request = request_from_copy(copy)
        if request is None:
            return GenerationAdopted(False)
        version = self.relay.version_of_copy(copy)
        lineage, tokens = copy.lineage, copy.tokens
        if version is None and self.relay.has_several_versions(copy.service):
            # Tokens that the caller may have got would not fit those of another
            # version. In a new lineage the response begins anew.
            lineage, tokens = self.relay.new_lineage(), []
        generation = self.relay.prepare(request, lineage, tokens)
        if isinstance(generation, NotRun):
            return GenerationAdopted(False)
        generation.software_version = version
        generation.record_event(f"standby: went on for {copy.relay}")
        self.relay.begin(generation, is_resumed=True, server=copy.server)
        self.nursery.start_soon(self.track_in_flight, generation)
        if self.copies.is_on:
            self.nursery.start_soon(
                self.copies.replicate, ReplicatedGeneration(generation)
            )
        return GenerationAdopted(True)

    async def track_in_flight(self, generation: Generation) -> None:
        """Count an adopted generation as in flight until it ends."""
        with self.drain:
            await generation.wait_finished()


def request_from_copy(copy: StandbyCopy) -> ModelRequest | None:
    """Return the request in a standby copy, or None if its body is invalid."""
    try:
        body = json.loads(copy.body)
        messages = body["messages"]
    except (ValueError, TypeError, KeyError):
        return None
    now_s = trio.current_time()
    return ModelRequest(
        request_id=copy.request,
        customer=copy.customer,
        service=copy.service,
        messages=messages,
        max_tokens=copy.max_tokens,
        stream=True,
        priority=copy.priority,
        arrived_s=now_s,
        deadline_s=now_s + copy.left_s,
        body=body,
    )
