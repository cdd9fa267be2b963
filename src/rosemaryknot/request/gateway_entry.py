"""What is decided about a request before a server is chosen: route, customer, time."""

from dataclasses import dataclass

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
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY = 429
# After how long a caller tries again whose route or key may be too new, in seconds.
NEWER_VERSION_S = 0.3
# The way in force; weighed in docs/design/platform.md. A stream started on an estimate
# was cut at the stop's end whenever the load outran the estimate; what a time limit
# bounds ends before, whatever the load.
STOP_ADMISSION = "bound_and_estimate"

log = logger("gateway")


@dataclass(slots=True, frozen=True)
class Found:
    """What a request's head leads to.

    Attributes
    ----------
    configuration : GatewayConfiguration
        The one in force.
    route : GatewayRoute
        Where it goes.
    customer : CustomerLimit or None
        Whose it is.
    service : GatewayService
        Drawn among the route's.
    until_s : float
        When its time limit ends it, in trio time.
    """

    configuration: GatewayConfiguration
    route: GatewayRoute
    customer: CustomerLimit | None
    service: GatewayService
    until_s: float


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
        found = self.look_up(request)
        if isinstance(found, Refusal):
            return found
        until_s = found.until_s
        stop = parts.stop()
        if stop is not None:
            given = self.stop_input(stop, found, request)
            outcome = self.admit_in_stop(given)
            self.log_in_stop(given, outcome, found.route, request)
            if isinstance(outcome, RefusedInStop):
                return self.refused_in_stop(outcome)
            until_s = outcome.until_s
        customer = found.customer
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
        parts.note_request(found.service.name)
        return Course(
            request=request,
            reply=reply,
            route=found.route,
            service=found.service,
            customer=customer,
            units=units,
            until_s=until_s,
            version=found.configuration.version,
            last_rank=found.configuration.last_rank_by_service[found.service.name],
            shortest_pause_s=found.configuration.pause_s_by_service[found.service.name],
        )

    def refuse_by_head(self, request: GatewayRequest) -> Refusal | None:
        """Return why a planned stop refuses a request whatever its body is, or None.

        Other refusals wait for the body, as without a stop: they do not get worse
        while it comes, and the connection goes on behind them.
        """
        stop = self.parts.stop()
        found = None if stop is None else self.look_up(request)
        if not isinstance(found, Found):
            return None
        given = self.stop_input(stop, found, request)
        outcome = self.admit_in_stop(given)
        if isinstance(outcome, TakenInStop):
            return None
        self.log_in_stop(given, outcome, found.route, request)
        return self.refused_in_stop(outcome)

    def look_up(self, request: GatewayRequest) -> Found | Refusal:
        """Return whose request it is and where it goes, or why it is refused."""
        configuration = self.parts.configuration()
        if configuration is None:
            return refusal(self.parts.rng, UNAVAILABLE, "no configuration is known yet")
        route = configuration.route_of(request.host, request.path)
        if route is None:
            return self.not_allowed(NOT_FOUND, "no route matches")
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
        return Found(configuration, route, customer, service, until_s)

    def not_allowed(self, status: int, reason: str) -> Refusal:
        """Return the refusal of a request that the configuration does not allow.

        A newer version may allow it, and callers do not come back after a 404 or 401.
        """
        if self.parts.is_behind():
            reason = f"{reason} yet; a newer configuration is on its way"
            return refusal(self.parts.rng, UNAVAILABLE, reason, NEWER_VERSION_S)
        return Refusal(status, reason)

    def refused_in_stop(self, outcome: RefusedInStop) -> Refusal:
        """Return the answer to a request that a planned stop does not take."""
        return_s = max(RETURN_LEAST_S, outcome.return_s)
        return refusal(self.parts.rng, UNAVAILABLE, outcome.reason, return_s)

    def stop_input(
        self, stop: PlannedStop, found: Found, request: GatewayRequest
    ) -> StopInput:
        """Return what a planned stop's decision is made from."""
        now_s = trio.current_time()
        route = found.route
        likely = self.durations.likely(route.name, output_tokens(request), now_s)
        may_end_early = route.repeat == Repeat.ANY
        is_alone = self.parts.is_alone()
        return StopInput(now_s, stop, found.until_s, likely, may_end_early, is_alone)

    def log_in_stop(
        self,
        given: StopInput,
        outcome: TakenInStop | RefusedInStop,
        route: GatewayRoute,
        request: GatewayRequest,
    ) -> None:
        """Log what was decided on a request during a planned stop, and from what."""
        likely = given.likely
        log.info(
            "decided in a planned stop",
            request=request.id,
            route=route.name,
            taken=isinstance(outcome, TakenInStop),
            by=getattr(outcome, "bound", "no bound"),
            since_signal_s=round(given.now_s - given.stop.signalled_s, 3),
            stop_left_s=round(given.stop.ends_s - given.now_s, 3),
            limit_left_s=round(given.limit_s - given.now_s, 3),
            likely_s=round(likely.within_s, 3),
            answers=likely.answers,
            answers_age_s=None if likely.age_s is None else round(likely.age_s, 1),
        )

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
            return self.not_allowed(UNAUTHORIZED, "the key is not known")
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
