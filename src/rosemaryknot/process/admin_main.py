"""Command line for operators.

The commands register themselves with `rosemaryknot.process.admin.application`;
`COMMAND_MODULES` lists the modules that define them.
"""

import importlib
import importlib.util

import typer

from rosemaryknot.process.admin import JsonOption, application, print_json
from rosemaryknot.process.command_line import ExitCode, SettingsFile
from rosemaryknot.process.settings import Settings, load_settings

__all__ = ["main"]

COMMAND_MODULES = (
    "rosemaryknot.process.admin_configuration",
    "rosemaryknot.process.admin_shards",
    "rosemaryknot.process.admin_status",
)


@application.command("check-settings")
def check_settings(file: SettingsFile, as_json: JsonOption = False) -> None:
    """Validate a settings file and print all errors."""
    settings = load_settings(file)
    errors = [] if isinstance(settings, Settings) else settings
    if as_json:
        print_json({"errors": [{"path": e.path, "reason": e.reason} for e in errors]})
    elif errors:
        for error in errors:
            typer.echo(f"{file}: {error}", err=True)
    else:
        typer.echo(f"{file}: settings are valid")
    if errors:
        raise typer.Exit(ExitCode.BAD_SETTINGS)


def load_commands() -> None:
    """Import the modules that register commands."""
    for name in COMMAND_MODULES:
        if importlib.util.find_spec(name) is not None:
            importlib.import_module(name)


def main() -> None:
    """Run the command line."""
    load_commands()
    application()


if __name__ == "__main__":
    main()
