"""Rate limits that backend servers state in their responses."""

from dataclasses import dataclass

__all__ = ["InvalidLimit"]


@dataclass(slots=True, frozen=True)
class InvalidLimit:
    """A stated rate limit that is not a decimal number.

    Attributes
    ----------
    text : str
        The text of the header.
    """

    text: str
