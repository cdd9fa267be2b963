"""Command ``rosemaryknot-replay``: simulations in virtual time."""

from rosemaryknot.process.command_line import VersionOption, new_application
from rosemaryknot.replay.faults_command import run_faults
from rosemaryknot.replay.platform_command import run_platform
from rosemaryknot.replay.run_command import run_files
from rosemaryknot.replay.trace_command import (
    compare_policies,
    generate,
    run_trace,
)

__all__ = ["app", "main"]

app = new_application(
    "Run the whole system in virtual time with simulated backends, under scripted or "
    "seeded faults.",
    no_args_is_help=True,
)


@app.callback()
def options(version: VersionOption = False) -> None:
    """Run the whole system in virtual time with simulated backends."""


app.command("run")(run_files)
app.command("trace")(run_trace)
app.command("compare")(compare_policies)
app.command("generate")(generate)
app.command("faults")(run_faults)
app.command("platform")(run_platform)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
