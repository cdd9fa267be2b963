"""Tests of configurations as gateways pass them on."""

import random

import pytest
import zstandard

from rosemaryknot.process.gateway_documents import (
    MAX_BYTES,
    Document,
    DocumentError,
    difference,
    rebuilt,
)


def value_of(routes: int, version: int = 1) -> dict:
    """Return a configuration of drawn routes; more of them begin with the same."""
    rng = random.Random(1)
    names = [rng.randbytes(5).hex() for _ in range(routes)]
    return {
        "version": version,
        "routes": [
            {"name": n, "pathPrefix": f"/{n[::-1]}/", "type": "streaming"}
            for n in names
        ],
    }


class TestDifference:
    @pytest.mark.parametrize("routes", [0, 20, 1600, 12_000])
    def test_change_of_one_route_is_small(self, routes):
        base = Document.of(1, 10, value_of(routes))
        value = value_of(routes, 2)
        value["routes"].insert(routes // 2, {"name": "new", "pathPrefix": "/new/"})
        document = Document.of(2, 11, value)
        packed = difference(document, base)
        assert len(packed) < 300
        assert rebuilt(packed, base) == document.packed

    def test_whole_document_needs_no_base(self):
        document = Document.of(2, 11, value_of(100))
        assert rebuilt(difference(document, None), None) == document.packed

    def test_equal_values_have_equal_digests(self):
        one, other = Document.of(1, 1, value_of(9)), Document.of(1, 5, value_of(9))
        assert one.digest == other.digest
        assert one.digest != Document.of(1, 1, value_of(8)).digest

    @pytest.mark.parametrize(
        "packed",
        [
            b"",
            b"no document",
            zstandard.compress(bytes(1000))[:-4],
            zstandard.compress(bytes(MAX_BYTES + 1)),
        ],
    )
    def test_other_bytes_are_refused(self, packed):
        with pytest.raises(DocumentError):
            rebuilt(packed, None)
