"""Validation of documents, views, API keys and JSON Patch errors."""

import math

import pytest
from tests.version.documents import (
    CUSTOMER_KEY,
    EDITOR_KEY,
    VIEWER_KEY,
    sample_document,
)

from rosemaryknot.values.configuration import document_digest
from rosemaryknot.version.document import document_problems
from rosemaryknot.version.patch import apply_operations
from rosemaryknot.version.view import ConfigurationView, IdempotentRule


class TestDocumentProblems:
    def test_sample_is_valid(self):
        assert document_problems(sample_document()) == []

    def test_all_problems_at_once_with_paths(self):
        document = sample_document()
        document["services"]["kit-assistant"]["step_time"] = 3
        document["services"]["dispatch-app"]["timeout_s"] = 0
        document["placements"]["kit-assistant"]["waco-a"]["count"] = -1
        document["extra"] = {}
        found = {problem.path: problem.text for problem in document_problems(document)}
        assert set(found) == {
            "",
            "/services/kit-assistant",
            "/services/dispatch-app/timeout_s",
            "/placements/kit-assistant/waco-a/count",
        }
        assert found["/services/kit-assistant"] == "unknown key step_time"

    def test_references(self):
        document = sample_document()
        del document["services"]["dispatch-app"]
        document["keys"] = {
            "k1": {"salt": "00" * 16, "sha256": "0" * 64, "customer": "nobody"}
        }
        paths = [problem.path for problem in document_problems(document)]
        assert paths == ["/placements/dispatch-app", "/keys/k1/customer"]

    @pytest.mark.parametrize("value", [math.nan, math.inf, 10**400, "5", True])
    def test_numbers_that_no_message_can_encode(self, value):
        document = sample_document()
        document["services"]["kit-assistant"]["timeout_s"] = value
        found = [problem.path for problem in document_problems(document)]
        assert found == ["/services/kit-assistant/timeout_s"]


class TestIdempotentRule:
    @pytest.mark.parametrize(
        "path",
        ["/stock-booking", "/stock/../slots", "/stock/%2e%2e/slots", "/stock//x"],
    )
    def test_ambiguous_paths(self, path):
        """The path of a booking starts with the prefix of a rule for reads.

        The entry would repeat the request as idempotent. The backend server, which
        normalizes the path, would book the slot twice.
        """
        assert not IdempotentRule("GET", "/stock").matches("GET", path)

    def test_segments_and_query(self):
        rule = IdempotentRule("GET", "/stock")
        assert rule.matches("GET", "/stock?item=7")
        assert rule.matches("GET", "/stock/7")
        assert not rule.matches("POST", "/stock/7")


class TestConfigurationView:
    def test_keys(self):
        view = ConfigurationView.from_document(1, sample_document())
        assert view.customer_for_key(CUSTOMER_KEY).name == "estimator-1"
        assert view.customer_for_key(EDITOR_KEY) is None
        assert view.customer_for_key(CUSTOMER_KEY + "x") is None
        assert view.operator_for_key(EDITOR_KEY).may_patch
        assert not view.operator_for_key(VIEWER_KEY).may_patch
        assert view.operator_for_key(CUSTOMER_KEY) is None

    def test_fields_of_a_newer_release_are_ignored(self):
        """A newer agent has accepted a field that this node does not know yet.

        If the node rejected the version, it would use the old one throughout the
        rolling upgrade.
        """
        document = sample_document()
        document["services"]["kit-assistant"]["colour"] = "red"
        document["placements"]["kit-assistant"]["waco-a"]["colour"] = "red"
        document["customers"]["estimator-1"]["limits"]["kit-assistant"]["x"] = 1
        view = ConfigurationView.from_document(1, document)
        assert view.placements["kit-assistant"]["waco-a"].count == 2

    def test_integral_floats_do_not_change_digest(self):
        document = sample_document()
        digest = document_digest(document)
        document["services"]["kit-assistant"]["step_time_ms"] = 3.0
        assert document_digest(document) == digest


class TestApplyOperations:
    @pytest.mark.parametrize(
        "operation",
        [
            {"op": "replace", "path": "/keys/k2/customer", "value": "estimator-2"},
            {"op": "remove", "path": "/keys/k2"},
            {"op": "test", "path": "/keys/k1", "value": {}},
            {"op": "move", "from": "/keys/k2", "path": "/keys/k3"},
        ],
    )
    def test_error_does_not_quote_document(self, operation):
        """An operator mistypes the name of a member.

        The error names the member. It must not quote the value that was searched,
        which is pages of JSON with the digests of all keys.
        """
        document = {"keys": {"k1": {"salt": "ab", "sha256": "cd"}}}
        problems = apply_operations(document, [operation])
        assert problems[0].path == "/0"
        assert "sha256" not in problems[0].text
        assert "k2" in problems[0].text or operation["op"] == "test"
