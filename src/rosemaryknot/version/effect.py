"""What a change of the configuration does, in words, and what it takes away."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from rosemaryknot.version.view import ConfigurationView

__all__ = ["Danger", "dangers_of", "effect_of"]

ARROW = "→"


@dataclass(slots=True, frozen=True)
class Danger:
    """A loss that an operator must name before the change is taken.

    Attributes
    ----------
    word : str
        What to give as confirmation: the name of what is lost.
    text : str
        The loss in words.
    """

    word: str
    text: str


DANGERS: list[Callable[[ConfigurationView, ConfigurationView], Iterator[Danger]]] = []


def danger(function: Callable) -> Callable:
    """Register a function that finds dangers of a change."""
    DANGERS.append(function)
    return function


def instances(count: int) -> str:
    """Return a count in words.

    Examples
    --------
    >>> instances(1), instances(3)
    ('1 instance', '3 instances')
    """
    return f"{count} instance" + ("" if count == 1 else "s")


def value_text(value: Any) -> str:
    """Return a value as a person reads it."""
    if isinstance(value, dict):
        return ", ".join(f"{key} {value_text(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(value_text(item) for item in value) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def field_changes(label: str, old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield one sentence for each field that differs."""
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


def entry_changes(what: str, old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of a table of named entries."""
    for name in sorted(set(old) | set(new)):
        if name not in old:
            yield f"{what}{name}: new"
        elif name not in new:
            yield f"{what}{name}: removed"
        else:
            yield from field_changes(f"{what}{name}", old[name], new[name])


def placement_changes(old: Mapping, new: Mapping) -> Iterator[str]:
    """Yield the changes of placements, counts first."""
    for service in sorted(set(old) | set(new)):
        before, after = old.get(service, {}), new.get(service, {})
        for zone in sorted(set(before) | set(after)):
            was, will = before.get(zone, {}), after.get(zone, {})
            label = f"{service} in {zone}"
            had, gets = was.get("count", 0), will.get("count", 0)
            if had != gets:
                yield f"{label}: {had} {ARROW} {instances(gets)}"
            rest = [{k: v for k, v in p.items() if k != "count"} for p in (was, will)]
            if was and will:
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
    """Yield the changes of keys without their digests."""
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
    """Tell in words what changes between two documents.

    Parameters
    ----------
    old, new : Mapping
        Configuration documents.

    Returns
    -------
    effect : list of str
        One sentence for each change.

    Examples
    --------
    >>> old = {"placements": {"kit-assistant": {"waco-b": {"count": 2}}}}
    >>> new = {"placements": {"kit-assistant": {"waco-b": {"count": 3}}}}
    >>> effect_of(old, new)
    ['kit-assistant in waco-b: 2 → 3 instances']
    """

    def parts(key: str) -> tuple[Mapping, Mapping]:
        return old.get(key, {}), new.get(key, {})

    return [
        *entry_changes("service ", *parts("services")),
        *placement_changes(*parts("placements")),
        *limit_changes(*parts("customers")),
        *key_changes(*parts("keys")),
        *field_changes("rules", *parts("rules")),
    ]


def capacity(view: ConfigurationView, service: str) -> int:
    """Return how many instances of a service are wanted in all zones."""
    return sum(place.count for place in view.placements.get(service, {}).values())


@danger
def lost_services(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield services that lose their last placement."""
    for service in old.placements:
        if capacity(old, service) > 0 and capacity(new, service) == 0:
            yield Danger(service, f"{service} loses its last placement")
    for service in old.services:
        placed = capacity(old, service) > 0
        if service not in new.services and not placed:
            yield Danger(service, f"{service} is removed")


@danger
def lost_capacity(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield services that lose more of their capacity at once than the rules allow."""
    share = old.rules.max_capacity_change_share
    for service in old.placements:
        before, after = capacity(old, service), capacity(new, service)
        if 0 < after < before and before - after > share * before:
            lost = before - after
            text = f"{service} loses {lost} of {instances(before)} at once"
            yield Danger(f"{lost}-of-{before}-{service}", text)


@danger
def lost_limits(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield customers that are shut out of a service, or removed."""
    for name, customer in old.customers.items():
        if name not in new.customers:
            yield Danger(name, f"customer {name} is removed")
            continue
        after = new.customers[name]
        for service in new.services:
            if is_open(customer, service) and not is_open(after, service):
                text = f"customer {name} may no longer use {service}"
                yield Danger(f"{name}/{service}", text)


def is_open(customer: Any, service: str) -> bool:
    """Tell whether a customer may use a service at all."""
    limit = customer.limit_for(service)
    return min(limit.tokens_per_minute, limit.concurrent_requests) > 0


@danger
def lost_editors(old: ConfigurationView, new: ConfigurationView) -> Iterator[Danger]:
    """Yield the loss of the last key that may change the configuration."""
    if has_editor(old) and not has_editor(new):
        yield Danger("editor-keys", "no operator's key is left that may patch")


def has_editor(view: ConfigurationView) -> bool:
    """Tell whether any key may change the configuration."""
    return any(key.operator and key.role == "editor" for key in view.keys.values())


def dangers_of(old: ConfigurationView, new: ConfigurationView) -> list[Danger]:
    """Find what a change takes away that an operator must confirm by name.

    Parameters
    ----------
    old, new : ConfigurationView
        Two versions.

    Returns
    -------
    dangers : list of Danger
        One for each loss; empty for a harmless change.
    """
    return [found for finder in DANGERS for found in finder(old, new)]
