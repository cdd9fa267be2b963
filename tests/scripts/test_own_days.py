"""The days of our own are files that any deployment can play."""

import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[2] / "deploy" / "days").glob("*.toml"))
# Fields that name a part of one deployment, which another one does not have.
PLACES = ("zone", "to_zone", "service", "class")


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
class TestOwnDays:
    def test_says_what_it_provokes(self, path):
        assert path.read_text().startswith("# ")

    def test_name_is_the_files(self, path):
        assert tomllib.loads(path.read_text())["name"] == path.stem

    def test_each_trouble_is_within_the_day(self, path):
        day = tomllib.loads(path.read_text())
        for entry in day["plan"] + day["faults"]:
            assert 0 <= entry["at"] < day["length_s"]

    def test_names_no_part_of_one_deployment(self, path):
        day = tomllib.loads(path.read_text())
        for entry in day["plan"] + day["faults"]:
            assert all(entry[key].startswith("@") for key in PLACES if key in entry)
