"""Write variants of a deployment's file, to find constants tuned to one of them.

The variants go to a folder that is given, outside the repository.
"""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(add_completion=False)

Variation = Callable[[str], str]
VARIATIONS: dict[str, Variation] = {}


def variation(name: str) -> Callable[[Variation], Variation]:
    """Register a change of the file's text."""

    def register(change: Variation) -> Variation:
        VARIATIONS[name] = change
        return change

    return register


def scaled(text: str, name: str, factor: float) -> str:
    """Multiply a number wherever the name stands."""

    def times(found: re.Match) -> str:
        return f"{found.group(1)}{float(found.group(2)) * factor:g}"

    return re.sub(rf"(\b{name} = )([0-9.]+)", times, text)


@variation("slow-engines")
def slow_engines(text: str) -> str:
    """Let engines read half as fast."""
    return scaled(text, "prefill_tokens_per_ms", 0.5)


@variation("slow-boot")
def slow_boot(text: str) -> str:
    """Let servers boot twice as long."""
    return scaled(text, "boot_s", 2.0)


@variation("dear-reclaimable")
def dear_reclaimable(text: str) -> str:
    """Let reclaimable servers cost three times as much."""
    return scaled(text, "spot_price", 3.0)


@variation("tight-drain")
def tight_drain(text: str) -> str:
    """Let servers that leave serve half as long."""
    return scaled(text, "drain_ms", 0.5)


@variation("loose-drain")
def loose_drain(text: str) -> str:
    """Let servers that leave serve twice as long."""
    return scaled(text, "drain_ms", 2.0)


@variation("short-grace")
def short_grace(text: str) -> str:
    """Give a stopping node half the time."""
    return scaled(text, "grace_s", 0.5)


@variation("far-zones")
def far_zones(text: str) -> str:
    """Put zones ten times as far apart."""
    return scaled(text, "cross_zone_ms", 10.0)


@variation("clumps")
def clumps(text: str) -> str:
    """Let requests come in larger clumps."""
    return scaled(text, "clump", 2.0)


@app.command()
def main(
    site: Path,
    folder: Annotated[Path, typer.Argument(help="Where the variants go.")],
) -> None:
    """Write one file for each variation, named by it."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    for name, change in VARIATIONS.items():
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(change(text), encoding="utf-8")
        typer.echo(path)
    wire = site.parent / "wire.json"
    if wire.exists():
        (folder / "wire.json").write_bytes(wire.read_bytes())


if __name__ == "__main__":
    app()
