"""The callers' HTTP interface of an entry."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import trio
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from rosemaryknot.connection.caller_connection import CallerConnections
from rosemaryknot.connection.direct_write import direct_writer_of
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.detached import fault_fields
from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import render_metrics
from rosemaryknot.request.arrivals import Arrival, new_request_id, record_outcome
from rosemaryknot.request.authentication import authenticate
from rosemaryknot.request.generations import Followed, Generation
from rosemaryknot.request.http_input import read_offset, wants_async
from rosemaryknot.request.model_api import ModelApi
from rosemaryknot.request.model_input import completion_document
from rosemaryknot.request.plain_api import PlainApi, refused_input
from rosemaryknot.request.responses import REQUEST_HEADER, json_response, response_for
from rosemaryknot.values.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Running,
    Unknown,
)

__all__ = ["CallersApi", "create_app"]

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
SSE_TYPE = "text/event-stream"
ACCEPTED = 202
NOT_READY = 503

log = logger("http")


@dataclass(slots=True)
class CallersApi:
    """The parts behind the callers' interface.

    Attributes
    ----------
    holder : ConfigurationHolder
        Configuration in force.
    drain : Drain
        Requests in flight, and whether the process is stopping.
    plain : PlainApi
        Requests to plain services.
    models : ModelApi
        Requests to language models.
    rng : random.Random
        Makes request ids.
    max_body_bytes : int
        Largest body that is read.
    clock : callable
        Seconds of the epoch.
    """

    holder: ConfigurationHolder
    drain: Drain
    plain: PlainApi
    models: ModelApi
    rng: random.Random
    max_body_bytes: int
    clock: Callable[[], float] = time.time

    def arrive(self) -> Arrival | Response:
        """Return the request at hand with its customer, or the refusal."""
        request_id = new_request_id(self.rng)
        arrived_s = trio.current_time()
        view = self.holder.view
        customer = authenticate(request.headers.get("Authorization"), view)
        if not isinstance(customer, NotRun):
            return Arrival(request_id, arrived_s, view, customer)
        outcome = refused_input(request, customer)
        record_outcome(request_id, "", "", arrived_s, outcome)
        return response_for(outcome, request_id)

    async def call_plain(self, name: str, path: str = "") -> Response:
        """Pass a request through to a plain service."""
        arrival = self.arrive()
        if isinstance(arrival, Response):
            return arrival
        outcome = await self.plain.handle(request, arrival, name)
        return self.conclude(arrival, name, outcome)

    async def complete_chat(self) -> Response:
        """Accept a model request; answer with its tokens, its text or its id."""
        arrival = self.arrive()
        if isinstance(arrival, Response):
            return arrival
        generation = await self.models.accept(request, arrival)
        if isinstance(generation, NotRun):
            return self.conclude(arrival, "", generation)
        if wants_async(request):
            return running(arrival.request_id)
        if generation.request.stream:
            return streamed(generation, 0, "")
        return await self.whole(generation)

    async def whole(self, generation: Generation) -> Response:
        """Return a whole completion once it is there."""
        outcome = await generation.wait_finished()
        if isinstance(outcome, Running):
            return running(generation.request_id)
        if not isinstance(outcome, Answered):
            return response_for(outcome, generation.request_id)
        document = completion_document(generation, self.clock())
        return json_response(document, outcome.status, generation.request_id)

    async def pick_up(self, request_id: str) -> Response:
        """Go on with an accepted request from an offset."""
        arrival = self.arrive()
        if isinstance(arrival, Response):
            return arrival
        offset = read_offset(request)
        if isinstance(offset, NotRun):
            return self.conclude(arrival, "", offset)
        generation = await self.models.find(arrival, request_id)
        if isinstance(generation, Unknown):
            return self.conclude(arrival, "", generation)
        log.info("picked up", request=generation.request_id, offset=offset)
        return streamed(generation, offset, request.args.get("lineage", ""))

    def conclude(self, arrival: Arrival, service: str, outcome: Outcome) -> Response:
        """Note an outcome and return its answer."""
        known = service if service in arrival.view.services else ""
        customer = arrival.customer.name
        record_outcome(arrival.request_id, customer, known, arrival.arrived_s, outcome)
        return response_for(outcome, arrival.request_id)

    async def check_health(self) -> Response:
        """Tell that the process is alive."""
        return json_response({"status": "alive"}, 200, new_request_id(self.rng))

    async def check_ready(self) -> Response:
        """Tell the balancer whether to send requests here."""
        request_id = new_request_id(self.rng)
        if self.drain.is_stopping:
            return json_response({"status": "stopping"}, NOT_READY, request_id)
        if self.holder.view is None:
            return json_response({"status": "no configuration"}, NOT_READY, request_id)
        return json_response({"status": "ready"}, 200, request_id)

    async def show_metrics(self) -> Response:
        """Show the metrics to their collector."""
        body, content_type = render_metrics()
        return Response(body, content_type=content_type)

    async def finish_answer(self, response: Response) -> Response:
        """Add to every answer what all of them carry."""
        # The writes are bounded by the connection; an answer as a whole may take as
        # long as its generation does.
        response.timeout = None
        if REQUEST_HEADER not in response.headers:
            response.headers[REQUEST_HEADER] = new_request_id(self.rng)
        if self.drain.is_stopping:
            response.headers["Connection"] = "close"
        return response

    async def refuse_path(self, error: HTTPException) -> Response:
        """Answer a request that no route takes."""
        detail = f"{error.code} {error.name}"
        answer = response_for(
            NotRun(Reason.BAD_REQUEST, detail=detail), new_request_id(self.rng)
        )
        answer.status_code = error.code or answer.status_code
        return answer

    async def answer_fault(self, error: Exception) -> Response:
        """Answer a request that met a fault of ours; whether it ran is unknown."""
        request_id = new_request_id(self.rng)
        log.error("fault", request=request_id, **fault_fields(error))
        return response_for(Unknown(Reason.NOT_PROVEN, "internal error"), request_id)


def running(request_id: str) -> Response:
    """Return the answer that tells where an accepted request is to be picked up."""
    document = {"outcome": "running", "id": request_id}
    answer = json_response(document, ACCEPTED, request_id)
    answer.headers["Location"] = f"/v1/requests/{request_id}"
    return answer


def streamed(generation: Followed, offset: int, lineage: str) -> Response:
    """Return the stream of a generation's events."""
    writer = direct_writer_of(request.scope)
    events = generation.follow(offset, lineage, writer)
    response = Response(events, content_type=SSE_TYPE)
    response.headers["Cache-Control"] = "no-store"
    response.headers[REQUEST_HEADER] = generation.request_id
    return response


