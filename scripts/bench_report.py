"""Figures of one played day, read from the report of the users' bench."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

__all__ = ["PARTS", "PlayedDay", "read_report"]

# The bench's names of the parts of worth, by ours.
PARTS = {
    "whole day": "whole_day",
    "worst windows": "worst_windows",
    "worst class": "worst_class",
    "worst zone": "worst_zone",
}


@dataclass(slots=True)
class PlayedDay:
    """One play of one variant.

    Attributes
    ----------
    variant, site, day : str
        What was played.
    seed : int or None
        None for the day's own.
    worth : float
        After prices.
    served : float
        Share of the worth that was served.
    late, refused, failed : float
        Shares of the requests that were owed an answer.
    parts : dict of str to float
        Worst windows, class and zone.
    prices : dict of str to float
        Worth paid, by the bench's name of the price.
    rules : dict of str to int
        Broken rules.
    error : str
        Why there are no figures; empty where there are.
    """

    variant: str
    site: str
    day: str
    seed: int | None
    worth: float = 0.0
    served: float = 0.0
    late: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)
    rules: dict[str, int] = field(default_factory=dict)
    error: str = ""

    @property
    def key(self) -> tuple[str, str, str, int | None]:
        """What tells plays apart."""
        return self.variant, self.site, self.day, self.seed

    @property
    def figures(self) -> dict[str, float]:
        """All figures by name, prices behind the others."""
        own = {
            name: getattr(self, name)
            for name in ("worth", "served", "late", "refused", "failed")
        }
        return own | self.parts | {f"- {k}": v for k, v in self.prices.items()}

    def to_json(self) -> str:
        """Return one line for programs."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, line: str) -> "PlayedDay":
        """Read a line of `to_json`."""
        return cls(**json.loads(line))


def read_report(played: PlayedDay, path: Path) -> PlayedDay:
    """Take over the figures of a report; note an error where there is none."""
    try:
        report = json.loads(path.read_text(encoding="utf-8"))
        everyone = report["all"]
        owed = max(1, everyone["n"] - everyone["not_owed"])
        played.worth = report["G"]
        played.served = report["served"]
        for name in ("late", "refused", "failed"):
            setattr(played, name, everyone[name] / owed)
        played.parts = {
            PARTS[name]: value for name, _, value in report["parts"] if name in PARTS
        }
        played.prices = {name: worth for name, _, worth in report["prices"] if worth}
        played.rules = dict(report["breaks"])
    except (OSError, ValueError, LookupError, TypeError) as error:
        played.error = f"no report: {error!r}"
    return played
