"""Usage by window of synchronized time: started requests of each customer."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from rosemaryknot.process.logs import logger

__all__ = ["UsageTracker", "counts_of"]

# Number of windows retained: long enough for the duty that reports usage (a task that
# only the holder of a lease performs) to move to another holder during an outage.
RETAINED_WINDOWS = 12
# Number of windows in each report to the other gateways.
REPORTED_WINDOWS = 4
# Number of windows in the store: the current one, and those that may not have been
# reported to the platform.
STORED_WINDOWS = 3

# Maximum number of characters of invalid usage in a log line.
MAX_LOGGED_CHARS = 80

Counts = dict[str, int]

log = logger("usage")


def counts_of(value: Any) -> Counts:
    """Return counts that were read from the store, after validation.

    Raises
    ------
    ValueError
        If the value does not map names to counts.

    Examples
    --------
    >>> counts_of({"ada": 3})
    {'ada': 3}
    """
    if not isinstance(value, dict):
        raise ValueError("counts are not an object")
    for name, count in value.items():
        if not isinstance(name, str) or type(count) is not int or count < 0:
            raise ValueError(f"invalid count for {name!r}")
    return value


class UsageTracker:
    """Counts of this gateway, and the latest counts reported by the others.

    Parameters
    ----------
    node : str
        Name of this gateway.
    incarnation : int
        Incarnation of this gateway. A restarted gateway counts from zero; the counts
        that its previous incarnation reported remain.
    window_s : float
        Length of a window, in seconds.

    Examples
    --------
    >>> tracker = UsageTracker("n1", 1, 5.0)
    >>> tracker.record("ada", 12.0)
    >>> tracker.record_report("n2", 7, {2: {"ada": 3}})
    >>> tracker.total(2, ["ada", "bob"])
    {'ada': 4, 'bob': 0}
    """

    def __init__(self, node: str, incarnation: int, window_s: float) -> None:
        self.own = (node, incarnation)
        self.window_s = window_s
        self.counts: dict[int, dict[tuple[str, int], Counts]] = defaultdict(dict)
        self.counted_s: dict[str, float] = {}

    def window_of(self, synchronized_s: float) -> int:
        """Return the number of the window that contains a time."""
        return int(synchronized_s // self.window_s)

    def record(self, customer: str, synchronized_s: float) -> None:
        """Count a request that started to run."""
        counts = self.counts[self.window_of(synchronized_s)].setdefault(self.own, {})
        counts[customer] = counts.get(customer, 0) + 1

    def record_report(self, node: str, incarnation: int, runs: dict) -> None:
        """Apply another gateway's counts, which only increase in one incarnation."""
        for window, report in runs.items():
            known = self.counts[int(window)].setdefault((node, incarnation), {})
            for customer, count in report.items():
                known[customer] = max(known.get(customer, 0), int(count))

    def record_counted(self, node: str, synchronized_s: float) -> None:
        """Record the time up to which another gateway's counts are known."""
        self.counted_s[node] = max(synchronized_s, self.counted_s.get(node, 0.0))

    def report(self, synchronized_s: float) -> dict[int, Counts]:
        """Return this gateway's counts of the latest windows, to send to the others."""
        last = self.window_of(synchronized_s)
        windows = range(last - REPORTED_WINDOWS + 1, last + 1)
        return {
            window: dict(self.counts[window][self.own])
            for window in windows
            if self.own in self.counts.get(window, {})
        }

    def to_store(self, synchronized_s: float) -> dict[str, dict[str, Counts]]:
        """Return the latest windows of all gateways, to be written to the store.

        If all gateways are killed simultaneously, the counts that they reported to each
        other are lost; those in the store are not.
        """
        last = self.window_of(synchronized_s)
        return {
            str(window): {
                f"{node}/{incarnation}": dict(counts)
                for (node, incarnation), counts in self.counts[window].items()
            }
            for window in range(last - STORED_WINDOWS + 1, last + 1)
            if window in self.counts
        }

    def restore(self, record: dict) -> None:
        """Apply counts from the store, up to the first entry that is not valid."""
        try:
            for window, by_incarnation in record.items():
                for source, counts in by_incarnation.items():
                    node, _, incarnation = source.rpartition("/")
                    report = {int(window): counts_of(counts)}
                    self.record_report(node, int(incarnation), report)
        except (AttributeError, TypeError, ValueError):
            # Written by another program. An error here would stop the node that holds
            # the lease.
            log.warning(
                "invalid usage in the store", kept=str(record)[:MAX_LOGGED_CHARS]
            )

    def total(self, window: int, customers: Iterable[str]) -> Counts:
        """Return the counts of a window over all gateways."""
        total = dict.fromkeys(customers, 0)
        for counts in self.counts.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def remove_expired(self, synchronized_s: float) -> None:
        """Remove windows that are past their retention."""
        oldest = self.window_of(synchronized_s) - RETAINED_WINDOWS
        for window in [window for window in self.counts if window < oldest]:
            del self.counts[window]
