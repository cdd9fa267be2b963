"""Messages between gateways."""

import math
from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "ConfigurationReply",
    "ConfigurationRequest",
    "CrashNotice",
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
    """State of one gateway.

    Each report replaces the previous one, so a lost report needs no retransmission.

    Attributes
    ----------
    node : str
        Name of the gateway.
    incarnation : int
        Incarnation of the gateway; totals restart with it.
    sequence : int
        Increases with each report.
    clock_s : float
        Its wall clock, in seconds since the epoch.
    version : int
        Version of its configuration; -1 if it has none.
    revisions : dict
        By kind of object: revision of the store up to which it knows all changes.
    seen : dict
        By kind of object: revision of the newest change that it has applied.
    returned_ago_s : float
        How long ago the store became reachable again after a failed call, in
        seconds; infinite if that never happened.
    spent : dict
        By customer: units acquired since the start of the gateway, and units
        requested per second.
    runs : dict
        By usage window and customer: requests that began to run.
    demand : dict
        By service: prompt tokens per second, requests in flight, and tokens that a
        server prefills per second.
    lost : list of str
        Kinds of objects for which the store does not respond to it.
    counted_s : float
        Time on the synchronized clock up to which ``runs`` are counted, in seconds
        since the epoch.
    eras : dict
        By kind of object: era of the store to which ``revisions`` and ``seen`` belong.
        Without one, it is not known.
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
    eras: dict = field(default_factory=dict)


@message("gateway_load")
@dataclass(slots=True)
class LoadReport(Message):
    """Requests that one gateway has in flight; each report replaces the previous one.

    Attributes
    ----------
    node : str
        Name of the gateway.
    loads : dict
        By server incarnation: requests in flight, and prompt tokens pending prefill.
        The text form of the incarnation is the key, so that aggregates keep the
        incarnations of one server apart.
    places : list
        Prompt segments sent since the last report, each with the server incarnation
        that got it.
    """

    kind: ClassVar[str]
    node: str
    loads: dict = field(default_factory=dict)
    places: list = field(default_factory=list)


@message("gateway_state")
@dataclass(slots=True)
class StateOffer(Message):
    """Newer objects of the store, for a gateway that does not list them itself.

    Attributes
    ----------
    kind_name : str
        Kind of the objects.
    revision : int
        Revision of the store up to which changes are included.
    objects : dict
        Revision and value of all objects of the kind, by name.
    era : int
        Era of the store to which the revisions belong; 0 if it is not known.
    """

    kind: ClassVar[str]
    kind_name: str
    revision: int
    objects: dict = field(default_factory=dict)
    era: int = 0


@message("configuration_told")
@dataclass(slots=True)
class ConfigurationReply(Message):
    """A version of the configuration, complete or as a difference from another one.

    Attributes
    ----------
    version : int
        Version; -1 if the sender has none.
    revision : int
        Revision of the store at which it was written.
    base : int
        Digest of the document that ``packed`` is based on; 0 if it is complete.
    packed : bytes
        Compressed document; see `rosemaryknot.process.gateway_documents`.
    era : int
        Era of the store to which the revision belongs; 0 if it is not known.
    """

    kind: ClassVar[str]
    version: int
    revision: int
    base: int = 0
    packed: bytes = b""
    era: int = 0


@message("configuration_wanted")
@dataclass(slots=True)
class ConfigurationRequest(Message):
    """Request for a gateway's configuration; answered by `ConfigurationReply`.

    Attributes
    ----------
    version : int
        Version that the sender uses; -1 for none.
    digest : int
        Digest of the sender's document, on which the reply may be based; 0 for none.
    """

    kind: ClassVar[str]
    version: int
    digest: int = 0


@message("store_changes")
@dataclass(slots=True)
class StoreChanges(Message):
    """Changes of the store, forwarded by a node that watches it.

    Attributes
    ----------
    kind_name : str
        Kind of the objects.
    before, revision : int
        Revisions of the store: all changes after the first one and up to the second
        one are included.
    events : list of list
        Name, revision, value and deletion flag of each change, in order.
    era : int
        Era of the store to which the revisions belong; 0 if it is not known.
    """

    kind: ClassVar[str]
    kind_name: str
    before: int
    revision: int
    events: list = field(default_factory=list)
    era: int = 0


@message("crash_notice")
@dataclass(slots=True)
class CrashNotice(Message):
    """Requests during which servers crashed, and requests that were cleared of it.

    Notices are merged: one that is repeated, or arrives late, changes nothing.

    Attributes
    ----------
    records : list of list
        For each request: its digest, the customer, its crashes (each with server
        incarnation, service and age in seconds), whether it completed before, whether
        it has had its trial and whether it is stored.
    cleared : list of list
        For each cleared request: its digest, and the server incarnations whose crashes
        no longer count against it.
    is_forwarded : bool
        Whether a relay has forwarded the notice to the nodes of its zone.
    segments : list of list
        For each segment of prompts: its digest, the customer, its id, its crashes (each
        with server incarnation, service, age, duration of the response and digests of
        requests), the number of its trials, the time since the last one and whether it
        is stored. Times are in seconds.
    era : int
        Era of the store in which the records are stored; 0 if it is not known.
    """

    kind: ClassVar[str]
    records: list = field(default_factory=list)
    cleared: list = field(default_factory=list)
    is_forwarded: bool = False
    segments: list = field(default_factory=list)
    era: int = 0


@message("hub_report")
@dataclass(slots=True)
class HubReport(Message):
    """State of one gateway of a large deployment, sent to the hub of its zone.

    A hub is the gateway of a zone that aggregates the reports of the others. A duty is
    a task that only the holder of a lease performs.

    Attributes
    ----------
    node : str
        Name of the gateway.
    incarnation, sequence : int
        Incarnation of the gateway, and a number that increases with each report.
    version : int
        Version of its configuration.
    revisions, seen : dict
        By kind of object, as in `GatewayReport`.
    returned_ago_s : float
        As in `GatewayReport`.
    lost : list of str
        Kinds of objects for which the store does not respond to it.
    watches : bool
        Whether it watches the store on behalf of others.
    holds : bool
        Whether it holds the lease of the duties.
    spent : dict
        By customer: units acquired since the start of the gateway, and units
        requested per second.
    loads : dict
        By server incarnation: requests in flight, and prompt tokens pending prefill.
        The text form of the incarnation is the key, so that aggregates keep the
        incarnations of one server apart.
    duties : list
        Fields that only duties need, for the hub to forward: the sequence, both
        times, runs and demand of the `GatewayReport` that this report represents.
        Empty if they were sent recently.
    eras : dict
        As in `GatewayReport`.
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
    eras: dict = field(default_factory=dict)


