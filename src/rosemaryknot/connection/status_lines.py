"""Which status lines of responses are valid."""

import h11

__all__ = ["check_status_line", "is_valid_status_line"]

# RFC 9110, section 15: a client treats a status outside 100 to 599 as invalid.
MIN_STATUS = 100
MAX_STATUS = 599
MAJOR_VERSION = b"1."


def is_valid_status_line(status: int, version: bytes) -> bool:
    """Return whether the status line of a response is valid.

    Parameters
    ----------
    status : int
        Status of the response.
    version : bytes
        Version of HTTP; any minor version of HTTP/1 is read as HTTP/1.1.

    Examples
    --------
    >>> is_valid_status_line(599, b"1.1"), is_valid_status_line(600, b"1.1")
    (True, False)
    >>> is_valid_status_line(200, b"1.0"), is_valid_status_line(200, b"0.0")
    (True, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS and version.startswith(MAJOR_VERSION)


def check_status_line(event: h11.Response | h11.InformationalResponse) -> None:
    """Check the status line of a response that h11 has parsed.

    Raises
    ------
    h11.RemoteProtocolError
        If it is invalid.
    """
    if not is_valid_status_line(event.status_code, event.http_version):
        raise h11.RemoteProtocolError("the status line is not valid")
