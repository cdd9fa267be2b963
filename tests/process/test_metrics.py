"""Tests of the declaration, rendering and error handling of metrics."""

import pytest

from rosemaryknot.process import metrics


@pytest.fixture
def counter():
    """Return a counter that is removed after the test."""
    metric = metrics.counter("test_requests_total", "Requests of a test.")
    yield metric
    del metrics.METRICS[metric.collector.name]
    metrics.REGISTRY.deregister(metric.collector.name)


class TestDeclaration:
    def test_same_name_returns_same_object(self, counter):
        assert metrics.counter("test_requests_total", "Again.") is counter

    def test_same_name_with_another_type(self, counter):
        with pytest.raises(ValueError, match="another type"):
            metrics.gauge("test_requests_total", "Mistaken.")


class TestUpdates:
    def test_rendered_text(self, counter):
        counter.add(2, zone="waco-a")
        body, content_type = metrics.render_metrics()
        assert b'rosemaryknot_test_requests_total{zone="waco-a"} 2\n' in body
        assert content_type.startswith("text/plain")

    def test_failing_update_raises_no_error(self, counter):
        """A handler updates a counter with a label value that the library rejects.

        The library raises an error, which would abort the request of the caller. The
        update is dropped, and other series are still updated.
        """
        counter.add(-1)
        counter.add(job="reserved")
        counter.add(zone=object())
        counter.add(zone="waco-a")
        assert counter.value(zone="waco-a") == 1

    def test_number_of_series_is_limited(self, counter):
        """A label with a new value for each request would exhaust the memory.

        It would also slow down each scrape. Series above the limit are dropped;
        existing ones are still updated.
        """
        for number in range(2 * metrics.MAX_SERIES):
            counter.add(path=f"/{number}")
        counter.add(path="/0")
        assert len(counter.collector.values) == metrics.MAX_SERIES
        assert counter.value(path="/0") == 2
