"""Metrics: declared once, rendered as text, and harmless when they fail."""

import pytest

from rosemaryknot.process import metrics


@pytest.fixture
def counter():
    """Return a counter that ends with the test."""
    made = metrics.counter("test_requests_total", "Requests of a test.")
    yield made
    del metrics.METRICS[made.collector.name]
    metrics.REGISTRY.deregister(made.collector.name)


class TestDeclaration:
    def test_one_object_for_a_name(self, counter):
        assert metrics.counter("test_requests_total", "Again.") is counter

    def test_another_kind_under_the_name(self, counter):
        with pytest.raises(ValueError, match="another kind"):
            metrics.gauge("test_requests_total", "Mistaken.")


class TestUpdates:
    def test_rendered_text(self, counter):
        counter.add(2, zone="waco-a")
        body, content_type = metrics.render_metrics()
        assert b'rosemaryknot_test_requests_total{zone="waco-a"} 2\n' in body
        assert content_type.startswith("text/plain")

    def test_failing_update_reaches_nobody(self, counter):
        """A handler counts with a label that the library refuses.

        The library raises, and the caller's request would end with the metric's
        error. The update is dropped and the other series go on.
        """
        counter.add(-1)
        counter.add(job="reserved")
        counter.add(zone=object())
        counter.add(zone="waco-a")
        assert counter.value(zone="waco-a") == 1

    def test_label_that_follows_input(self, counter):
        """A label with a new value for each request fills memory and each scrape.

        Series beyond the bound are dropped; those that are known still count.
        """
        for number in range(2 * metrics.MAX_SERIES):
            counter.add(path=f"/{number}")
        counter.add(path="/0")
        assert len(counter.collector.values) == metrics.MAX_SERIES
        assert counter.value(path="/0") == 2
