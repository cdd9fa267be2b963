"""Switches of safeguards, which only tests may turn off.

No setting leads here: a process builds `Safeguards()` with everything on. The fault
runner turns one off to prove that it would find the fault which that one prevents.
"""

from dataclasses import dataclass

__all__ = ["Safeguards"]


@dataclass(slots=True)
class Safeguards:
    """Safeguards by name; all are on in a running system.

    Attributes
    ----------
    claim_copy : bool
        A claim or closing is copied to a peer before it counts.
    close_attempts : bool
        A refusal "not run" closes earlier attempts first.
    lineage_check : bool
        Text is spliced only within one lineage.
    id_check : bool
        A frame with another request's id reaches nobody.
    leaving_mark : bool
        A server known to be leaving gets no new work.
    standby_copy : bool
        An accepted long request is copied to another node, and handed over when
        its entry leaves.
    lease_margin : bool
        The holder of a lease counts its time from before the write was sent, less
        a margin.
    additive_first : bool
        A new holder takes nothing away before what it reads back is stable, and
        never without the store's record of it.
    """

    claim_copy: bool = True
    close_attempts: bool = True
    lineage_check: bool = True
    id_check: bool = True
    leaving_mark: bool = True
    standby_copy: bool = True
    lease_margin: bool = True
    additive_first: bool = True
