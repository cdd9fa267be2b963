"""The configuration that is in force in this process."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import structlog
import trio
from aioprometheus import Counter, Gauge, Registry

from rosemaryknot.values.configuration import (
    ConfigurationOffer,
    ConfigurationPush,
    document_digest,
)

__all__ = ["ApplyResult", "ConfigurationHolder", "ConfigurationMetrics", "View"]


class View(Protocol):
    """What the holder needs of a version's derived tables."""

    number: int
    digest: str
    document: Any


class ApplyResult(StrEnum):
    """What became of a version that was handed in."""

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    BAD_DIGEST = "bad_digest"
    UNUSABLE = "unusable"
    CONFLICT = "conflict"
    STOPPED = "stopped"


@dataclass(slots=True)
class Conflict:
    """Two documents under one number.

    Attributes
    ----------
    number : int
        The number.
    ours, theirs : str
        The two digests.
    source : str
        Where the other document came from.
    """

    number: int
    ours: str
    theirs: str
    source: str


class ConfigurationMetrics:
    """Metrics of the configuration in force.

    Parameters
    ----------
    registry : aioprometheus.Registry, optional
        Where they are shown.
    """

    def __init__(self, registry: Registry | None = None) -> None:
        registry = Registry() if registry is None else registry
        self.number = Gauge(
            "rosemaryknot_configuration_number",
            "Number of the configuration in force",
            registry=registry,
        )
        self.conflict = Gauge(
            "rosemaryknot_configuration_conflict",
            "1 while two documents are known under one number",
            registry=registry,
        )
        self.results = Counter(
            "rosemaryknot_configuration_applied_total",
            "Versions handed in, by result",
            registry=registry,
        )
        self.conflict.set({}, 0)
        self.number.set({}, 0)


class ConfigurationHolder:
    """Holds the version in force and lets only a higher one replace it.

    Parameters
    ----------
    derive : callable
        Makes the view of a number and a document;
        `rosemaryknot.version.view.ConfigurationView.from_document`.
    metrics : ConfigurationMetrics, optional
        Metrics to keep.

    Attributes
    ----------
    view : ConfigurationView or None
        The version in force; None until the first is known. Take it once at the
        start of a request.
    conflict : Conflict or None
        Set when a second document came under the number in force. No change is
        taken until an operator settles it.
    applied_at_s : float
        When the view came into force, in trio time.
    """

    def __init__(
        self,
        derive: Callable[[int, dict], Any],
        metrics: ConfigurationMetrics | None = None,
    ) -> None:
        self.derive = derive
        self.metrics = ConfigurationMetrics() if metrics is None else metrics
        self.log = structlog.get_logger()
        self.view: Any | None = None
        self.conflict: Conflict | None = None
        self.settled = 0
        self.applied_at_s = 0.0
        self.changed = trio.Event()

    @property
    def number(self) -> int:
        """Number of the version in force, or 0."""
        return 0 if self.view is None else self.view.number

    @property
    def offer(self) -> ConfigurationOffer:
        """What other nodes are told of the version in force."""
        return ConfigurationOffer(self.number, self.view.digest if self.view else "")

    @property
    def push(self) -> ConfigurationPush:
        """The version in force as a message; number 0 where there is none."""
        if self.view is None:
            return ConfigurationPush(0, "", {})
        return ConfigurationPush(
            self.view.number, self.view.digest, dict(self.view.document), self.settled
        )

    def apply(
        self,
        number: int,
        digest: str,
        document: dict,
        source: str,
        settles: int = 0,
    ) -> ApplyResult:
        """Put a version into force if it is higher, whole or not at all.

        Parameters
        ----------
        number : int
            Version.
        digest : str
            Digest that the source gave for the document.
        document : dict
            Configuration document.
        source : str
            Where it came from, for the log.
        settles : int
            Number up to which an operator settled a conflict by this version.

        Returns
        -------
        result : ApplyResult
            What became of it.
        """
        result = self.judge(number, digest, document, source, settles)
        if result is ApplyResult.APPLIED:
            result = self.replace(number, document, source, settles)
        self.metrics.results.inc({"result": str(result)})
        if result in (ApplyResult.BAD_DIGEST, ApplyResult.UNUSABLE):
            self.log.error(
                f"configuration: refused {number} from {source}: {result}",
                number=number,
            )
        return result

    def note_digest(self, number: int, digest: str, source: str) -> ApplyResult:
        """Compare a number and digest held elsewhere with what is in force.

        Parameters
        ----------
        number, digest
            The version held elsewhere.
        source : str
            Who holds it.

        Returns
        -------
        result : ApplyResult
            ``APPLIED`` where it is higher and worth fetching; nothing changes
            but for a conflict that was found.
        """
        if number < self.number:
            return ApplyResult.OLDER
        if self.view is not None and number == self.number:
            if digest == self.view.digest:
                return ApplyResult.SAME
            self.stop(Conflict(number, self.view.digest, digest, source))
            return ApplyResult.CONFLICT
        return ApplyResult.APPLIED

    def judge(
        self, number: int, digest: str, document: dict, source: str, settles: int
    ) -> ApplyResult:
        """Decide on a version without changing what is in force."""
        if number < 1 or number < self.number:
            return ApplyResult.OLDER
        if document_digest(document) != digest:
            return ApplyResult.BAD_DIGEST
        result = self.note_digest(number, digest, source)
        if result is not ApplyResult.APPLIED:
            return result
        if self.conflict is not None and settles < self.conflict.number:
            return ApplyResult.STOPPED
        return ApplyResult.APPLIED

    def replace(
        self, number: int, document: dict, source: str, settles: int
    ) -> ApplyResult:
        """Derive the view of a higher version and put it into force."""
        try:
            view = self.derive(number, document)
        except (ValueError, KeyError, TypeError, AttributeError):
            return ApplyResult.UNUSABLE
        self.view = view
        self.conflict = None
        self.settled = max(self.settled, settles)
        self.applied_at_s = trio.current_time()
        self.metrics.number.set({}, number)
        self.metrics.conflict.set({}, 0)
        self.log.info(f"configuration: {number} in force, from {source}", number=number)
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        return ApplyResult.APPLIED

    def stop(self, conflict: Conflict) -> None:
        """Take no more changes until an operator settles the conflict.

        Two documents under one number mean that the store lost an accepted change
        and took another one. Each node that followed either of them would revert
        the other, so all stay with what they have and say so.
        """
        self.metrics.conflict.set({}, 1)
        if self.conflict is not None:
            return
        self.conflict = conflict
        self.log.error(
            f"configuration: conflict at {conflict.number}, {conflict.source} holds"
            f" {conflict.theirs[:12]}, we hold {conflict.ours[:12]};"
            " no more changes taken",
            number=conflict.number,
        )

    async def wait_changed(self, after_number: int) -> Any:
        """Wait for a version higher than a number.

        Parameters
        ----------
        after_number : int
            Number that the caller knows.

        Returns
        -------
        view : ConfigurationView
            The version in force.
        """
        while self.number <= after_number:
            await self.changed.wait()
        return self.view
