"""The entries of the configuration's derived tables."""

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
AMBIGUOUS = ("//", "/./", "/../", "%2e", "%2f", "%5c", "\\", ";")
"""Parts by which a path may mean another one to the backend server than to us."""


@dataclass(slots=True, frozen=True)
class LatencyTargets:
    """Latency that a model service aims at.

    Attributes
    ----------
    first_token_ms : float
        From the arrival of a request to its first token.
    between_tokens_ms : float
        Between two tokens of one answer.
    """

    first_token_ms: float = 2000.0
    between_tokens_ms: float = 50.0


@dataclass(slots=True, frozen=True)
class AtMostOnce:
    """How requests that are not idempotent are kept from running twice.

    Attributes
    ----------
    form : str
        ``shards`` or ``objects``.
    answer_horizon_s : float
        How long an id and its answer are kept, in seconds.
    """

    form: str = "shards"
    answer_horizon_s: float = 600.0


@dataclass(slots=True, frozen=True)
class IdempotentRule:
    """Requests of a plain service that may be repeated.

    Attributes
    ----------
    method : str
        HTTP method in capitals.
    path : str
        Prefix of the path, matched by whole segments.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request falls under the rule.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the service, with or without query.

        Returns
        -------
        matches : bool
            False for a path that the backend server may read in another way.

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
        # A rule for /stock must not let /stock/../slots run twice: a path that the
        # backend server may normalise into another one is never idempotent.
        lowered = bare.lower() + "/"
        if any(part in lowered for part in AMBIGUOUS):
            return False
        prefix = self.path.rstrip("/")
        return bare == prefix or bare.startswith(prefix + "/")


@dataclass(slots=True, frozen=True)
class Service:
    """One service.

    Attributes
    ----------
    name : str
        Name of the service.
    kind : str
        ``model`` or ``plain``.
    timeout_s : float
        Bound on one request, in seconds.
    step_time_ms : float
        Time of one engine step.
    max_tokens : int
        Most tokens of one answer.
    standby_min_tokens : int
        Answers at least this long are copied to a standby.
    latency : LatencyTargets
        Latency aimed at.
    checks_fencing : bool
        Whether its backend servers refuse an old fencing number.
    moves_kv : bool
        Whether its engines export and import KV cache.
    route_policy : str
        Name of a registered route policy.
    idempotent : tuple of IdempotentRule
        Requests of a plain service that may be repeated.
    at_most_once : AtMostOnce
        How all others are kept from running twice.
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
        """Whether it serves a language model."""
        return self.kind == "model"

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a request of a plain service may be repeated.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the service, with a leading slash.

        Returns
        -------
        is_idempotent : bool
            True where one of the rules matches.
        """
        return any(rule.matches(method, path) for rule in self.idempotent)


@dataclass(slots=True, frozen=True)
class Limit:
    """What one customer may use of one service.

    Attributes
    ----------
    tokens_per_minute : float
        Prompt and answer tokens; infinite where not limited.
    concurrent_requests : float
        Requests at once; infinite where not limited.
    """

    tokens_per_minute: float = math.inf
    concurrent_requests: float = math.inf


UNLIMITED = Limit()


@dataclass(slots=True, frozen=True)
class Customer:
    """One customer.

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
        """Return the limit for a service; without an entry there is none."""
        return self.limits.get(service, UNLIMITED)


@dataclass(slots=True, frozen=True)
class Operator:
    """One operator.

    Attributes
    ----------
    name : str
        Name, as the history gives it.
    role : str
        ``viewer`` or ``editor``.
    """

    name: str
    role: str

    @property
    def may_patch(self) -> bool:
        """Whether the operator may change anything."""
        return self.role == "editor"


@dataclass(slots=True, frozen=True)
class Placement:
    """Backend servers wanted for one service in one zone.

    Attributes
    ----------
    count : int
        Instances wanted.
    classes : tuple of str
        Machine classes that may be started; empty allows all.
    reclaimable_share : float
        Largest share of reclaimable instances, 0 to 1.
    price_ceiling_per_hour : float
        Highest price of one instance; infinite where not limited.
    """

    count: int
    classes: tuple[str, ...] = ()
    reclaimable_share: float = 0.0
    price_ceiling_per_hour: float = math.inf


@dataclass(slots=True, frozen=True)
class Rules:
    """Rules of the configuration as a whole.

    Attributes
    ----------
    max_capacity_change_share : float
        A patch that takes away a larger share of a service's instances needs to be
        confirmed.
    """

    max_capacity_change_share: float = 0.5


@dataclass(slots=True, frozen=True)
class KeyEntry:
    """A stored API key.

    Attributes
    ----------
    salt : bytes
        Goes before the secret.
    sha256 : str
        Digest of salt and secret, in hex.
    customer, operator, role : str
        Whose key it is; empty where not given.
    """

    salt: bytes
    sha256: str
    customer: str = ""
    operator: str = ""
    role: str = "viewer"
