"""Metrics of a process in one aioprometheus registry.

Each module declares its own metrics; declaring the same name again returns the same
object. An update that fails is dropped and raises no error in the caller.
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
# A label derived from caller input would grow the registry without limit and make each
# scrape slower. Series beyond this number are dropped; existing ones are updated.
MAX_SERIES = 1000

REGISTRY = Registry()
METRICS: dict[str, "Metric"] = {}

log = logger("metrics")

MetricType = TypeVar("MetricType", bound="Metric")


class Metric:
    """A metric whose updates never raise an error.

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
        """Update a series, or log why the update failed."""
        try:
            series = self.collector.values
            if labels not in series and len(series) >= MAX_SERIES:
                raise ValueError("too many series")
            method(labels, value)
        except Exception as error:
            log.warning(
                "dropped metric update",
                metric=self.collector.name,
                error=type(error).__name__,
            )

    def value(self, **labels: str) -> Any:
        """Return the value of a series, or 0 if the series does not exist."""
        try:
            return self.collector.get(labels)
        except KeyError:
            return 0


class CounterMetric(Metric):
    """A value that only increases."""

    __slots__ = ()

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add to the series of these labels."""
        self.update(self.collector.add, labels, amount)


class GaugeMetric(Metric):
    """A value that increases and decreases."""

    __slots__ = ()

    def set(self, amount: float, **labels: str) -> None:
        """Set the series of these labels."""
        self.update(self.collector.set, labels, amount)

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add to the series of these labels."""
        self.update(self.collector.add, labels, amount)


class HistogramMetric(Metric):
    """Counts of observations by value."""

    __slots__ = ()

    def observe(self, amount: float, **labels: str) -> None:
        """Count one observation in the series of these labels."""
        self.update(self.collector.observe, labels, amount)


def declare(
    cls: type[MetricType], collector_class: Any, name: str, doc: str, **options
):
    """Return the metric of this name, created by the first call."""
    name = PREFIX + name.removeprefix(PREFIX)
    metric = METRICS.get(name)
    if metric is None:
        collector = collector_class(name, doc, registry=REGISTRY, **options)
        metric = METRICS[name] = cls(collector)
    if not isinstance(metric, cls):
        raise ValueError(f"metric {name} is already declared with another type")
    return metric


def counter(name: str, doc: str) -> CounterMetric:
    """Declare a counter.

    Parameters
    ----------
    name : str
        Name; the prefix ``rosemaryknot_`` is added.
    doc : str
        Help text of the metric.

    Returns
    -------
    metric : CounterMetric
        The same object for each call with this name.

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
        Help text of the metric.
    buckets : sequence of float
        Upper bounds in the unit of the name; infinity is added.

    Returns
    -------
    metric : HistogramMetric
        The same object for each call with this name.
    """
    bounds = (*buckets, float("inf"))
    return declare(HistogramMetric, Histogram, name, doc, buckets=bounds)


def render_metrics() -> tuple[bytes, str]:
    """Render all metrics in the exposition format.

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
        log.error("rendering the metrics failed", error=type(error).__name__)
        return b"", "text/plain"
    return body, headers["Content-Type"]
