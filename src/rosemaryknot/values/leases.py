"""What the object of a lease holds."""

from dataclasses import asdict, dataclass, field
from typing import Any

__all__ = ["LeaseRecord"]

# A number that rises by one at each change of holder never gets there.
MAX_FENCING = 2**53
# Longer than any lease of ours lasts, ten seconds.
MAX_DURATION_S = 60.0


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """A lease as the object API holds it.

    Attributes
    ----------
    holder : str
        Who holds it; empty where the last holder gave it back.
    fencing : int
        Rises at each change of holder.
    write_id : str
        Of the write that made this record, by which its writer knows it again.
    duration_s : float
        How long the lease lasts after the write was sent, in seconds.
    leaving : tuple of str
        Instances that a holder has decided to release. A decision is never taken
        back, so that an order to release one of them is right at any later time.
    notes : dict
        What the holders of the duty leave to the next one, by name.
    """

    holder: str
    fencing: int
    write_id: str
    duration_s: float
    leaving: tuple[str, ...] = field(default=())
    notes: dict[str, Any] = field(default_factory=dict)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value."""
        return asdict(self) | {"leaving": list(self.leaving)}

    @classmethod
    def from_value(cls, value: Any) -> "LeaseRecord | None":
        """Return the record of a JSON value, or None where it is none.

        Examples
        --------
        >>> record = LeaseRecord("waco-a-1/7", 3, "w1", 10.0, ("e1",))
        >>> LeaseRecord.from_value(record.to_value()) == record
        True
        >>> LeaseRecord.from_value([]) is None
        True
        """
        try:
            record = cls(
                holder=value["holder"],
                fencing=value["fencing"],
                write_id=value["write_id"],
                duration_s=float(value["duration_s"]),
                leaving=tuple(str(name) for name in value["leaving"]),
                notes=dict(value.get("notes") or {}),
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            return None
        return record if record.is_sound() else None

    def is_sound(self) -> bool:
        """Tell whether its fields can be those of a lease.

        Another writer's record with a number beyond all that can be counted, or a
        time without end, would keep every node from the lease for good.
        """
        return (
            isinstance(self.holder, str)
            and isinstance(self.write_id, str)
            and type(self.fencing) is int
            and 0 <= self.fencing <= MAX_FENCING
            and 0 < self.duration_s <= MAX_DURATION_S
        )
