"""Error that ends the handling of a caller whose connection is of no more use."""

from rosemaryknot.connection.pending_responses import Cause

__all__ = ["CallerGone", "cause_of"]


class CallerGone(Exception):
    """The caller closed its connection or stopped reading or sending.

    Attributes
    ----------
    cause : Cause
        Which of these happened.
    """

    def __init__(self, cause: Cause = Cause.CALLER_LEFT) -> None:
        super().__init__(cause)
        self.cause = cause


def cause_of(group: BaseExceptionGroup) -> Cause:
    """Return the cause of the first `CallerGone` in an exception group.

    Examples
    --------
    >>> inner = ExceptionGroup("", [CallerGone(Cause.CALLER_STALLED)])
    >>> str(cause_of(ExceptionGroup("", [inner])))
    'the caller stood still'
    """
    first = group.exceptions[0]
    return cause_of(first) if isinstance(first, BaseExceptionGroup) else first.cause
