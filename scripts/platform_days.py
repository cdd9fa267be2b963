"""Play days of our own on a deployment with the users' bench, and print a table.

The bench and the deployment's file are given by their paths; nothing of them is kept.
"""

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

DAYS = Path(__file__).parent.parent / "deploy" / "days"
RULES = re.compile(r"^([A-Z]+) at .*", re.MULTILINE)

app = typer.Typer(add_completion=False)


def play(bench: Path, site: Path, day: Path, seed: int | None) -> str:
    """Play one day and return its line of the table."""
    command = [bench, "run", site, day, "--why", f"own day {day.stem}"]
    if seed is not None:
        command += ["--seed", str(seed)]
    done = subprocess.run(command, capture_output=True, text=True)
    found = re.search(rf"^{day.stem} .*", done.stdout, re.MULTILINE)
    rules = sorted(set(RULES.findall(done.stdout)))
    figures = "not played" if found is None else found.group(0)[:90]
    return f"{site.stem:24} {figures:92} {' '.join(rules) or 'none broken'}"


@app.command()
def main(
    bench: Path,
    sites: list[Path],
    seed: Annotated[int | None, typer.Option(help="Another seed.")] = None,
    jobs: Annotated[int, typer.Option(help="Days at once.")] = 2,
) -> None:
    """Play every day of deploy/days on each deployment."""
    days = sorted(DAYS.glob("*.toml"))
    with ThreadPoolExecutor(jobs) as pool:
        tasks = [
            pool.submit(play, bench, site, day, seed) for site in sites for day in days
        ]
        for task in tasks:
            typer.echo(task.result())


if __name__ == "__main__":
    app()
