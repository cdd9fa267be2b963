"""State of the replicas that an entry keeps at standbys."""

from dataclasses import dataclass, field

from rosemaryknot.request.generations import Generation

__all__ = ["ReplicatedGeneration", "ReplicaKey", "AbandonedReplica", "StandbyState"]

ReplicaKey = tuple[str, str]


@dataclass(slots=True)
class ReplicatedGeneration:
    """A generation to be replicated to a standby.

    Attributes
    ----------
    generation : Generation
        Replicated generation.
    standby : str
        Node that holds the replica; empty if there is none.
    sent : int
        Number of tokens that the standby has.
    avoided : str
        Node that stopped responding, not to be chosen again.
    last_attempt_s : float
        Time of the last attempt to find a standby, in trio time.
    """

    generation: Generation
    standby: str = ""
    sent: int = 0
    avoided: str = ""
    last_attempt_s: float = 0.0

    @property
    def key(self) -> ReplicaKey:
        """Customer and request id."""
        return self.generation.customer, self.generation.request_id


@dataclass(slots=True)
class StandbyState:
    """State of one standby.

    Attributes
    ----------
    failures : int
        Consecutive batches without a response.
    last_response_s : float
        Time of the last response, in trio time.
    """

    failures: int = 0
    last_response_s: float = field(default=float("-inf"))


@dataclass(slots=True)
class AbandonedReplica:
    """A replica at a standby that stopped responding, to be removed there later.

    If it remained and the relay failed, the standby would take over a request that
    has ended or that another standby takes over.

    Attributes
    ----------
    standby : str
        Node that may still hold the replica.
    replica : ReplicatedGeneration
        The replicated generation.
    """

    standby: str
    replica: ReplicatedGeneration
