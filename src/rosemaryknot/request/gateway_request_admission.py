"""Admission of requests: route, customer, deadline and shutdown rules."""

from dataclasses import dataclass

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.process.logs import logger
from rosemaryknot.request.gateway_context import (
    MIN_RETRY_AFTER_S,
    UNAVAILABLE,
    GatewayComponents,
    RequestContext,
    output_tokens,
    refusal,
)
from rosemaryknot.request.response_durations import ResponseDurations
from rosemaryknot.request.shutdown_admission import (
    SHUTDOWN_ADMISSION_RULES,
    AdmittedInShutdown,
    RefusedInShutdown,
    ShutdownInput,
)
from rosemaryknot.values.gateway import (
    CustomerLimit,
    GatewayConfiguration,
    GatewayRequest,
    GatewayRoute,
    GatewayService,
    RetryPolicy,
)
from rosemaryknot.values.gateway_responses import Refusal, ShutdownSchedule

__all__ = ["RequestAdmission"]

DEFAULT_TIMEOUT_S = 60.0
# The remaining time must cover the round trip to the server; a request with less time
# is not worth sending.
MIN_REMAINING_S = 0.01
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY = 429
# Retry-After if the route or key may belong to a configuration that has not arrived.
NEWER_VERSION_RETRY_S = 0.3
MAX_LOGGED_CHARS = 40
# The rule in use; docs/design/platform.md compares the rules. A stream admitted on an
# estimate was aborted at the end of the shutdown whenever the load exceeded the
# estimate. A request whose own time limit ends earlier finishes under any load.
SHUTDOWN_ADMISSION_RULE = "bound_and_estimate"

log = logger("gateway")


@dataclass(slots=True, frozen=True)
class ResolvedRequest:
    """Configuration objects and deadline that the head of a request determines.

    Attributes
    ----------
    configuration : GatewayConfiguration
        Current configuration.
    route : GatewayRoute
        Route that matches the request.
    customer : CustomerLimit or None
        Customer that sent the request.
    service : GatewayService
        Service drawn from those of the route.
    deadline_s : float
        When the time limit of the request ends, in trio time.
    """

    configuration: GatewayConfiguration
    route: GatewayRoute
    customer: CustomerLimit | None
    service: GatewayService
    deadline_s: float


