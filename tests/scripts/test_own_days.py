"""The days of our own are files that any deployment can play."""

import tomllib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[2] / "deploy" / "days"
# Saved as the users wrote them, for one of their deployments.
USERS_DAY = FOLDER / "deadly.toml"
REJOINED_DAY = FOLDER / "rejoined.toml"
DAYS = sorted(set(FOLDER.glob("*.toml")) - {USERS_DAY, REJOINED_DAY})
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


class TestUsersDay:
    def test_is_as_they_wrote_it(self):
        assert tomllib.loads(USERS_DAY.read_text()) == {
            "name": "deadly",
            "faults": [
                {
                    "at": 5.0,
                    "kind": "poison",
                    "how": "deadly",
                    "class": "plan-takeoff",
                    "share": 0.03,
                    "for_s": 20.0,
                }
            ],
        }

    def test_rejoined_is_as_they_wrote_it(self):
        day = tomllib.loads(REJOINED_DAY.read_text())
        kinds = [(entry["at"], entry["kind"]) for entry in day["plan"] + day["faults"]]
        assert kinds == [
            (6.0, "release"),
            (6.1, "release"),
            (20.0, "release"),
            (20.1, "release"),
            (32.0, "release"),
            (2.0, "burst"),
            (8.3, "herd_kill"),
            (23.0, "herd_kill"),
            (41.0, "herd_kill"),
        ]
        assert day["length_s"] == 50.0
