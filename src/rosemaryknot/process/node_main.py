"""Start of a gateway node: loads its program without looking for garbage."""

import gc

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    # Nothing that is loaded is garbage: the collector's passes over it took 0.08 s of
    # 0.48 s of processor time, least of twelve starts each. Callers wait meanwhile.
    gc.disable()
    from rosemaryknot.process.node_program_main import application

    application()


if __name__ == "__main__":
    main()