def create_app(api: CallersApi) -> QuartTrio:
    """Return the application.

    Parameters
    ----------
    api : CallersApi
        The parts behind it.

    Returns
    -------
    app : QuartTrio
        To be served by `HttpServer`.
    """
    app = QuartTrio("rosemaryknot")
    app.config["MAX_CONTENT_LENGTH"] = api.max_body_bytes
    app.config["BODY_TIMEOUT"] = None
    # A path with empty segments goes to the service as the caller wrote it, and is
    # not redirected to another one.
    app.url_map.merge_slashes = False
    plain = {"methods": METHODS, "provide_automatic_options": False}
    app.add_url_rule("/services/<name>", "name", api.call_plain, **plain)
    app.add_url_rule("/services/<name>/", "root", api.call_plain, **plain)
    app.add_url_rule("/services/<name>/<path:path>", "path", api.call_plain, **plain)
    app.post("/v1/chat/completions")(api.complete_chat)
    app.get("/v1/requests/<request_id>")(api.pick_up)
    app.get("/healthz")(api.check_health)
    app.get("/readyz")(api.check_ready)
    app.get("/metrics")(api.show_metrics)
    app.after_request(api.finish_answer)
    app.register_error_handler(HTTPException, api.refuse_path)
    app.register_error_handler(Exception, api.answer_fault)
    app.asgi_app = CallerConnections(app.asgi_app, api.drain)
    return app
