"""Command line of the agent: the control plane of a node."""

from rosemaryknot.process.command_line import (
    EXIT_CODES,
    AsyncMain,
    SettingsFile,
    VersionOption,
    new_application,
    run_program,
)

__all__ = ["main"]

application = new_application("Serve operators: the control plane of a node.")


def load_agent() -> AsyncMain:
    """Import and return the agent's main."""
    from rosemaryknot.process.agent import run_agent

    return run_agent


@application.command(epilog=EXIT_CODES)
def agent(file: SettingsFile, version: VersionOption = False) -> None:
    """Serve operators, entries and peers until SIGTERM: the control plane of a node.

    The first SIGTERM or SIGINT asks for a planned stop: what only this node holds
    is handed over first. A second one cuts the wait short.
    """
    run_program(file, ["operators", "links"], load_agent)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
