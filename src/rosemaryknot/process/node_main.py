"""Entry point of a gateway node, which loads the program without garbage collection."""

import gc
import signal

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    # The default action of SIGHUP would end a process that is still loading. The node
    # reads its settings again once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading creates no garbage, but collections took 0.08 s of 0.48 s of CPU time (the
    # minimum of twelve starts each), during which callers wait.
    gc.disable()
    from rosemaryknot.process.node_program_main import application

    application()


if __name__ == "__main__":
    main()
