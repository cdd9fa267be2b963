"""Changes after which ids of at-most-once requests would be forgotten.

An id that ran under one form is unknown to the other, so a repeat would run again.
The form, the kind and a shorter horizon of a service are therefore not changed in
place. A removed service's name is held until the last of its ids is forgotten.
"""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass

from rosemaryknot.process.claims.records import OPEN_GRANT_TTL_S
from rosemaryknot.version.document import Problem, pointer
from rosemaryknot.version.tables import AtMostOnce, Service
from rosemaryknot.version.view import ConfigurationView

__all__ = ["MAX_REMOVED_SERVICES", "RemovedService", "kept_id_problems", "still_held"]

MAX_REMOVED_SERVICES = 500
# Agents' clocks may differ, and nodes learn of a removal some seconds after it.
MARGIN_S = 60.0

OTHER_NAME = "give the service a new name"


@dataclass(slots=True, frozen=True)
class RemovedService:
    """A removed plain service, whose ids may still be repeated.

    Attributes
    ----------
    form : str
        Form under which its ids are known.
    answer_horizon_s : float
        Its last horizon.
    until_unix_s : float
        When the last id is forgotten, seconds of the epoch.
    """

    form: str
    answer_horizon_s: float
    until_unix_s: float


def plain_services(view: ConfigurationView) -> dict[str, Service]:
    """Return the plain services of a version."""
    return {n: s for n, s in view.services.items() if not s.is_model}


def forgets(before: AtMostOnce | RemovedService, after: AtMostOnce) -> Iterator[str]:
    """Yield the settings by which ids known under one would be forgotten."""
    if before.form != after.form:
        yield "form"
    if before.answer_horizon_s > after.answer_horizon_s:
        yield "answer_horizon_s"


def still_held(
    removed: Mapping[str, dict],
    old: ConfigurationView,
    new: ConfigurationView,
    unix_s: float,
) -> dict[str, dict]:
    """Return the names that are held after a change.

    Parameters
    ----------
    removed : Mapping of str to dict
        Fields of a `RemovedService` by name, before the change.
    old, new : ConfigurationView
        Versions before and after the change.
    unix_s : float
        Time of the change, seconds of the epoch.

    Returns
    -------
    removed : dict of str to dict
        The same after it.
    """
    plain = plain_services(new)
    held = {
        name: fields
        for name, fields in removed.items()
        if name not in plain and fields["until_unix_s"] > unix_s
    }
    for name, service in plain_services(old).items():
        if name not in plain:
            rule = service.at_most_once
            last_s = max(OPEN_GRANT_TTL_S, rule.answer_horizon_s) + MARGIN_S
            gone = RemovedService(rule.form, rule.answer_horizon_s, unix_s + last_s)
            held[name] = asdict(gone)
    return held


def kept_id_problems(
    removed: Mapping[str, dict],
    old: ConfigurationView,
    new: ConfigurationView,
    unix_s: float,
) -> Iterator[Problem]:
    """Yield what is wrong with a change that would forget ids; see `still_held`."""
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is None:
            yield from held_problems(removed.get(name), service, unix_s)
        elif before.kind != service.kind:
            text = f"the kind of a service does not change: {OTHER_NAME}"
            yield Problem(pointer(["services", name, "kind"]), text)
        elif not service.is_model:
            for key in forgets(before.at_most_once, service.at_most_once):
                yield Problem(setting_place(name, key), live_text(key))
    if len(still_held(removed, old, new, unix_s)) > MAX_REMOVED_SERVICES:
        text = f"more than {MAX_REMOVED_SERVICES} plain services removed in a day"
        yield Problem("/services", text)


def held_problems(
    fields: dict | None, service: Service, unix_s: float
) -> Iterator[Problem]:
    """Yield what is wrong with a service under the name of a removed one."""
    if fields is None or service.is_model:
        return
    gone = RemovedService(**fields)
    left_s = gone.until_unix_s - unix_s
    if left_s <= 0:
        return
    for key in forgets(gone, service.at_most_once):
        text = (
            f"a service of this name had {getattr(gone, key)} and its requests may "
            f"still be repeated for {left_s:.0f} s: wait, or {OTHER_NAME}"
        )
        yield Problem(setting_place(service.name, key), text)


def setting_place(name: str, key: str) -> str:
    """Return the JSON Pointer of an at-most-once setting."""
    return pointer(["services", name, "at_most_once", key])


def live_text(key: str) -> str:
    """Return why a setting of a live service does not change."""
    if key == "form":
        what = "requests that ran under the other form could run again"
    else:
        what = "a shorter horizon could let requests run again; it may only grow"
    return f"{what}: {OTHER_NAME}, or remove it and wait for a day or the horizon"
