"""Command line of the entry, which runs the data plane of a node."""

from rosemaryknot.process.command_line import (
    EXIT_CODES,
    AsyncMain,
    SettingsFile,
    VersionOption,
    new_application,
    run_program,
)

__all__ = ["main"]

application = new_application("Serve callers: the data plane of a node.")


def load_entry() -> AsyncMain:
    """Import and return the main function of the entry."""
    from rosemaryknot.process.entry import run_entry

    return run_entry


@application.command(epilog=EXIT_CODES)
def entry(file: SettingsFile, version: VersionOption = False) -> None:
    """Serve callers until SIGTERM: the data plane of a node.

    The first SIGTERM or SIGINT requests a graceful shutdown: new requests are refused
    with "not run" and those in flight complete. A second one ends the wait
    immediately.
    """
    run_program(file, ["callers"], load_entry)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
