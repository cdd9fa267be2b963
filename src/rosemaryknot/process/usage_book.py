"""Usage by window of true time: how many requests of each customer began to run."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from rosemaryknot.process.logs import logger

__all__ = ["UsageBook", "counts_of"]

# Windows that are kept; long enough for a duty that changes hands in an outage.
KEPT_WINDOWS = 12
# Windows that are told to the others each time.
TOLD_WINDOWS = 4
# Windows that are kept in the store: the current one, and those that may not be told.
KEPT_IN_STORE = 3

# Characters of unreadable usage in a log line.
MAX_SHOWN = 80

Counts = dict[str, int]

log = logger("usage")


def counts_of(value: Any) -> Counts:
    """Return counts that were read from the store.

    Raises
    ------
    ValueError
        If they are none.

    Examples
    --------
    >>> counts_of({"ada": 3})
    {'ada': 3}
    """
    if not isinstance(value, dict):
        raise ValueError("counts are no object")
    for name, count in value.items():
        if not isinstance(name, str) or type(count) is not int or count < 0:
            raise ValueError(f"no count: {name!r}")
    return value


class UsageBook:
    """Counts of this gateway, and the latest that the others told.

    Parameters
    ----------
    node : str
        This gateway.
    incarnation : int
        Its life. A restarted gateway counts from zero; what the life before it had
        told stays.
    window_s : float
        Length of a window, in seconds.

    Examples
    --------
    >>> book = UsageBook("n1", 1, 5.0)
    >>> book.note("ada", 12.0)
    >>> book.note_told("n2", 7, {2: {"ada": 3}})
    >>> book.total(2, ["ada", "bob"])
    {'ada': 4, 'bob': 0}
    """

    def __init__(self, node: str, incarnation: int, window_s: float) -> None:
        self.own = (node, incarnation)
        self.window_s = window_s
        self.counts: dict[int, dict[tuple[str, int], Counts]] = defaultdict(dict)
        self.counted_s: dict[str, float] = {}

    def window_of(self, true_s: float) -> int:
        """Return the number of the window at a time."""
        return int(true_s // self.window_s)

    def note(self, customer: str, true_s: float) -> None:
        """Count a request that began to run."""
        counts = self.counts[self.window_of(true_s)].setdefault(self.own, {})
        counts[customer] = counts.get(customer, 0) + 1

    def note_told(self, node: str, incarnation: int, runs: dict) -> None:
        """Take over the counts of another gateway; they only rise in one life."""
        for window, told in runs.items():
            known = self.counts[int(window)].setdefault((node, incarnation), {})
            for customer, count in told.items():
                known[customer] = max(known.get(customer, 0), int(count))

    def note_counted(self, node: str, true_s: float) -> None:
        """Note up to when another gateway's counts are known."""
        self.counted_s[node] = max(true_s, self.counted_s.get(node, 0.0))

    def told(self, true_s: float) -> dict[int, Counts]:
        """Return this gateway's counts of the latest windows."""
        last = self.window_of(true_s)
        windows = range(last - TOLD_WINDOWS + 1, last + 1)
        return {
            window: dict(self.counts[window][self.own])
            for window in windows
            if self.own in self.counts.get(window, {})
        }

    def kept(self, true_s: float) -> dict[str, dict[str, Counts]]:
        """Return the latest windows of all gateways, to be kept in the store.

        Where all gateways are killed at once, what they told each other is lost with
        them; what stands in the store is not.
        """
        last = self.window_of(true_s)
        return {
            str(window): {
                f"{node}/{incarnation}": dict(counts)
                for (node, incarnation), counts in self.counts[window].items()
            }
            for window in range(last - KEPT_IN_STORE + 1, last + 1)
            if window in self.counts
        }

    def take_kept(self, kept: dict) -> None:
        """Take over what a gateway has kept in the store, as far as it can be read."""
        try:
            for window, by_life in kept.items():
                for life, counts in by_life.items():
                    node, _, incarnation = life.rpartition("/")
                    told = {int(window): counts_of(counts)}
                    self.note_told(node, int(incarnation), told)
        except (AttributeError, TypeError, ValueError):
            # Another writer's; an error here would end the node with the lease.
            log.warning("kept usage cannot be read", kept=str(kept)[:MAX_SHOWN])

    def total(self, window: int, customers: Iterable[str]) -> Counts:
        """Return the counts of a window over all gateways."""
        total = dict.fromkeys(customers, 0)
        for counts in self.counts.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def forget(self, true_s: float) -> None:
        """Drop windows that are long over."""
        oldest = self.window_of(true_s) - KEPT_WINDOWS
        for window in [window for window in self.counts if window < oldest]:
            del self.counts[window]
