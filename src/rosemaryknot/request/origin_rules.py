"""Rules on streams that callers resume: which software version may continue.

Load pattern: servers of several versions serve side by side, for minutes in a release,
while servers break streams off and nodes are lost. Callers resume their streams at any
node, which may have started since or be cut off from the others. What two versions
write does not fit together, and no server checks it, so that a stream whose version is
not certain is refused: its caller can begin a new one.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rosemaryknot.values.stream_origins import StreamOrigin

__all__ = [
    "LOOKUP_RETRY_AFTER_S",
    "ORIGIN_RULES",
    "Continued",
    "OriginInput",
    "OriginRule",
    "Unresumable",
    "origin_rule",
]

# Retry-After while nodes that may know the origin, or the store, do not reply: a node
# that is cut off or has just started knows the others again after about this time.
LOOKUP_RETRY_AFTER_S = 0.5


@dataclass(slots=True)
class OriginInput:
    """Input of a rule.

    Attributes
    ----------
    origin : StreamOrigin or None
        The recorded origin, if it was found.
    is_uncertain : bool
        Whether the server of the origin may have been of another version.
    only_version : str or None
        The only version that the service has had of late, as far as this node knows.
    is_confirmed : bool
        Whether the store has confirmed this since the request arrived.
    service : str
        Service to which the request would go.
    services : set of str
        Services to which its route may send it.
    is_complete : bool
        Whether all nodes that may know the origin have replied.
    names_origin : bool
        Whether the caller names the attempt that brought its first event.
    """

    origin: StreamOrigin | None
    is_uncertain: bool
    only_version: str | None
    service: str
    services: set[str]
    is_confirmed: bool = True
    is_complete: bool = True
    names_origin: bool = True


@dataclass(slots=True, frozen=True)
class Continued:
    """The stream may go on at servers of an origin.

    Attributes
    ----------
    origin : StreamOrigin
        Service and version of these servers.
    basis : str
        Why this is certain.
    """

    origin: StreamOrigin
    basis: str


@dataclass(slots=True, frozen=True)
class Unresumable:
    """The stream may not go on.

    Attributes
    ----------
    reason : str
        Why, for the caller.
    retry_after_s : float or None
        When the origin may be known, in seconds; None if it will not be.
    """

    reason: str
    retry_after_s: float | None = None


OriginRule = Callable[[OriginInput], Continued | Unresumable]
ORIGIN_RULES: dict[str, OriginRule] = {}


def origin_rule(name: str) -> Callable[[OriginRule], OriginRule]:
    """Register a rule under a name."""

    def register(rule: OriginRule) -> OriginRule:
        ORIGIN_RULES[name] = rule
        return rule

    return register


@origin_rule("recorded_or_only")
def recorded_or_only(inputs: OriginInput) -> Continued | Unresumable:
    """Go on at the recorded version, or at the only one that there has been."""
    origin = inputs.origin
    if origin is not None:
        if origin.service not in inputs.services:
            return Unresumable("the service that began the stream has left its route")
        if inputs.is_uncertain or not origin.software_version:
            return Unresumable("it is not certain which software version began it")
        return Continued(origin, "recorded")
    if inputs.only_version is not None and inputs.services == {inputs.service}:
        if not inputs.is_confirmed:
            reason = "servers of another software version may have joined"
            return Unresumable(reason, LOOKUP_RETRY_AFTER_S)
        return Continued(
            StreamOrigin(inputs.service, inputs.only_version), "only version"
        )
    if not inputs.names_origin:
        return Unresumable("no Resumes header names the attempt that began the stream")
    if not inputs.is_complete:
        reason = "the nodes that know which software version began it do not reply"
        return Unresumable(reason, LOOKUP_RETRY_AFTER_S)
    return Unresumable("it is not known which software version began the stream")
