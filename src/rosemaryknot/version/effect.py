"""Descriptions of configuration changes, and checks for changes that lose something."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from rosemaryknot.version.view import ConfigurationView

__all__ = ["Danger", "dangers_of", "effect_of"]

ARROW = "→"


@dataclass(slots=True, frozen=True)
class Danger:
    """Loss that an operator must confirm by name before the change is accepted.

    Attributes
    ----------
    word : str
        Confirmation word: the name of what is lost.
    text : str
        Description of the loss.
    """

    word: str
    text: str


DANGER_CHECKS: list[
    Callable[[ConfigurationView, ConfigurationView], Iterator[Danger]]
] = []


def register_danger_check(function: Callable) -> Callable:
    """Register a function that yields the dangers of a change."""
    DANGER_CHECKS.append(function)
    return function


def instances(count: int) -> str:
    """Return a number of instances with its unit.

    Examples
    --------
    >>> instances(1), instances(3)
    ('1 instance', '3 instances')
    """
    return f"{count} instance" + ("" if count == 1 else "s")


def value_text(value: Any) -> str:
    """Format a value for display."""
    if isinstance(value, dict):
        return ", ".join(f"{key} {value_text(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(value_text(item) for item in value) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def field_changes(label: str, old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield one description for each field that differs."""
    for key in sorted(set(old) | set(new)):
        if old.get(key) == new.get(key):
            continue
        if key not in old:
            yield f"{label}: {key} set to {value_text(new[key])}"
        elif key not in new:
            yield f"{label}: {key} {value_text(old[key])} removed"
        else:
            change = f"{value_text(old[key])} {ARROW} {value_text(new[key])}"
            yield f"{label}: {key} {change}"


def entry_changes(label: str, old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of a table of named entries."""
    for name in sorted(set(old) | set(new)):
        if name not in old:
            yield f"{label}{name}: new"
        elif name not in new:
            yield f"{label}{name}: removed"
        else:
            yield from field_changes(f"{label}{name}", old[name], new[name])


def placement_changes(old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of placements; a changed count precedes other fields."""
    for service in sorted(set(old) | set(new)):
        old_zones, new_zones = old.get(service, {}), new.get(service, {})
        for zone in sorted(set(old_zones) | set(new_zones)):
            before, after = old_zones.get(zone, {}), new_zones.get(zone, {})
            label = f"{service} in {zone}"
            old_count, new_count = before.get("count", 0), after.get("count", 0)
            if old_count != new_count:
                yield f"{label}: {old_count} {ARROW} {instances(new_count)}"
            rest = [
                {k: v for k, v in p.items() if k != "count"} for p in (before, after)
            ]
            if before and after:
                yield from field_changes(label, *rest)


def limit_changes(old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of customers and their limits."""
    for name in sorted(set(old) | set(new)):
        if name not in old:
            yield f"customer {name}: new"
        if name not in new:
            yield f"customer {name}: removed"
            continue
        before = old.get(name, {}).get("limits", {})
        after = new[name].get("limits", {})
        for service in sorted(set(before) | set(after)):
            yield from field_changes(
                f"{name} on {service}", before.get(service, {}), after.get(service, {})
            )


def key_changes(old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of API keys, without their digests."""
    for key_id in sorted(set(old) | set(new)):
        raw = new.get(key_id) or old[key_id]
        owner = raw.get("customer") or f"operator {raw.get('operator')}"
        if key_id not in old:
            yield f"key {key_id} of {owner}: new"
        elif key_id not in new:
            yield f"key {key_id} of {owner}: removed"
        elif old[key_id] != new[key_id]:
            yield f"key {key_id} of {owner}: changed"


def effect_of(old: Mapping, new: Mapping) -> list[str]:
    """Describe the differences between two documents.

    Parameters
    ----------
    old, new : Mapping
        Configuration documents.

    Returns
    -------
    effect : list of str
        One description for each change.

    Examples
    --------
    >>> old = {"placements": {"kit-assistant": {"waco-b": {"count": 2}}}}
    >>> new = {"placements": {"kit-assistant": {"waco-b": {"count": 3}}}}
    >>> effect_of(old, new)
    ['kit-assistant in waco-b: 2 → 3 instances']
    """

    def section(key: str) -> tuple[Mapping, Mapping]:
        return old.get(key, {}), new.get(key, {})

    return [
        *entry_changes("service ", *section("services")),
        *placement_changes(*section("placements")),
        *limit_changes(*section("customers")),
        *key_changes(*section("keys")),
        *field_changes("rules", *section("rules")),
    ]


def capacity(view: ConfigurationView, service: str) -> int:
    """Return the number of instances requested for a service in all zones."""
    return sum(place.count for place in view.placements.get(service, {}).values())


@register_danger_check
def services_without_placement(
    old: ConfigurationView, new: ConfigurationView
) -> Iterator[Danger]:
    """Yield services that lose their last placement or are removed."""
    for service in old.placements:
        if capacity(old, service) > 0 and capacity(new, service) == 0:
            yield Danger(service, f"{service} loses its last placement")
    for service in old.services:
        placed = capacity(old, service) > 0
        if service not in new.services and not placed:
            yield Danger(service, f"{service} is removed")


@register_danger_check
def lost_capacity(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield services that lose more capacity in one change than the rules allow."""
    share = old.rules.max_capacity_change_share
    for service in old.placements:
        before, after = capacity(old, service), capacity(new, service)
        if 0 < after < before and before - after > share * before:
            lost = before - after
            text = f"{service} loses {lost} of {instances(before)} at once"
            yield Danger(f"{lost}-of-{before}-{service}", text)


@register_danger_check
def lost_access(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield customers that are removed or lose access to a service."""
    for name, customer in old.customers.items():
        if name not in new.customers:
            yield Danger(name, f"customer {name} is removed")
            continue
        after = new.customers[name]
        for service in new.services:
            if has_access(customer, service) and not has_access(after, service):
                text = f"customer {name} may no longer use {service}"
                yield Danger(f"{name}/{service}", text)


def has_access(customer: Any, service: str) -> bool:
    """Return whether a customer's limits for a service are above zero."""
    limit = customer.limit_for(service)
    return min(limit.tokens_per_minute, limit.concurrent_requests) > 0


@register_danger_check
def lost_editors(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield the loss of the last API key that may change the configuration."""
    if has_editor(old) and not has_editor(new):
        yield Danger("editor-keys", "no operator's key is left that may patch")


def has_editor(view: ConfigurationView) -> bool:
    """Return whether any API key may change the configuration."""
    return any(key.operator and key.role == "editor" for key in view.keys.values())


def dangers_of(old: ConfigurationView, new: ConfigurationView) -> list[Danger]:
    """Return the losses of a change that an operator must confirm by name.

    Parameters
    ----------
    old, new : ConfigurationView
        Two versions.

    Returns
    -------
    dangers : list of Danger
        One for each loss; empty for a harmless change.
    """
    return [danger for check in DANGER_CHECKS for danger in check(old, new)]
