"""Command line of the agent, which runs the control plane of a node."""

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
    """Import and return the main function of the agent."""
    from rosemaryknot.process.agent import run_agent

    return run_agent


@application.command(epilog=EXIT_CODES)
def agent(file: SettingsFile, version: VersionOption = False) -> None:
    """Serve operators, entries and peers until SIGTERM: the control plane of a node.

    The first SIGTERM or SIGINT requests a graceful shutdown, which hands over the
    leases and claims of this node. A second one ends the wait immediately.
    """
    run_program(file, ["operators", "links"], load_agent)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
