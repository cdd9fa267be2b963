"""Names after which the pages of a list in the store go on.

Any writer may choose the name of an object. Put into a query as it is, a name may end
the parameter, add another one or mean another name, and the rest of the list would be
lost or passed over.
"""

import re
from collections.abc import Sequence

__all__ = ["next_cursor"]

# Characters that all decoders of URLs read alike; RFC 3986, section 2.3.
UNRESERVED = re.compile(r"[A-Za-z0-9\-._~]+")
# Longer names could exceed what a server accepts as the target of a request: each
# character takes up to 12 bytes in the URL, and many servers accept 8 KB.
MAX_CURSOR_CHARS = 500
# Sorts after all other characters, by code points and in UTF-8.
LAST_CHARACTER = "\U0010ffff"
# Sorts before the names that a header can carry, and after the empty name.
FIRST_NAME = " "


def next_cursor(names: Sequence[str]) -> str:
    """Return the name after which the next page of a list begins.

    The last name of unreserved characters is preferred, although the next page then
    repeats the objects after it. Without one, the last name is used. If a URL cannot
    carry it, the result sorts after it, and before every name that is a valid id,
    unless that begins with the same `MAX_CURSOR_CHARS` characters.

    Parameters
    ----------
    names : sequence of str
        Names of the objects of a page, in its order; at least one.

    Examples
    --------
    >>> next_cursor(["a", "b", "c&d"]), next_cursor(["c&d", "c+"])
    ('b', 'c+')
    """
    for name in reversed(names):
        if UNRESERVED.fullmatch(name) and len(name) <= MAX_CURSOR_CHARS:
            return name
    return encodable(names[-1]) or FIRST_NAME


def encodable(name: str) -> str:
    """Return a name, or one that sorts after it, which a URL can carry."""
    # U+FFFD replaces an unpaired surrogate, and sorts after it.
    text = name.encode("utf-16", "surrogatepass").decode("utf-16", "replace")
    if len(text) <= MAX_CURSOR_CHARS:
        return text
    return text[:MAX_CURSOR_CHARS] + LAST_CHARACTER
