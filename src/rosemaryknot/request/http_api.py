"""HTTP interface of an entry for callers."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import trio
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from rosemaryknot.connection.body_budget import BodyBudget
from rosemaryknot.connection.caller_connection import LingeringCloseMiddleware
from rosemaryknot.connection.direct_write import get_direct_writer
from rosemaryknot.connection.response_memory import ResponseMemoryMiddleware
from rosemaryknot.connection.upload_limit import UploadLimitMiddleware
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.detached import error_fields
from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import render_metrics
from rosemaryknot.request.arrivals import Arrival, new_request_id, record_outcome
from rosemaryknot.request.authentication import authenticate
from rosemaryknot.request.generations import EventSource, Generation
from rosemaryknot.request.http_input import read_offset, wants_async
from rosemaryknot.request.model_api import ModelApi
from rosemaryknot.request.model_input import completion_document
from rosemaryknot.request.plain_api import PlainApi, input_refusal
from rosemaryknot.request.responses import REQUEST_HEADER, json_response, response_for
from rosemaryknot.values.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Running,
    Unknown,
)

__all__ = ["CallerApi", "create_app"]

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
SSE_TYPE = "text/event-stream"
ACCEPTED = 202
NOT_READY = 503

log = logger("http")


@dataclass(slots=True)
class CallerApi:
    """Request handlers of the callers' interface and their components.

    Attributes
    ----------
    holder : ConfigurationHolder
        Current configuration.
    drain : Drain
        Requests in flight and draining state of the process.
    plain : PlainApi
        Handles requests to plain services.
    models : ModelApi
        Handles requests to language models.
    rng : random.Random
        Generates request ids.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    bodies : BodyBudget
        Bytes that the bodies of all requests may have together.
    clock : callable
        Returns the Unix time in seconds.
    """

    holder: ConfigurationHolder
    drain: Drain
    plain: PlainApi
    models: ModelApi
    rng: random.Random
    max_body_bytes: int
    bodies: BodyBudget
    clock: Callable[[], float] = time.time

    def authenticate_request(self) -> Arrival | Response:
        """Return the arrival data of the current request, or the refusal."""
        request_id = new_request_id(self.rng)
        arrived_s = trio.current_time()
        view = self.holder.view
        customer = authenticate(request.headers.get("Authorization"), view)
        if not isinstance(customer, NotRun):
            return Arrival(request_id, arrived_s, view, customer)
        outcome = input_refusal(request, customer)
        record_outcome(request_id, "", "", arrived_s, outcome)
        return response_for(outcome, request_id)

    async def call_plain(self, name: str, path: str = "") -> Response:
        """Forward a request to a plain service."""
        arrival = self.authenticate_request()
        if isinstance(arrival, Response):
            return arrival
        outcome = await self.plain.handle(request, arrival, name)
        return self.respond(arrival, name, outcome)

    async def complete_chat(self) -> Response:
        """Accept a model request; respond with its stream, its text or its id."""
        arrival = self.authenticate_request()
        if isinstance(arrival, Response):
            return arrival
        generation = await self.models.accept(request, arrival)
        if isinstance(generation, NotRun):
            return self.respond(arrival, "", generation)
        if wants_async(request):
            return running_response(arrival.request_id)
        if generation.request.stream:
            return stream_response(generation, 0, "")
        return await self.complete_response(generation)

    async def complete_response(self, generation: Generation) -> Response:
        """Return the complete response when the generation ends."""
        outcome = await generation.wait_finished()
        if isinstance(outcome, Running):
            return running_response(generation.request_id)
        if not isinstance(outcome, Answered):
            return response_for(outcome, generation.request_id)
        document = completion_document(generation, self.clock())
        return json_response(document, outcome.status, generation.request_id)

    async def stream_accepted_request(self, request_id: str) -> Response:
        """Stream an accepted request from an offset."""
        arrival = self.authenticate_request()
        if isinstance(arrival, Response):
            return arrival
        offset = read_offset(request)
        if isinstance(offset, NotRun):
            return self.respond(arrival, "", offset)
        generation = await self.models.find(arrival, request_id)
        if isinstance(generation, Unknown):
            return self.respond(arrival, "", generation)
        log.info(
            "streaming an accepted request",
            request=generation.request_id,
            offset=offset,
        )
        return stream_response(generation, offset, request.args.get("lineage", ""))

    def respond(self, arrival: Arrival, service: str, outcome: Outcome) -> Response:
        """Record an outcome and return its response."""
        service_name = service if service in arrival.view.services else ""
        customer = arrival.customer.name
        record_outcome(
            arrival.request_id, customer, service_name, arrival.arrived_s, outcome
        )
        return response_for(outcome, arrival.request_id)

    async def check_health(self) -> Response:
        """Report that the process is alive."""
        return json_response({"status": "alive"}, 200, new_request_id(self.rng))

    async def check_ready(self) -> Response:
        """Report to the load balancer whether to send requests here."""
        request_id = new_request_id(self.rng)
        if self.drain.is_stopping:
            return json_response({"status": "stopping"}, NOT_READY, request_id)
        if self.holder.view is None:
            return json_response({"status": "no configuration"}, NOT_READY, request_id)
        return json_response({"status": "ready"}, 200, request_id)

    async def show_metrics(self) -> Response:
        """Return the metrics for their collector."""
        body, content_type = render_metrics()
        return Response(body, content_type=content_type)

    async def add_common_headers(self, response: Response) -> Response:
        """Set the headers that all responses have."""
        # The connection bounds each write. A whole response may take as long as its
        # generation.
        response.timeout = None
        if REQUEST_HEADER not in response.headers:
            response.headers[REQUEST_HEADER] = new_request_id(self.rng)
        if self.drain.is_stopping:
            response.headers["Connection"] = "close"
        return response

    async def handle_http_error(self, error: HTTPException) -> Response:
        """Respond to an HTTP error, such as a request that no route matches."""
        detail = f"{error.code} {error.name}"
        response = response_for(
            NotRun(Reason.BAD_REQUEST, detail=detail), new_request_id(self.rng)
        )
        response.status_code = error.code or response.status_code
        return response

    async def handle_internal_error(self, error: Exception) -> Response:
        """Respond to an internal error; whether the request ran is unknown."""
        request_id = new_request_id(self.rng)
        log.error("unhandled exception", request=request_id, **error_fields(error))
        return response_for(Unknown(Reason.NOT_PROVEN, "internal error"), request_id)


def running_response(request_id: str) -> Response:
    """Return the response with the location of an accepted request."""
    document = {"outcome": "running", "id": request_id}
    response = json_response(document, ACCEPTED, request_id)
    response.headers["Location"] = f"/v1/requests/{request_id}"
    return response


def stream_response(generation: EventSource, offset: int, lineage: str) -> Response:
    """Return a response that streams the events of a generation."""
    writer = get_direct_writer(request.scope)
    events = generation.subscribe(offset, lineage, writer)
    response = Response(events, content_type=SSE_TYPE)
    response.headers["Cache-Control"] = "no-store"
    response.headers[REQUEST_HEADER] = generation.request_id
    return response


def create_app(api: CallerApi) -> QuartTrio:
    """Create the application of the callers' interface.

    Parameters
    ----------
    api : CallerApi
        Request handlers and their components.

    Returns
    -------
    app : QuartTrio
        Application for `HttpServer`.
    """
    app = QuartTrio("rosemaryknot")
    app.config["MAX_CONTENT_LENGTH"] = api.max_body_bytes
    app.config["BODY_TIMEOUT"] = None
    # Paths with empty segments are passed to the service unchanged instead of being
    # redirected.
    app.url_map.merge_slashes = False
    plain = {"methods": METHODS, "provide_automatic_options": False}
    app.add_url_rule("/services/<name>", "name", api.call_plain, **plain)
    app.add_url_rule("/services/<name>/", "root", api.call_plain, **plain)
    app.add_url_rule("/services/<name>/<path:path>", "path", api.call_plain, **plain)
    app.post("/v1/chat/completions")(api.complete_chat)
    app.get("/v1/requests/<request_id>")(api.stream_accepted_request)
    app.get("/healthz")(api.check_health)
    app.get("/readyz")(api.check_ready)
    app.get("/metrics")(api.show_metrics)
    app.after_request(api.add_common_headers)
    app.register_error_handler(HTTPException, api.handle_http_error)
    app.register_error_handler(Exception, api.handle_internal_error)
    limited = UploadLimitMiddleware(app.asgi_app, api.bodies)
    counted = ResponseMemoryMiddleware(limited, api.bodies.memory)
    app.asgi_app = LingeringCloseMiddleware(counted, api.drain)
    return app
