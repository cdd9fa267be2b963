"""What gateways tell each other."""

import math
from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "ConfigurationTold",
    "ConfigurationWanted",
    "DutyReports",
    "GatewayReport",
    "HubReport",
    "HubSum",
    "LoadReport",
    "StateOffer",
    "StoreChanges",
]


@message("gateway_report")
@dataclass(slots=True)
class GatewayReport(Message):
    """State of one gateway; each one replaces the one before, so losses mend.

    Attributes
    ----------
    node : str
        Its name.
    incarnation : int
        Its life; totals start anew with it.
    sequence : int
        Rises with each report.
    clock_s : float
        Its time of day, in seconds of the epoch.
    version : int
        Its configuration; -1 where it has none.
    revisions : dict
        By kind of object: revision of the store up to which it knows them.
    seen : dict
        By kind of object: revision of the newest change that it has taken over.
    returned_ago_s : float
        How long ago it found the store again after a call that had failed, in
        seconds; infinite where it never did.
    spent : dict
        By customer: units taken since its start, and units asked for in a second.
    runs : dict
        By usage window, customer: requests that began to run.
    demand : dict
        By service: prompt tokens in a second, requests in flight, tokens that a
        server reads in a second.
    lost : list of str
        Kinds of objects for which the store does not answer it.
    counted_s : float
        Agreed time of day up to which ``runs`` are counted, in seconds of the epoch.
    """

    kind: ClassVar[str]
    node: str
    incarnation: int
    sequence: int
    clock_s: float
    version: int
    revisions: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    returned_ago_s: float = math.inf
    spent: dict = field(default_factory=dict)
    runs: dict = field(default_factory=dict)
    demand: dict = field(default_factory=dict)
    lost: list = field(default_factory=list)
    counted_s: float = 0.0


@message("gateway_load")
@dataclass(slots=True)
class LoadReport(Message):
    """What one gateway has in flight; each one replaces the one before.

    Attributes
    ----------
    node : str
        Its name.
    loads : dict
        By server's life: requests in flight, and prompt tokens that wait. A life is
        named by its text, so that sums keep the lives of one server apart.
    places : list
        Parts of prompts and the servers' lives that they went to since the last report.
    """

    kind: ClassVar[str]
    node: str
    loads: dict = field(default_factory=dict)
    places: list = field(default_factory=list)


@message("gateway_state")
@dataclass(slots=True)
class StateOffer(Message):
    """Newer objects of the store, for a gateway that cannot reach it.

    Attributes
    ----------
    kind_name : str
        Kind of the objects.
    revision : int
        Of the store, up to which changes are in it.
    objects : dict
        Revision and value by name, all of the kind.
    """

    kind: ClassVar[str]
    kind_name: str
    revision: int
    objects: dict = field(default_factory=dict)


@message("configuration_told")
@dataclass(slots=True)
class ConfigurationTold(Message):
    """A version of the configuration, whole or as a difference to another one.

    Attributes
    ----------
    version : int
        Its version; -1 where the sender has none.
    revision : int
        Of the store, at which it was written.
    base : int
        Digest of the document that ``packed`` refers to; 0 where it is whole.
    packed : bytes
        See `rosemaryknot.process.gateway_documents`.
    """

    kind: ClassVar[str]
    version: int
    revision: int
    base: int = 0
    packed: bytes = b""


@message("configuration_wanted")
@dataclass(slots=True)
class ConfigurationWanted(Message):
    """Asks a gateway for its configuration; answered by `ConfigurationTold`.

    Attributes
    ----------
    version : int
        What the sender goes by; -1 for none.
    digest : int
        Of its document, which the answer may refer to; 0 for none.
    """

    kind: ClassVar[str]
    version: int
    digest: int = 0


@message("store_changes")
@dataclass(slots=True)
class StoreChanges(Message):
    """Changes of the store, as a node that watches it was told them.

    Attributes
    ----------
    kind_name : str
        Kind of the objects.
    before, revision : int
        Of the store: the changes are all those after the first, up to the second.
    events : list of list
        Name, revision, value and whether it was deleted, in order.
    """

    kind: ClassVar[str]
    kind_name: str
    before: int
    revision: int
    events: list = field(default_factory=list)


@message("hub_report")
@dataclass(slots=True)
class HubReport(Message):
    """State of one gateway of a large deployment, for the hub of its zone.

    Attributes
    ----------
    node : str
        Its name.
    incarnation, sequence : int
        Its life, and a number that rises with each report.
    version : int
        Its configuration.
    revisions, seen : dict
        By kind of object, as in `GatewayReport`.
    returned_ago_s : float
        As in `GatewayReport`.
    lost : list of str
        Kinds of objects for which the store does not answer it.
    watches : bool
        Whether it watches the store for others.
    holds : bool
        Whether it holds the lease of the duties.
    spent : dict
        By customer: units taken since its start, and units asked for in a second.
    loads : dict
        By server's life: requests in flight, and prompt tokens that wait. A life is
        named by its text, so that sums keep the lives of one server apart.
    duties : list
        What only duties need, for the hub to pass on: of the `GatewayReport` that it
        stands for, the sequence, both times of day, runs and demand. Empty where it
        was told lately.
    """

    kind: ClassVar[str]
    node: str
    incarnation: int
    sequence: int
    version: int
    revisions: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    returned_ago_s: float = math.inf
    lost: list = field(default_factory=list)
    watches: bool = False
    holds: bool = False
    spent: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    duties: list = field(default_factory=list)


@message("duty_reports")
@dataclass(slots=True)
class DutyReports(Message):
    """What only duties need of the gateways of a zone, passed on by its hub.

    Attributes
    ----------
    reports : list of list
        By gateway: its name, its life, and what its `HubReport` told for duties.
    """

    kind: ClassVar[str]
    reports: list = field(default_factory=list)


@message("hub_sum")
@dataclass(slots=True)
class HubSum(Message):
    """What gateways that report to one hub have in common, for them and other hubs.

    Attributes
    ----------
    hub : str
        Name of the hub.
    incarnation : int
        Its life; totals start anew with it.
    is_region : bool
        Whether the sums of the other hubs are in it.
    clock_s : float
        The agreed time of day at the hub, in seconds of the epoch.
    nodes : int
        Gateways that it counts.
    version : int
        Newest configuration among them.
    seen : dict
        By kind of object: revision of the newest change that one of them knows.
    returned_ago_s : float
        How long ago the last of them found the store again, as in `GatewayReport`.
    watching : dict
        By kind of object: gateways that watch it for others and reach the store.
    holders : list of str
        Gateways that hold the lease of the duties, as they believe.
    spent : dict
        By customer: units taken since the hub's start, and asked for in a second.
    loads : dict
        By server's life: requests in flight, and prompt tokens that wait. A life is
        named by its text, so that sums keep the lives of one server apart.
    counted : dict
        By gateway that reports to the hub: sequence of the report that is counted.
    """

    kind: ClassVar[str]
    hub: str
    incarnation: int
    is_region: bool
    clock_s: float
    nodes: int
    version: int
    seen: dict = field(default_factory=dict)
    returned_ago_s: float = math.inf
    watching: dict = field(default_factory=dict)
    holders: list = field(default_factory=list)
    spent: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    counted: dict = field(default_factory=dict)
