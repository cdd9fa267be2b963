"""Write variants of a deployment's file, to find constants tuned to one of them.

The variants go to a folder that is given, outside the repository.
"""

import re
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(add_completion=False)

# By name: a figure of the deployment's file, and what it is multiplied by.
VARIATIONS = {
    "slow-engines": ("prefill_tokens_per_ms", 0.5),
    "slow-boot": ("boot_s", 2.0),
    "dear-reclaimable": ("spot_price", 3.0),
    "tight-drain": ("drain_ms", 0.5),
    "loose-drain": ("drain_ms", 2.0),
    "short-grace": ("grace_s", 0.5),
    "far-zones": ("cross_zone_ms", 10.0),
    "clumps": ("clump", 2.0),
}


def scaled(text: str, name: str, factor: float) -> str:
    """Multiply a number wherever the name stands."""

    def times(found: re.Match) -> str:
        return f"{found.group(1)}{float(found.group(2)) * factor:g}"

    return re.sub(rf"(\b{name} = )([0-9.]+)", times, text)


@app.command()
def main(
    site: Path,
    folder: Annotated[Path, typer.Argument(help="Where the variants go.")],
) -> None:
    """Write one file for each variation, named by it."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    for name, (figure, factor) in VARIATIONS.items():
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(scaled(text, figure, factor), encoding="utf-8")
        typer.echo(path)
    wire = site.parent / "wire.json"
    if wire.exists():
        (folder / "wire.json").write_bytes(wire.read_bytes())


if __name__ == "__main__":
    app()
