"""What is decided about a request before a server is chosen: route, customer, time."""

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.process.logs import logger
from rosemaryknot.request.durations import Durations
from rosemaryknot.request.gateway_course import (
    RETURN_LEAST_S,
    UNAVAILABLE,
    Course,
    GatewayParts,
    output_tokens,
    refusal,
)
from rosemaryknot.request.stop_admission import (
    STOP_ADMISSIONS,
    RefusedInStop,
    StopInput,
    TakenInStop,
)
from rosemaryknot.values.gateway import (
    CustomerLimit,
    GatewayConfiguration,
    GatewayRequest,
    GatewayRoute,
    GatewayService,
    Repeat,
)
from rosemaryknot.values.gateway_answers import PlannedStop, Refusal

__all__ = ["Entry"]

DEFAULT_PATIENCE_S = 60.0
# What is left must cover the way to the server and back, or nobody gains by sending.
LEAST_LEFT_S = 0.01
TOO_MANY = 429
# The way in force; weighed in docs/design/platform.md.
STOP_ADMISSION = "bound_and_estimate"

log = logger("gateway")


class Entry:
    """Lets requests in.

    Parameters
    ----------
    parts : GatewayParts
        What it works with.
    durations : Durations
        How long answers have taken.

    Attributes
    ----------
    admit_in_stop : callable
        Decides on what is read during a planned stop; one of `STOP_ADMISSIONS`.
    """

    def __init__(self, parts: GatewayParts, durations: Durations) -> None:
        self.parts = parts
        self.durations = durations
        self.admit_in_stop = STOP_ADMISSIONS[STOP_ADMISSION]

    def admit(self, request: GatewayRequest, reply: Reply) -> Course | Refusal:
        """Return a request's course, or why it is refused."""
        parts = self.parts
        configuration = parts.configuration()
        if configuration is None:
            return refusal(self.parts.rng, UNAVAILABLE, "no configuration is known yet")
        route = configuration.route_of(request.host, request.path)
        if route is None:
            return Refusal(404, "no route matches")
        customer = self.customer_of(configuration, route, request)
        if isinstance(customer, Refusal):
            return customer
        patience_s = request.patience_s
        patience_s = DEFAULT_PATIENCE_S if patience_s is None else patience_s
        until_s = request.arrived_s + min(patience_s, route.timeout_s)
        if until_s - trio.current_time() < LEAST_LEFT_S:
            return refusal(self.parts.rng, UNAVAILABLE, "no time is left")
        service = self.service_of(configuration, route)
        if service is None:
            return refusal(self.parts.rng, UNAVAILABLE, "the route has no service")
        stop = parts.stop()
        if stop is not None:
            outcome = self.decide_in_stop(stop, route, request, until_s)
            if isinstance(outcome, RefusedInStop):
                return refusal(
                    parts.rng,
                    UNAVAILABLE,
                    outcome.reason,
                    max(RETURN_LEAST_S, outcome.return_s),
                )
            until_s = outcome.until_s
        units = units_of(customer, request)
        wait_s = parts.take_quota(customer, units) if units else 0.0
        if wait_s > 0:
            log.info(
                "over the customer's limit",
                request=request.id,
                customer=customer.name,
                **parts.explain_quota(customer),
            )
            return refusal(
                self.parts.rng, TOO_MANY, "over the customer's limit", wait_s
            )
        parts.note_request(service.name)
        return Course(
            request=request,
            reply=reply,
            route=route,
            service=service,
            customer=customer,
            units=units,
            until_s=until_s,
            version=configuration.version,
            last_rank=configuration.last_rank_by_service[service.name],
        )

    def decide_in_stop(
        self,
        stop: PlannedStop,
        route: GatewayRoute,
        request: GatewayRequest,
        until_s: float,
    ) -> TakenInStop | RefusedInStop:
        """Decide on a request that was read during a planned stop, and log it."""
        now_s = trio.current_time()
        likely = self.durations.likely(route.name, output_tokens(request), now_s)
        may_end_early = route.repeat == Repeat.ANY
        is_alone = self.parts.is_alone()
        given = StopInput(now_s, stop, until_s, likely, may_end_early, is_alone)
        # A stream started on an estimate was cut at the stop's end whenever the load
        # outran the estimate; what a time limit bounds ends before, whatever the load.
        outcome = self.admit_in_stop(given)
        log.info(
            "decided in a planned stop",
            request=request.id,
            route=route.name,
            taken=isinstance(outcome, TakenInStop),
            by=getattr(outcome, "bound", "no bound"),
            since_signal_s=round(now_s - stop.signalled_s, 3),
            stop_left_s=round(stop.ends_s - now_s, 3),
            limit_left_s=round(until_s - now_s, 3),
            likely_s=round(likely.within_s, 3),
            answers=likely.answers,
            answers_age_s=None if likely.age_s is None else round(likely.age_s, 1),
        )
        return outcome

    def customer_of(
        self,
        configuration: GatewayConfiguration,
        route: GatewayRoute,
        request: GatewayRequest,
    ) -> CustomerLimit | None | Refusal:
        """Return whose request it is, or a refusal."""
        if not configuration.customers or route.is_public:
            return None
        name = configuration.customer_by_key.get(request.key or "")
        if name is None:
            return Refusal(401, "the key is not known")
        return configuration.customers[name]

    def service_of(
        self, configuration: GatewayConfiguration, route: GatewayRoute
    ) -> GatewayService | None:
        """Draw one of a route's services by weight."""
        known = [
            (configuration.services[name], weight)
            for name, weight in route.backends
            if name in configuration.services and weight > 0
        ]
        if not known:
            return None
        services, weights = zip(*known, strict=True)
        return self.parts.rng.choices(services, weights)[0]


def units_of(customer: CustomerLimit | None, request: GatewayRequest) -> float:
    """Return what a request takes of its customer's limit, 0 without a limit."""
    if customer is None or customer.rate <= 0:
        return 0.0
    if not customer.counts_tokens:
        return 1.0
    size = request.size
    if size is None:
        return float(customer.plain_tokens)
    return float(size.prompt_tokens + size.max_output_tokens)