@message("duty_reports")
@dataclass(slots=True)
class DutyReports(Message):
    """Fields that only duties need of the gateways of a zone, forwarded by its hub.

    Attributes
    ----------
    reports : list of list
        For each gateway: its name, its incarnation and ``duties`` of its `HubReport`.
    """

    kind: ClassVar[str]
    reports: list = field(default_factory=list)


@message("hub_sum")
@dataclass(slots=True)
class HubSum(Message):
    """Aggregate of the gateways that report to one hub, for them and for other hubs.

    Attributes
    ----------
    hub : str
        Name of the hub.
    incarnation : int
        Incarnation of the hub; totals restart with it.
    is_region : bool
        Whether the aggregates of the other hubs are included.
    clock_s : float
        Time on the synchronized clock of the hub, in seconds since the epoch.
    nodes : int
        Number of gateways included.
    version : int
        Newest configuration among them.
    seen : dict
        By kind of object: revision of the newest change that one of them knows.
    returned_ago_s : float
        How long ago the store last became reachable again for one of them, as in
        `GatewayReport`.
    watching : dict
        By kind of object: gateways that watch it on behalf of others and reach the
        store.
    holders : list of str
        Gateways that believe to hold the lease of the duties.
    spent : dict
        By customer: units acquired since the start of the hub, and units requested
        per second.
    loads : dict
        By server incarnation: requests in flight, and prompt tokens pending prefill.
        The text form of the incarnation is the key, so that aggregates keep the
        incarnations of one server apart.
    counted : dict
        By gateway that reports to the hub: sequence of the report that is included.
    eras : dict
        By kind of object: era of the store to which ``seen`` belongs.
    version_at : str
        A gateway that has the newest configuration; empty if it is not known.
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
    eras: dict = field(default_factory=dict)
    version_at: str = ""
