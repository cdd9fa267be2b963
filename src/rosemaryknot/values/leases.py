"""Record of a lease in the object store."""

from dataclasses import asdict, dataclass, field
from typing import Any

__all__ = ["MAX_FENCING", "LeaseRecord"]

# Upper bound for a valid fencing token. A token that increases by one at each change of
# holder never reaches it.
MAX_FENCING = 2**53
# Upper bound for a valid duration. Leases of this project last ten seconds.
MAX_DURATION_S = 60.0


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """A lease, as stored through the object API.

    Attributes
    ----------
    holder : str
        Current holder; empty if the last holder released the lease.
    fencing : int
        Fencing token, which increases at each change of holder.
    write_id : str
        Id of the write that made this record, by which the writer recognizes it.
    duration_s : float
        How long the lease lasts after the write was sent, in seconds.
    leaving : tuple of str
        Instances that a holder has decided to release. A decision is never revoked,
        so an order to release one of them is valid at any later time.
    notes : dict
        State that a holder of the duty passes to the next one, by name. A duty is a
        task that only the holder of a lease performs.
    era : int
        Era of the store in which the record was written; 0 if the store states none. A
        record of an earlier era comes from the copy that the store was restored from:
        later ones may have been lost.
    """

    holder: str
    fencing: int
    write_id: str
    duration_s: float
    leaving: tuple[str, ...] = field(default=())
    notes: dict[str, Any] = field(default_factory=dict)
    era: int = 0

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value."""
        return asdict(self) | {"leaving": list(self.leaving)}

    @classmethod
    def from_value(cls, value: Any) -> "LeaseRecord | None":
        """Return the record of a JSON value, or None if it is not valid.

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
                era=value.get("era", 0),
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            return None
        return record if record.is_valid() else None

    def is_valid(self) -> bool:
        """Return whether the types and ranges of the fields are valid.

        A record by another writer with an excessive fencing token or an infinite
        duration would keep every node from acquiring the lease indefinitely.
        """
        return (
            isinstance(self.holder, str)
            and isinstance(self.write_id, str)
            and type(self.fencing) is int
            and 0 <= self.fencing <= MAX_FENCING
            and 0 < self.duration_s <= MAX_DURATION_S
            and type(self.era) is int
            and self.era >= 0
        )
