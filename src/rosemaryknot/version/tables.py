"""Entries of the tables that are derived from a configuration document."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "MODEL_TIMEOUT_S",
    "PLAIN_TIMEOUT_S",
    "AtMostOnce",
    "Customer",
    "IdempotentRule",
    "KeyEntry",
    "LatencyTargets",
    "Limit",
    "Operator",
    "Placement",
    "Rules",
    "Service",
]

MODEL_TIMEOUT_S = 600.0
PLAIN_TIMEOUT_S = 10.0
AMBIGUOUS_PATH_PARTS = ("//", "/./", "/../", "%2e", "%2f", "%5c", "\\", ";")
"""Parts of a path that a backend server may normalize to another path."""


@dataclass(slots=True, frozen=True)
class LatencyTargets:
    """Latency targets of a model service.

    Attributes
    ----------
    first_token_ms : float
        Time from the arrival of a request to its first token.
    between_tokens_ms : float
        Time between two tokens of one response.
    """

    first_token_ms: float = 2000.0
    between_tokens_ms: float = 50.0


@dataclass(slots=True, frozen=True)
class AtMostOnce:
    """Settings that prevent non-idempotent requests from running twice.

    Attributes
    ----------
    form : str
        Form of at-most-once execution: ``shards`` or ``objects``.
    answer_horizon_s : float
        Retention period of a request id and its response, in seconds.
    """

    form: str = "shards"
    answer_horizon_s: float = 600.0


@dataclass(slots=True, frozen=True)
class IdempotentRule:
    """Rule for requests of a plain service that may be repeated.

    Attributes
    ----------
    method : str
        HTTP method in upper case.
    path : str
        Path prefix, matched by complete segments.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule matches a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the service, with or without query.

        Returns
        -------
        matches : bool
            False for a path that the backend server may normalize to another path.

        Examples
        --------
        >>> rule = IdempotentRule("GET", "/stock")
        >>> rule.matches("GET", "/stock/7?unit=m")
        True
        >>> rule.matches("GET", "/stock-booking")
        False
        >>> rule.matches("GET", "/stock/../slots")
        False
        """
        bare = path.partition("?")[0]
        if method.upper() != self.method:
            return False
        # A rule for /stock must not let /stock/../slots run twice, so a path that the
        # backend server may normalize to another one is never idempotent.
        lowered = bare.lower() + "/"
        if any(part in lowered for part in AMBIGUOUS_PATH_PARTS):
            return False
        prefix = self.path.rstrip("/")
        return bare == prefix or bare.startswith(prefix + "/")


@dataclass(slots=True, frozen=True)
class Service:
    """Settings of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    kind : str
        ``model`` or ``plain``.
    timeout_s : float
        Time limit of one request, in seconds.
    step_time_ms : float
        Duration of one engine step, in milliseconds.
    max_tokens : int
        Maximum number of tokens of one response.
    standby_min_tokens : int
        Minimum length of a response that is replicated to a standby, in tokens.
    latency : LatencyTargets
        Latency targets.
    checks_fencing : bool
        Whether its backend servers reject an outdated fencing token.
    moves_kv : bool
        Whether its engines export and import KV cache entries.
    route_policy : str
        Name of a registered route policy.
    idempotent : tuple of IdempotentRule
        Requests of a plain service that may be repeated.
    at_most_once : AtMostOnce
        Settings that prevent all other requests from running twice.
    """

    name: str
    kind: str
    timeout_s: float = MODEL_TIMEOUT_S
    step_time_ms: float = 4.0
    max_tokens: int = 8192
    standby_min_tokens: int = 256
    latency: LatencyTargets = LatencyTargets()
    checks_fencing: bool = False
    moves_kv: bool = False
    route_policy: str = "estimated_time"
    idempotent: tuple[IdempotentRule, ...] = ()
    at_most_once: AtMostOnce = AtMostOnce()

    @property
    def is_model(self) -> bool:
        """Whether the service is a language model."""
        return self.kind == "model"

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request of a plain service may be repeated.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the service, with a leading slash.

        Returns
        -------
        is_idempotent : bool
            True if one of the rules matches.
        """
        return any(rule.matches(method, path) for rule in self.idempotent)


@dataclass(slots=True, frozen=True)
class Limit:
    """Limits of one customer on one service.

    Attributes
    ----------
    tokens_per_minute : float
        Prompt and completion tokens; infinite if not limited.
    concurrent_requests : float
        Number of concurrent requests; infinite if not limited.
    """

    tokens_per_minute: float = math.inf
    concurrent_requests: float = math.inf


UNLIMITED = Limit()


@dataclass(slots=True, frozen=True)
class Customer:
    """Customer with its limits.

    Attributes
    ----------
    name : str
        Name of the customer.
    limits : Mapping of str to Limit
        Limits by service.
    """

    name: str
    limits: Mapping[str, Limit] = field(default_factory=dict)

    def limit_for(self, service: str) -> Limit:
        """Return the limit for a service, unlimited if there is no entry."""
        return self.limits.get(service, UNLIMITED)


@dataclass(slots=True, frozen=True)
class Operator:
    """Authenticated operator.

    Attributes
    ----------
    name : str
        Name that the history shows.
    role : str
        ``viewer`` or ``editor``.
    """

    name: str
    role: str

    @property
    def may_patch(self) -> bool:
        """Whether the operator may change the configuration."""
        return self.role == "editor"


@dataclass(slots=True, frozen=True)
class Placement:
    """Placement target of one service in one zone.

    Attributes
    ----------
    count : int
        Requested number of instances.
    classes : tuple of str
        Machine classes that may be started; empty allows all.
    reclaimable_share : float
        Maximum share of reclaimable instances, 0 to 1.
    price_ceiling_per_hour : float
        Maximum price of one instance; infinite if not limited.
    """

    count: int
    classes: tuple[str, ...] = ()
    reclaimable_share: float = 0.0
    price_ceiling_per_hour: float = math.inf


@dataclass(slots=True, frozen=True)
class Rules:
    """Rules that apply to the entire configuration.

    Attributes
    ----------
    max_capacity_change_share : float
        Share of a service's instances; a patch that removes more must be confirmed.
    """

    max_capacity_change_share: float = 0.5


@dataclass(slots=True, frozen=True)
class KeyEntry:
    """Stored API key.

    Attributes
    ----------
    salt : bytes
        Salt that precedes the secret in the digest.
    sha256 : str
        Digest of salt and secret, in hex.
    customer, operator, role : str
        Owner of the key and the operator's role; empty if not given.
    """

    salt: bytes
    sha256: str
    customer: str = ""
    operator: str = ""
    role: str = "viewer"
