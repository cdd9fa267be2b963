"""Checks the list of known failing tests and prints the ids of those to pass over.

Each line of the list names one failing test, then what was seen, and ends with the open
issue. A test is a pytest id, or the script of a case of the review, which pytest does
not run. Prints one id a line; exits with 1 and names the line if the list is malformed.
"""

import re
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

__all__ = ["Entry", "MalformedList", "read_entries"]

LINE = re.compile(r"(?P<test>\S+) (?P<seen>\S.*); issue (?P<issue>\d+)")
REVIEW_SCRIPT = re.compile(r"review/\d+/run\.sh")

app = typer.Typer(add_completion=False)


class MalformedList(ValueError):
    """A line of the list does not have the required form."""


@dataclass(slots=True)
class Entry:
    """One known failing test.

    Attributes
    ----------
    test : str
        Pytest id, or path of a script of the review.
    issue : int
        Open issue.
    """

    test: str
    issue: int

    @property
    def is_pytest(self) -> bool:
        """Whether pytest runs the test."""
        return REVIEW_SCRIPT.fullmatch(self.test) is None


def read_entries(text: str) -> list[Entry]:
    """Return the entries of a list.

    Raises
    ------
    MalformedList
        If a line is malformed, or names a test that another one names.

    Examples
    --------
    >>> read_entries("tests/test_a.py::test_b 3 of 5 runs; issue 7")
    [Entry(test='tests/test_a.py::test_b', issue=7)]
    """
    entries: dict[str, Entry] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = LINE.fullmatch(line)
        if match is None:
            raise MalformedList(
                f"line {number}: expected 'TEST what was seen; issue NUMBER'"
            )
        test = match["test"]
        if test in entries:
            raise MalformedList(f"line {number}: {test} is listed twice")
        if len(re.findall(r"; issue \d+", line)) > 1:
            raise MalformedList(f"line {number}: more than one entry")
        entries[test] = Entry(test, int(match["issue"]))
    return list(entries.values())


@app.command()
def main(
    path: Annotated[Path, typer.Argument(help="The list.")] = Path("KNOWN-RED.txt"),
) -> None:
    """Check the list and print the ids of the tests that pytest passes over."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    try:
        entries = read_entries(text)
    except MalformedList as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    missing = [e.test for e in entries if not e.is_pytest and not Path(e.test).exists()]
    if missing:
        print(f"{path}: no such script: {', '.join(missing)}", file=sys.stderr)
        raise typer.Exit(1)
    for entry in entries:
        if entry.is_pytest:
            print(entry.test)


if __name__ == "__main__":
    app()
