"""Tests of the checks that two builds work together."""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


@pytest.fixture
def mixed(monkeypatch):
    monkeypatch.syspath_prepend(str(ROOT / "scripts"))
    import mixed_builds

    yield mixed_builds
    sys.modules.pop("mixed_builds")


class TestMessageFields:
    def test_a_build_understands_itself(self, mixed):
        checks = mixed.Checks()
        mixed.check_messages(checks, ROOT, ROOT)
        assert (checks.passed, checks.failed) == (1, 0)

    @pytest.mark.parametrize(
        "change",
        [
            {"gateway_report.spent": None},
            {"gateway_report.spent": ["<class 'list'>", False]},
            {"gateway_report.added": ["<class 'int'>", True]},
        ],
    )
    def test_a_field_is_renamed_retyped_or_required(self, mixed, monkeypatch, change):
        """A field with a default that is renamed in one build is lost silently."""
        before = mixed.message_fields(ROOT)
        after = {k: v for k, v in (before | change).items() if v is not None}
        found = {"old": before, "new": after}
        monkeypatch.setattr(mixed, "message_fields", lambda root: found[str(root)])
        checks = mixed.Checks()
        mixed.check_messages(checks, Path("old"), Path("new"))
        assert (checks.passed, checks.failed) == (0, 1)


class TestLimitWindow:
    def test_counts_the_fullest_window(self, mixed):
        assert mixed.most_in_window([0.0, 0.5, 0.9, 1.4, 3.0]) == 3
        assert mixed.most_in_window([]) == 0
