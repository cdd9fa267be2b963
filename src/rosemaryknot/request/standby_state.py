"""What an entry knows of its standby copies."""

from dataclasses import dataclass, field

from rosemaryknot.request.generations import Generation

__all__ = ["Copied", "CopyKey", "GivenUp", "StandbyState"]

CopyKey = tuple[str, str]


@dataclass(slots=True)
class Copied:
    """A generation that is to have a copy.

    Attributes
    ----------
    generation : Generation
        What is copied.
    standby : str
        Node that holds the copy; empty while none does.
    sent : int
        Tokens that the standby has.
    avoided : str
        Node that stopped to answer.
    tried_s : float
        When a standby was last looked for, in trio time.
    """

    generation: Generation
    standby: str = ""
    sent: int = 0
    avoided: str = ""
    tried_s: float = 0.0

    @property
    def key(self) -> CopyKey:
        """Customer and id."""
        return self.generation.customer, self.generation.request_id


@dataclass(slots=True)
class StandbyState:
    """What is known of one standby.

    Attributes
    ----------
    failures : int
        Batches in a row without an answer.
    heard_s : float
        When it last answered, in trio time.
    """

    failures: int = 0
    heard_s: float = field(default=float("-inf"))


@dataclass(slots=True)
class GivenUp:
    """A copy at a standby that stopped to answer, to be dropped there later.

    Without it the standby would take over, when the relay dies, a request that
    another standby goes on with or that has long ended.

    Attributes
    ----------
    standby : str
        Node that may still hold the copy.
    copied : Copied
        What was copied.
    """

    standby: str
    copied: Copied
