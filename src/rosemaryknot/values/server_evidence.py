"""What checks of a backend server show."""

from enum import StrEnum

__all__ = ["ServerEvidence"]


class ServerEvidence(StrEnum):
    """What a check shows of a server: whether it accepts connections.

    ``REFUSES`` and ``SILENT`` are shown by a peer too, or by a node whose link to
    other servers works.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"
    UNKNOWN = "unknown"
