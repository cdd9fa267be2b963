"""Tests of settings: reporting of all errors with locations, hiding of secrets."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryknot.process.settings import Settings, load_settings
from rosemaryknot.values.nodes import Address

KEY = "0123456789abcdef-secret"
NAMES = {"node": "waco-a-1", "zone": "waco-a", "region": "tx-central"}

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a settings file next to its key file."""
    (tmp_path / "key").write_text(KEY + "\n")

    def write_settings(document, **more):
        path = tmp_path / "settings.json"
        text = document if isinstance(document, str) else json.dumps(document | more)
        path.write_text(text)
        return path

    return write_settings


class TestLoadSettings:
    def test_defaults(self, write):
        loaded = load_settings(write(NAMES, cluster_key_file="key"))
        assert isinstance(loaded, Settings)
        assert loaded.cluster_key == KEY.encode()
        assert loaded.listen.callers is None
        assert loaded.agent == Address("127.0.0.1", 8300)
        assert loaded.limits.max_body_bytes == 1024 * 1024

    def test_all_errors_are_reported_with_locations(self, write):
        document = {
            "node": "Waco A",
            "zone": 1,
            "listen": {"callers": "localhost:8100", "caller": "127.0.0.1:1"},
            "peers": ["127.0.0.1:8300", "127.0.0.1", None],
            "limits": {"max_body_bytes": 1.5, "body_timeout_s": 0},
            "log": {"level": "loud"},
        }
        address = "must be an IP number and a port, such as 127.0.0.1:8100"
        assert {str(error) for error in load_settings(write(document))} == {
            "node: must be lower-case letters, digits and dashes",
            "zone: must be text",
            "region: is missing",
            f"listen.callers: {address}",
            "listen.caller: is not a known setting",
            f"peers[1]: {address}",
            f"peers[2]: {address}",
            "limits.max_body_bytes: must be a whole number",
            "limits.body_timeout_s: must be greater than 0",
            "log.level: must be 'debug', 'info', 'warning' or 'error'",
        }

    def test_duplicate_key(self, write):
        """An operator edits the first of two "zone" lines, without effect.

        JSON parsers silently keep the last of two equal keys, so the node would keep
        the old zone.
        """
        text = '{"node": "a", "zone": "waco-a", "region": "r", "zone": "waco-b"}'
        [error] = load_settings(write(text))
        assert "'zone' is a duplicate key" in str(error)

    @pytest.mark.parametrize("text", ["", "{", "[]", "null", "[" * 100_000, "NaN"])
    def test_invalid_json(self, write, text):
        errors = load_settings(write(text))
        assert isinstance(errors, list) and errors

    @settings(max_examples=60, deadline=None)
    @given(
        document=JSON_VALUES, location=st.sampled_from(["listen", "limits", "peers"])
    )
    def test_any_json_gives_settings_or_errors(
        self, tmp_path_factory, document, location
    ):
        path = tmp_path_factory.mktemp("any") / "settings.json"
        path.write_text(json.dumps(NAMES | {location: document}))
        assert isinstance(load_settings(path), list)  # The key is missing.


class TestSecrets:
    def test_key_from_the_environment(self, write, monkeypatch):
        monkeypatch.setenv("ROSEMARYKNOT_TEST_KEY", KEY)
        path = write(NAMES, cluster_key_env="ROSEMARYKNOT_TEST_KEY")
        assert load_settings(path).cluster_key == KEY.encode()

    def test_key_requires_exactly_one_source(self, write):
        for sources in [{}, {"cluster_key_file": "key", "cluster_key_env": "HOME"}]:
            [error] = load_settings(write(NAMES, **sources))
            assert error.path == "cluster_key_file"

    def test_loaded_key_is_not_shown(self, write):
        loaded = load_settings(write(NAMES, cluster_key_file="key"))
        assert KEY not in repr(loaded) + str(loaded)

    @pytest.mark.parametrize(
        "misplaced",
        [
            {"cluster_key": KEY},
            {"cluster_key_env": KEY},
            {"cluster_key_file": KEY},
            {"cluster_key_file": "key", "node": KEY + "!"},
            {"cluster_key_file": "key", "agent": KEY},
            {"cluster_key_file": "key", "limits": KEY},
            {"cluster_key_file": "key", "log": {"format": KEY}},
        ],
    )
    def test_misplaced_key_is_not_shown(self, write, misplaced):
        """An operator pastes the key where a path or a name belongs.

        The error contains the location. It may appear in terminals and tickets, so it
        must not contain the value.
        """
        errors = load_settings(write(NAMES | misplaced))
        assert isinstance(errors, list) and errors
        assert KEY not in "".join(str(error) for error in errors)
