"""Metrics of a process in one aioprometheus registry.

A metric is declared once and found again under its name, so that every module can
declare what it counts. A failing metric is dropped and never reaches the caller.
"""

from collections.abc import Sequence
from typing import Any, TypeVar

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from rosemaryknot.process.logs import logger

__all__ = [
    "REGISTRY",
    "CounterMetric",
    "GaugeMetric",
    "HistogramMetric",
    "counter",
    "gauge",
    "histogram",
    "render_metrics",
]

PREFIX = "rosemaryknot_"
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
# A label that follows caller input would grow the registry without end and make
# each scrape slower; series beyond this number are dropped, the known ones go on.
MAX_SERIES = 1000

REGISTRY = Registry()
METRICS: dict[str, "Metric"] = {}

log = logger("metrics")

MetricType = TypeVar("MetricType", bound="Metric")


class Metric:
    """A metric whose updates never raise.

    Parameters
    ----------
    collector : aioprometheus.Collector
        The library's metric.

    Attributes
    ----------
    collector : aioprometheus.Collector
        The library's metric.
    """

    __slots__ = ("collector",)

    def __init__(self, collector: Any) -> None:
        self.collector = collector

    def update(self, method: Any, labels: dict[str, str], value: float) -> None:
        """Change a series, or log why it cannot be changed."""
        try:
            known = self.collector.values
            if labels not in known and len(known) >= MAX_SERIES:
                raise ValueError("too many series")
            method(labels, value)
        except Exception as error:
            log.warning(
                "dropped an update",
                metric=self.collector.name,
                error=type(error).__name__,
            )

    def value(self, **labels: str) -> Any:
        """Return the value of a series, 0 where it has none."""
        try:
            return self.collector.get(labels)
        except KeyError:
            return 0


class CounterMetric(Metric):
    """A number that only rises."""

    __slots__ = ()

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add to the series of these labels."""
        self.update(self.collector.add, labels, amount)


class GaugeMetric(Metric):
    """A number that rises and falls."""

    __slots__ = ()

    def set(self, amount: float, **labels: str) -> None:
        """Set the series of these labels."""
        self.update(self.collector.set, labels, amount)

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add to the series of these labels."""
        self.update(self.collector.add, labels, amount)


class HistogramMetric(Metric):
    """Counts of observations by size."""

    __slots__ = ()

    def observe(self, amount: float, **labels: str) -> None:
        """Count one observation in the series of these labels."""
        self.update(self.collector.observe, labels, amount)


def declare(
    cls: type[MetricType], collector_class: Any, name: str, doc: str, **options
):
    """Return the metric of this name, made at the first call."""
    name = PREFIX + name.removeprefix(PREFIX)
    known = METRICS.get(name)
    if known is None:
        collector = collector_class(name, doc, registry=REGISTRY, **options)
        known = METRICS[name] = cls(collector)
    if not isinstance(known, cls):
        raise ValueError(f"metric {name} is of another kind")
    return known


def counter(name: str, doc: str) -> CounterMetric:
    """Declare a counter.

    Parameters
    ----------
    name : str
        Name; the prefix ``rosemaryknot_`` is added.
    doc : str
        One sentence for the collector.

    Returns
    -------
    metric : CounterMetric
        The same object at each call with this name.

    Examples
    --------
    >>> doubles = counter("doctest_doubles_total", "Doubles seen.")
    >>> doubles.add(2, zone="waco-a")
    >>> doubles.value(zone="waco-a")
    2
    """
    return declare(CounterMetric, Counter, name, doc)


def gauge(name: str, doc: str) -> GaugeMetric:
    """Declare a gauge; parameters as for `counter`."""
    return declare(GaugeMetric, Gauge, name, doc)


def histogram(
    name: str, doc: str, buckets: Sequence[float] = LATENCY_BUCKETS_S
) -> HistogramMetric:
    """Declare a histogram; parameters as for `counter`.

    Parameters
    ----------
    name : str
        Name, with its unit.
    doc : str
        One sentence for the collector.
    buckets : sequence of float
        Upper bounds in the unit of the name; infinity is added.

    Returns
    -------
    metric : HistogramMetric
        The same object at each call with this name.
    """
    bounds = (*buckets, float("inf"))
    return declare(HistogramMetric, Histogram, name, doc, buckets=bounds)


def render_metrics() -> tuple[bytes, str]:
    """Render all metrics for the collector.

    Returns
    -------
    body : bytes
        The exposition text.
    content_type : str
        Its media type.
    """
    try:
        body, headers = render(REGISTRY, [])
    except Exception as error:
        log.error("cannot render", error=type(error).__name__)
        return b"", "text/plain"
    return body, headers["Content-Type"]
