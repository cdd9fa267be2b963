"""Immutable view of one configuration version, with its derived tables.

A view is created once for each version and never modified. A request that obtains a
view when it starts therefore uses a single version throughout.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from rosemaryknot.values.configuration import document_digest
from rosemaryknot.version.keys import new_key, new_operator_key, verified_entry
from rosemaryknot.version.tables import (
    MODEL_TIMEOUT_S,
    PLAIN_TIMEOUT_S,
    AtMostOnce,
    Customer,
    IdempotentRule,
    KeyEntry,
    LatencyTargets,
    Limit,
    Operator,
    Placement,
    Rules,
    Service,
)

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


def parse_service(name: str, raw: Mapping[str, Any]) -> Service:
    """Create a service from its section of the document."""
    kind = raw["kind"]
    given = {
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
        **given,
    )


def known_fields(cls: type, raw: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entries that are fields of a class.

    Other entries may come from a newer release: a version that was accepted by an
    upgraded agent must also be applied by nodes that are not upgraded yet.
    """
    return {key: value for key, value in raw.items() if key in cls.__slots__}


def parse_customer(name: str, raw: Mapping[str, Any]) -> Customer:
    """Create a customer from its section of the document."""
    limits = {
        service: Limit(**known_fields(Limit, limit))
        for service, limit in raw.get("limits", {}).items()
    }
    return Customer(name, MappingProxyType(limits))


def parse_placement(raw: Mapping[str, Any]) -> Placement:
    """Create a placement from its section of the document."""
    values = known_fields(Placement, raw)
    values["classes"] = tuple(values.get("classes", ()))
    return Placement(**values)


def parse_key(raw: Mapping[str, Any]) -> KeyEntry:
    """Create a key entry from its section of the document."""
    values = known_fields(KeyEntry, raw)
    values["salt"] = bytes.fromhex(values["salt"])
    return KeyEntry(**values)


@dataclass(slots=True, frozen=True)
class ConfigurationView:
    """Immutable view of one version of the configuration.

    Attributes
    ----------
    number : int
        Version number.
    digest : str
        Digest of the document.
    document : Mapping
        Configuration document; must not be modified.
    services : Mapping of str to Service
        Services by name.
    placements : Mapping of str to Mapping of str to Placement
        Placements by service and zone.
    customers : Mapping of str to Customer
        Customers by name.
    keys : Mapping of str to KeyEntry
        Stored keys by key id.
    rules : Rules
        Rules that apply to the entire configuration.
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
        """Create the view of a document.

        Parameters
        ----------
        number : int
            Version number.
        document : dict
            Configuration document; unknown fields are ignored.

        Returns
        -------
        view : ConfigurationView
            View with the derived tables.

        Raises
        ------
        ValueError, KeyError, TypeError, AttributeError
            If the document does not have the expected form.
        """
        raw_placements = document.get("placements", {})
        placements = {
            service: MappingProxyType(
                {zone: parse_placement(raw) for zone, raw in zones.items()}
            )
            for service, zones in raw_placements.items()
        }
        services = {
            name: parse_service(name, raw)
            for name, raw in document.get("services", {}).items()
        }
        customers = {
            name: parse_customer(name, raw)
            for name, raw in document.get("customers", {}).items()
        }
        keys = {name: parse_key(raw) for name, raw in document.get("keys", {}).items()}
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

    def customer_for_key(self, api_key: str) -> Customer | None:
        """Return the customer that an API key belongs to.

        Parameters
        ----------
        api_key : str
            ``<key id>.<secret>``.

        Returns
        -------
        customer : Customer or None
            None for an invalid key and for an operator's key.
        """
        entry = verified_entry(self.keys, api_key)
        return None if entry is None else self.customers.get(entry.customer)

    def operator_for_key(self, api_key: str) -> Operator | None:
        """Return the operator that an API key belongs to, or None."""
        entry = verified_entry(self.keys, api_key)
        if entry is None or not entry.operator:
            return None
        return Operator(entry.operator, entry.role)
