"""Switches that disable safeguards in tests.

They cannot be configured: a process creates `Safeguards()` with all of them enabled.
The fault runner disables one to verify that it detects the fault that the safeguard
prevents.
"""

from dataclasses import dataclass

__all__ = ["Safeguards"]


@dataclass(slots=True)
class Safeguards:
    """Safeguards by name; all are enabled in a running system.

    Attributes
    ----------
    claim_copy : bool
        A claim, or its closing, is replicated to a peer before it takes effect.
    close_attempts : bool
        Earlier attempts are closed before a request is refused with "not run".
    lineage_check : bool
        Text is joined only within one lineage.
    id_check : bool
        A frame with the id of another request is discarded.
    leaving_mark : bool
        A server known to be draining gets no new requests.
    standby_copy : bool
        An accepted long request is replicated to another node, and handed over when
        its entry drains.
    lease_margin : bool
        The holder of a lease measures its duration from before the write was sent,
        less a margin.
    additive_first : bool
        A new holder removes nothing until the state that it reads back is stable,
        and never without a record of it in the store.
    """

    claim_copy: bool = True
    close_attempts: bool = True
    lineage_check: bool = True
    id_check: bool = True
    leaving_mark: bool = True
    standby_copy: bool = True
    lease_margin: bool = True
    additive_first: bool = True
