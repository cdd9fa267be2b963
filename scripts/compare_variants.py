"""Play variants of the gateway on the same days and seeds, and compare them in pairs.

A variant is a checkout; two of them differ by one commit or one setting. The bench and
the deployments' files are given by their paths; nothing of them is kept. Rows are added
to a file as the plays end, and what is there is not played again.
"""

import subprocess
import tempfile
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated

import numpy as np
import typer
from bench_report import PlayedDay, read_report
from scipy import stats

CONFIDENCE = 0.95
# Prices below this share of the worth are left out of the table.
LEAST_PRICE = 0.002

app = typer.Typer(add_completion=False)


def read_rows(path: Path) -> list[PlayedDay]:
    """Return the rows of a file, none where there is no file."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [PlayedDay.from_json(line) for line in lines if line.strip()]


def folders_of(variants: Iterable[str]) -> dict[str, Path]:
    """Return the checkouts by name, of texts as ``name=folder``.

    Raises
    ------
    typer.BadParameter
        If a text has another form, or its folder is no checkout.
    """
    folders = {}
    for text in variants:
        name, _, folder = text.partition("=")
        if (
            not name
            or not folder
            or not (Path(folder) / "deploy" / "system.toml").is_file()
        ):
            raise typer.BadParameter(f"{text!r} is no name=checkout")
        folders[name] = Path(folder)
    return folders


def play(
    bench: Path, folder: Path, site: Path, played: PlayedDay, why: str
) -> PlayedDay:
    """Play one day."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [bench, "run", site, played.day, "--report", report, "--why", why]
        if played.seed is not None:
            command += ["--seed", str(played.seed)]
        done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
        if not report.exists():
            said = (done.stdout + done.stderr).strip().splitlines()
            played.error = f"exit {done.returncode}: {said[-1] if said else 'silent'}"
            return played
        return read_report(played, report)


@app.command("play")
def play_all(
    bench: Path,
    site: Path,
    rows: Path,
    variant: Annotated[list[str], typer.Option(help="name=checkout")],
    day: Annotated[list[str], typer.Option(help="Name of a day, or its file.")],
    seed: Annotated[
        list[int] | None, typer.Option(help="By default the day's.")
    ] = None,
    jobs: Annotated[int, typer.Option(help="Plays at once.")] = 1,
    why: Annotated[str, typer.Option(help="For the bench's journal.")] = "trial",
) -> None:
    """Play what has no row yet, and add its row."""
    folders = folders_of(variant)
    known = {played.key for played in read_rows(rows) if not played.error}
    wanted = [
        PlayedDay(name, site.stem, one, number)
        for number in (seed or [None])
        for one in day
        for name in folders
    ]
    missing = [played for played in wanted if played.key not in known]
    with ThreadPoolExecutor(jobs) as pool, rows.open("a", encoding="utf-8") as file:
        tasks = [
            pool.submit(play, bench, folders[p.variant], site, p, why) for p in missing
        ]
        for number, task in enumerate(as_completed(tasks), 1):
            played = task.result()
            file.write(played.to_json() + "\n")
            file.flush()
            state = played.error or f"worth {played.worth:.3f}, rules {played.rules}"
            names = f"{played.variant} {played.day} {played.seed}"
            typer.echo(f"{number} of {len(missing)}: {names}: {state}")


def paired(
    rows: list[PlayedDay], baseline: str, variant: str
) -> list[tuple[PlayedDay, PlayedDay]]:
    """Return the plays of both variants on the same site, day and seed."""
    plays = {played.key: played for played in rows if not played.error}
    return [
        (one, plays[variant, *key])
        for (name, *key), one in plays.items()
        if name == baseline and (variant, *key) in plays
    ]


def interval(differences: np.ndarray) -> tuple[float, float]:
    """Return the mean of paired differences and half of its confidence interval.

    Examples
    --------
    >>> mean, half = interval(np.array([0.01, 0.02, 0.03]))
    >>> round(mean, 3), round(half, 3)
    (0.02, 0.025)
    """
    count = len(differences)
    if count < 2:
        return float(np.mean(differences)), float("inf")
    error = np.std(differences, ddof=1) / np.sqrt(count)
    return float(np.mean(differences)), float(
        stats.t.ppf((1 + CONFIDENCE) / 2, count - 1) * error
    )


def differences_of(
    pairs: list[tuple[PlayedDay, PlayedDay]],
) -> dict[str, tuple[np.ndarray, np.ndarray]]:
    """Return the figures of both sides of all pairs, by name."""
    sides: dict[str, tuple[list, list]] = defaultdict(lambda: ([], []))
    names = {name for pair in pairs for one in pair for name in one.figures}
    for one, other in pairs:
        for name in names:
            sides[name][0].append(one.figures.get(name, 0.0))
            sides[name][1].append(other.figures.get(name, 0.0))
    return {name: (np.array(a), np.array(b)) for name, (a, b) in sides.items()}


def print_comparison(rows: list[PlayedDay], baseline: str, variant: str) -> None:
    """Print one variant's figures beside the baseline's."""
    pairs = paired(rows, baseline, variant)
    typer.echo(f"\n{variant} against {baseline}: {len(pairs)} pairs")
    if not pairs:
        return
    for name, (before, after) in sorted(differences_of(pairs).items()):
        if name.startswith("-") and max(before.mean(), after.mean()) < LEAST_PRICE:
            continue
        mean, half = interval(after - before)
        verdict = "" if abs(mean) > half else "  none"
        typer.echo(
            f"{name:38} {before.mean():7.4f} {after.mean():7.4f}"
            f" {mean:+8.4f} +- {half:.4f}{verdict}"
        )


@app.command("compare")
def compare(
    rows: Path,
    baseline: Annotated[str, typer.Option(help="Name of a variant.")],
    plot: Annotated[Path | None, typer.Option(help="Where a figure goes.")] = None,
) -> None:
    """Print paired differences to a variant with their 95% intervals."""
    played = read_rows(rows)
    names = list(dict.fromkeys(row.variant for row in played))
    if baseline not in names:
        raise typer.BadParameter(f"no rows of {baseline!r}; there are {names}")
    for row in played:
        if row.error or row.rules:
            typer.echo(f"{row.key}: {row.error or row.rules}")
    others = [name for name in names if name != baseline]
    for name in others:
        print_comparison(played, baseline, name)
    if plot is not None:
        draw(played, baseline, others, plot)


def draw(rows: list[PlayedDay], baseline: str, variants: list[str], path: Path) -> None:
    """Draw each variant's difference of worth with its interval."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 1 + 0.5 * len(variants)), layout="constrained")
    axes = figure.subplots()
    for number, name in enumerate(variants):
        pairs = paired(rows, baseline, name)
        if not pairs:
            continue
        worth = np.array([other.worth - one.worth for one, other in pairs])
        mean, half = interval(worth)
        axes.plot(worth, np.full(len(worth), number), "o", alpha=0.4, color="tab:blue")
        axes.errorbar(mean, number, xerr=half, fmt="D", color="black", capsize=4)
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(variants)), variants)
    axes.set_xlabel(f"difference of worth to {baseline}")
    figure.savefig(path)


if __name__ == "__main__":
    app()
