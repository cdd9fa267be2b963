"""The derived tables of one version of the configuration.

A view is made once for each version and never changes, so a request that took one
at its start sees a single version throughout.
"""

import hashlib
import hmac
import math
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from rosemaryknot.values.configuration import document_digest

__all__ = [
    "AtMostOnce",
    "ConfigurationView",
    "Customer",
    "IdempotentRule",
    "LatencyTargets",
    "Limit",
    "Operator",
    "Placement",
    "Rules",
    "Service",
    "new_key",
    "new_operator_key",
]

KEY_ID_BYTES = 6
SECRET_BYTES = 32
SALT_BYTES = 16
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


NO_KEY = KeyEntry(bytes(SALT_BYTES), "0" * 64)


def key_digest(salt: bytes, secret: str) -> str:
    """Return the digest that a stored key holds.

    Secrets are random and long, so one round of SHA-256 is enough.
    """
    return hashlib.sha256(salt + secret.encode()).hexdigest()


def service_of(name: str, raw: Mapping[str, Any]) -> Service:
    """Make a service of its part of the document."""
    kind = raw["kind"]
    known = {
        key: raw[key]
        for key in (
            "step_time_ms",
            "max_tokens",
            "standby_min_tokens",
            "checks_fencing",
            "moves_kv",
            "route_policy",
        )
        if key in raw
    }
    return Service(
        name=name,
        kind=kind,
        timeout_s=raw.get(
            "timeout_s", MODEL_TIMEOUT_S if kind == "model" else PLAIN_TIMEOUT_S
        ),
        latency=LatencyTargets(**known_fields(LatencyTargets, raw.get("latency", {}))),
        idempotent=tuple(
            IdempotentRule(rule["method"].upper(), rule["path"])
            for rule in raw.get("idempotent", ())
        ),
        at_most_once=AtMostOnce(
            **known_fields(AtMostOnce, raw.get("at_most_once", {}))
        ),
        **known,
    )


def known_fields(cls: type, raw: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entries that are fields of a class.

    A newer release may have added others: a version that an operator's newer agent
    accepted must still come into force on the nodes that are not upgraded yet.
    """
    return {key: value for key, value in raw.items() if key in cls.__slots__}


def customer_of(name: str, raw: Mapping[str, Any]) -> Customer:
    """Make a customer of its part of the document."""
    limits = {
        service: Limit(**known_fields(Limit, limit))
        for service, limit in raw.get("limits", {}).items()
    }
    return Customer(name, MappingProxyType(limits))


def placement_of(raw: Mapping[str, Any]) -> Placement:
    """Make a placement of its part of the document."""
    values = known_fields(Placement, raw)
    values["classes"] = tuple(values.get("classes", ()))
    return Placement(**values)


def key_of(raw: Mapping[str, Any]) -> KeyEntry:
    """Make a stored key of its part of the document."""
    values = known_fields(KeyEntry, raw)
    values["salt"] = bytes.fromhex(values["salt"])
    return KeyEntry(**values)


@dataclass(slots=True, frozen=True)
class ConfigurationView:
    """One version of the configuration.

    Attributes
    ----------
    number : int
        Version.
    digest : str
        Digest of the document.
    document : Mapping
        The document itself; not to be changed.
    services : Mapping of str to Service
        Services by name.
    placements : Mapping of str to Mapping of str to Placement
        Placements by service and zone.
    customers : Mapping of str to Customer
        Customers by name.
    keys : Mapping of str to KeyEntry
        Stored keys by key id.
    rules : Rules
        Rules of the whole.
    """

    number: int
    digest: str
    document: Mapping[str, Any] = field(repr=False)
    services: Mapping[str, Service]
    placements: Mapping[str, Mapping[str, Placement]]
    customers: Mapping[str, Customer]
    keys: Mapping[str, KeyEntry] = field(repr=False)
    rules: Rules

    @classmethod
    def from_document(cls, number: int, document: dict) -> "ConfigurationView":
        """Derive the tables of a document.

        Parameters
        ----------
        number : int
            Version.
        document : dict
            Configuration document; fields that this release does not know are
            ignored.

        Returns
        -------
        view : ConfigurationView
            The tables.

        Raises
        ------
        ValueError, KeyError, TypeError, AttributeError
            If the document is not of the expected form.
        """
        raw_placements = document.get("placements", {})
        placements = {
            service: MappingProxyType(
                {zone: placement_of(raw) for zone, raw in zones.items()}
            )
            for service, zones in raw_placements.items()
        }
        services = {
            name: service_of(name, raw)
            for name, raw in document.get("services", {}).items()
        }
        customers = {
            name: customer_of(name, raw)
            for name, raw in document.get("customers", {}).items()
        }
        keys = {name: key_of(raw) for name, raw in document.get("keys", {}).items()}
        return cls(
            number=number,
            digest=document_digest(document),
            document=MappingProxyType(document),
            services=MappingProxyType(services),
            placements=MappingProxyType(placements),
            customers=MappingProxyType(customers),
            keys=MappingProxyType(keys),
            rules=Rules(**known_fields(Rules, document.get("rules", {}))),
        )

    def key_entry(self, api_key: str) -> KeyEntry | None:
        """Return the stored key that an API key proves, if any."""
        key_id, _, secret = api_key.partition(".")
        # An unknown key id costs the same digest and comparison as a known one, so
        # that the time of an answer does not tell which ids exist.
        entry = self.keys.get(key_id, NO_KEY)
        digest = key_digest(entry.salt, secret)
        is_right = hmac.compare_digest(digest.encode(), entry.sha256.encode())
        return entry if is_right and entry is not NO_KEY else None

    def customer_for_key(self, api_key: str) -> Customer | None:
        """Return the customer whose API key it is.

        Parameters
        ----------
        api_key : str
            ``<key id>.<secret>``.

        Returns
        -------
        customer : Customer or None
            None for a wrong key and for an operator's.
        """
        entry = self.key_entry(api_key)
        return self.customers.get(entry.customer) if entry else None

    def operator_for_key(self, api_key: str) -> Operator | None:
        """Return the operator whose API key it is, or None."""
        entry = self.key_entry(api_key)
        if entry is None or not entry.operator:
            return None
        return Operator(entry.operator, entry.role)


def new_secret() -> tuple[str, str, dict[str, str]]:
    """Return a new API key, its id and the part that is stored."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    stored = {"salt": salt.hex(), "sha256": key_digest(salt, secret)}
    return f"{key_id}.{secret}", key_id, stored


def new_key(customer: str) -> tuple[str, dict[str, dict[str, str]]]:
    """Make an API key for a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.

    Returns
    -------
    api_key : str
        To be handed to the customer; stored nowhere.
    stored : dict
        One entry for the ``keys`` of the document, by its key id.
    """
    api_key, key_id, stored = new_secret()
    return api_key, {key_id: {**stored, "customer": customer}}


def new_operator_key(
    operator: str, role: str = "viewer"
) -> tuple[str, dict[str, dict[str, str]]]:
    """Make an API key for an operator; see `new_key`."""
    api_key, key_id, stored = new_secret()
    return api_key, {key_id: {**stored, "operator": operator, "role": role}}
