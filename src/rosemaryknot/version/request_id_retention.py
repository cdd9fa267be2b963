"""Rejection of changes that would lose the ids of at-most-once requests.

The two forms of at-most-once execution do not share their ids: a request that ran
under one form would run again if it were repeated under the other. A service therefore
cannot change its form or kind in place, nor shorten its answer horizon. The name of a
removed service stays reserved until the last of its request ids has expired.
"""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass

from rosemaryknot.process.claims.records import OPEN_GRANT_TTL_S
from rosemaryknot.version.document import Problem, pointer
from rosemaryknot.version.tables import AtMostOnce, Service
from rosemaryknot.version.view import ConfigurationView

__all__ = [
    "MAX_REMOVED_SERVICES",
    "RemovedService",
    "request_id_problems",
    "reserved_after",
]

MAX_REMOVED_SERVICES = 500
# Covers differences between the agents' clocks and the seconds that nodes take to
# learn of a removal.
CLOCK_MARGIN_S = 60.0

NEW_NAME_HINT = "give the service a new name"


@dataclass(slots=True, frozen=True)
class RemovedService:
    """Removed plain service whose request ids have not all expired.

    Attributes
    ----------
    form : str
        Form of at-most-once execution under which the ids are stored.
    answer_horizon_s : float
        Last answer horizon of the service, in seconds.
    until_unix_s : float
        Unix time at which the last id expires, in seconds.
    """

    form: str
    answer_horizon_s: float
    until_unix_s: float


def plain_services(view: ConfigurationView) -> dict[str, Service]:
    """Return the plain services of a version."""
    return {n: s for n, s in view.services.items() if not s.is_model}


def incompatible_settings(
    before: AtMostOnce | RemovedService, after: AtMostOnce
) -> Iterator[str]:
    """Yield the names of settings whose change would lose stored request ids."""
    if before.form != after.form:
        yield "form"
    if before.answer_horizon_s > after.answer_horizon_s:
        yield "answer_horizon_s"


def reserved_after(
    removed: Mapping[str, dict],
    old: ConfigurationView,
    new: ConfigurationView,
    unix_s: float,
) -> dict[str, dict]:
    """Return the service names that are reserved after a change.

    Parameters
    ----------
    removed : Mapping of str to dict
        Fields of a `RemovedService` by name, before the change.
    old, new : ConfigurationView
        Versions before and after the change.
    unix_s : float
        Unix time of the change, in seconds.

    Returns
    -------
    removed : dict of str to dict
        Fields of a `RemovedService` by name, after the change.
    """
    plain = plain_services(new)
    reserved = {
        name: fields
        for name, fields in removed.items()
        if name not in plain and fields["until_unix_s"] > unix_s
    }
    for name, service in plain_services(old).items():
        if name not in plain:
            rule = service.at_most_once
            ttl_s = max(OPEN_GRANT_TTL_S, rule.answer_horizon_s) + CLOCK_MARGIN_S
            entry = RemovedService(rule.form, rule.answer_horizon_s, unix_s + ttl_s)
            reserved[name] = asdict(entry)
    return reserved


def request_id_problems(
    removed: Mapping[str, dict],
    old: ConfigurationView,
    new: ConfigurationView,
    unix_s: float,
) -> Iterator[Problem]:
    """Yield the errors of a change that would lose request ids.

    See `reserved_after` for the parameters.
    """
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is None:
            yield from reserved_name_problems(removed.get(name), service, unix_s)
        elif before.kind != service.kind:
            text = f"the kind of a service does not change: {NEW_NAME_HINT}"
            yield Problem(pointer(["services", name, "kind"]), text)
        elif not service.is_model:
            for key in incompatible_settings(before.at_most_once, service.at_most_once):
                yield Problem(setting_pointer(name, key), unchangeable_reason(key))
    if len(reserved_after(removed, old, new, unix_s)) > MAX_REMOVED_SERVICES:
        text = f"more than {MAX_REMOVED_SERVICES} plain services removed in a day"
        yield Problem("/services", text)


def reserved_name_problems(
    fields: dict | None, service: Service, unix_s: float
) -> Iterator[Problem]:
    """Yield the errors of a new service that reuses the name of a removed one."""
    if fields is None or service.is_model:
        return
    previous = RemovedService(**fields)
    remaining_s = previous.until_unix_s - unix_s
    if remaining_s <= 0:
        return
    for key in incompatible_settings(previous, service.at_most_once):
        text = (
            f"a service of this name had {getattr(previous, key)} and its requests may "
            f"still be repeated for {remaining_s:.0f} s: wait, or {NEW_NAME_HINT}"
        )
        yield Problem(setting_pointer(service.name, key), text)


def setting_pointer(name: str, key: str) -> str:
    """Return the JSON Pointer of an at-most-once setting."""
    return pointer(["services", name, "at_most_once", key])


def unchangeable_reason(key: str) -> str:
    """Return the error for changing a setting of an existing service."""
    if key == "form":
        reason = "requests that ran under the other form could run again"
    else:
        reason = "a shorter horizon could let requests run again; it may only grow"
    return f"{reason}: {NEW_NAME_HINT}, or remove it and wait for a day or the horizon"
