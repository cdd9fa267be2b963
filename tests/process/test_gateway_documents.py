"""Tests of the encoding of configurations sent between gateways."""

import random

import pytest
import zstandard

from rosemaryknot.process.gateway_documents import (
    MAX_DOCUMENT_BYTES,
    Document,
    DocumentError,
    difference,
    rebuild,
)


def value_of(routes: int, version: int = 1) -> dict:
    """Return a configuration of random routes; larger ones share their first routes."""
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
        assert rebuild(packed, base) == document.packed

    def test_whole_document_needs_no_base(self):
        document = Document.of(2, 11, value_of(100))
        assert rebuild(difference(document, None), None) == document.packed

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
            zstandard.compress(bytes(MAX_DOCUMENT_BYTES + 1)),
        ],
    )
    def test_other_bytes_are_refused(self, packed):
        with pytest.raises(DocumentError):
            rebuild(packed, None)