class RequestAdmission:
    """Admission of requests.

    Parameters
    ----------
    components : GatewayComponents
        Components of the gateway.
    durations : ResponseDurations
        Recent durations of responses.

    Attributes
    ----------
    decide_during_shutdown : callable
        Rule for requests that are read during a graceful shutdown; one of
        `SHUTDOWN_ADMISSION_RULES`.
    """

    def __init__(
        self, components: GatewayComponents, durations: ResponseDurations
    ) -> None:
        self.components = components
        self.durations = durations
        self.decide_during_shutdown = SHUTDOWN_ADMISSION_RULES[SHUTDOWN_ADMISSION_RULE]

    def admit(self, request: GatewayRequest, reply: Reply) -> RequestContext | Refusal:
        """Return the context of an admitted request, or its refusal."""
        components = self.components
        resolved = self.resolve(request)
        if isinstance(resolved, Refusal):
            return resolved
        deadline_s = resolved.deadline_s
        stop = components.stop()
        if stop is not None:
            inputs = self.shutdown_input(stop, resolved, request)
            outcome = self.decide_during_shutdown(inputs)
            self.log_shutdown_decision(inputs, outcome, resolved.route, request)
            if isinstance(outcome, RefusedInShutdown):
                return self.shutdown_refusal(outcome)
            deadline_s = outcome.deadline_s
        customer = resolved.customer
        units = limit_units(customer, request)
        wait_s = components.acquire_quota(customer, units) if units else 0.0
        if wait_s > 0:
            log.info(
                "customer limit exceeded",
                request=request.id,
                customer=customer.name,
                **components.explain_quota(customer),
            )
            return refusal(
                self.components.rng, TOO_MANY, "over the customer's limit", wait_s
            )
        if request.resumes is not None or request.last_event_id is not None:
            log_resumption(request, resolved.service)
        return RequestContext(
            request=request,
            reply=reply,
            route=resolved.route,
            service=resolved.service,
            customer=customer,
            units=units,
            deadline_s=deadline_s,
            version=resolved.configuration.version,
            lowest_priority=resolved.configuration.lowest_priority_by_service[
                resolved.service.name
            ],
            min_event_gap_s=resolved.configuration.min_event_gap_s_by_service[
                resolved.service.name
            ],
        )

    def refuse_by_head(self, request: GatewayRequest) -> Refusal | None:
        """Return the refusal of a request by a graceful shutdown, or None.

        The result does not depend on the body. Other refusals are sent after the body
        has been read, as outside a shutdown: the delay does no harm, and the connection
        can be used for further requests.
        """
        stop = self.components.stop()
        resolved = None if stop is None else self.resolve(request)
        if not isinstance(resolved, ResolvedRequest):
            return None
        inputs = self.shutdown_input(stop, resolved, request)
        outcome = self.decide_during_shutdown(inputs)
        if isinstance(outcome, AdmittedInShutdown):
            return None
        self.log_shutdown_decision(inputs, outcome, resolved.route, request)
        return self.shutdown_refusal(outcome)

    def check_head(self, request: GatewayRequest) -> float | Refusal:
        """Return when the time of a request ends, in trio time, or its refusal.

        Neither its customer's limit nor the servers are considered before its body has
        been read.
        """
        resolved = self.resolve(request)
        return resolved if isinstance(resolved, Refusal) else resolved.deadline_s

    def resolve(self, request: GatewayRequest) -> ResolvedRequest | Refusal:
        """Return the customer, route and service of a request, or its refusal."""
        configuration = self.components.configuration()
        if configuration is None:
            return refusal(
                self.components.rng, UNAVAILABLE, "no configuration is known yet"
            )
        route = configuration.route_of(request.host, request.path)
        if route is None:
            return self.not_allowed(NOT_FOUND, "no route matches")
        customer = self.customer_of(configuration, route, request)
        if isinstance(customer, Refusal):
            return customer
        timeout_s = request.caller_timeout_s
        timeout_s = DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s
        deadline_s = request.arrived_s + min(timeout_s, route.timeout_s)
        if deadline_s - trio.current_time() < MIN_REMAINING_S:
            return refusal(self.components.rng, UNAVAILABLE, "no time is left")
        service = self.service_of(configuration, route)
        if service is None:
            return refusal(self.components.rng, UNAVAILABLE, "the route has no service")
        return ResolvedRequest(configuration, route, customer, service, deadline_s)

    def not_allowed(self, status: int, reason: str) -> Refusal:
        """Return the refusal of a request that the configuration does not allow.

        If this node is behind, a newer version may allow the request. It then gets a
        503, since callers do not retry after a 404 or 401.
        """
        if self.components.is_behind():
            reason = f"{reason} yet; a newer configuration is on its way"
            return refusal(
                self.components.rng, UNAVAILABLE, reason, NEWER_VERSION_RETRY_S
            )
        return Refusal(status, reason)

    def shutdown_refusal(self, outcome: RefusedInShutdown) -> Refusal:
        """Return the refusal of a request that a graceful shutdown does not admit."""
        retry_after_s = max(MIN_RETRY_AFTER_S, outcome.min_retry_after_s)
        return refusal(self.components.rng, UNAVAILABLE, outcome.reason, retry_after_s)

    def shutdown_input(
        self, stop: ShutdownSchedule, resolved: ResolvedRequest, request: GatewayRequest
    ) -> ShutdownInput:
        """Return the input of the admission rule of a graceful shutdown."""
        now_s = trio.current_time()
        route = resolved.route
        estimate = self.durations.estimate(route.name, output_tokens(request), now_s)
        may_shorten_deadline = route.retry_policy == RetryPolicy.ANY
        is_alone = self.components.is_alone()
        return ShutdownInput(
            now_s, stop, resolved.deadline_s, estimate, may_shorten_deadline, is_alone
        )

    def log_shutdown_decision(
        self,
        inputs: ShutdownInput,
        outcome: AdmittedInShutdown | RefusedInShutdown,
        route: GatewayRoute,
        request: GatewayRequest,
    ) -> None:
        """Log the decision on a request during a graceful shutdown and its inputs."""
        estimate = inputs.estimate
        log.info(
            "admission decided during graceful shutdown",
            request=request.id,
            route=route.name,
            taken=isinstance(outcome, AdmittedInShutdown),
            by=getattr(outcome, "basis", "no bound"),
            since_signal_s=round(inputs.now_s - inputs.stop.signalled_s, 3),
            stop_left_s=round(inputs.stop.ends_s - inputs.now_s, 3),
            limit_left_s=round(inputs.deadline_s - inputs.now_s, 3),
            likely_s=round(estimate.within_s, 3),
            answers=estimate.answers,
            answers_age_s=None if estimate.age_s is None else round(estimate.age_s, 1),
        )

    def customer_of(
        self,
        configuration: GatewayConfiguration,
        route: GatewayRoute,
        request: GatewayRequest,
    ) -> CustomerLimit | None | Refusal:
        """Return the customer of a request, or its refusal; None on public routes."""
        if not configuration.customers or route.is_public:
            return None
        name = configuration.customer_by_key.get(request.key or "")
        if name is None:
            return self.not_allowed(UNAUTHORIZED, "the key is not known")
        return configuration.customers[name]

    def service_of(
        self, configuration: GatewayConfiguration, route: GatewayRoute
    ) -> GatewayService | None:
        """Return one of the services of a route, drawn by weight."""
        known = [
            (configuration.services[name], weight)
            for name, weight in route.backends
            if name in configuration.services and weight > 0
        ]
        if not known:
            return None
        services, weights = zip(*known, strict=True)
        return self.components.rng.choices(services, weights)[0]


def log_resumption(request: GatewayRequest, service: GatewayService) -> None:
    """Log that a caller resumes a stream."""
    last_id = (request.last_event_id or b"").decode("latin-1")
    log.info(
        "caller resumes a stream",
        request=request.id,
        resumes=(request.resumes or "")[:MAX_LOGGED_CHARS],
        last_event_id=last_id[:MAX_LOGGED_CHARS],
        service=service.name,
    )


def limit_units(customer: CustomerLimit | None, request: GatewayRequest) -> float:
    """Return the units a request needs of its customer's limit, 0 without one."""
    if customer is None or customer.rate <= 0:
        return 0.0
    if not customer.counts_tokens:
        return 1.0
    size = request.size
    if size is None:
        return float(customer.plain_tokens)
    return float(size.prompt_tokens + size.max_output_tokens)
