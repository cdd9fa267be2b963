"""Revisions of a store that orders its changes anew after a restore from a copy.

A revision orders the changes of one history of the store only: a restored store gives
out the revisions that it has lost again. Its era, which rises with each restore, comes
first. Inside a process a revision is therefore one integer with the era in its high
bits, so that all comparisons follow both. The revision of a store without eras is the
same integer with and without its era. Messages carry the two numbers separately, as an
integer of a message has 64 bits.
"""

__all__ = ["era_of", "qualified", "revision_of"]

REVISION_BITS = 64
REVISION_MASK = (1 << REVISION_BITS) - 1


def qualified(era: int, revision: int) -> int:
    """Return a revision that also orders the eras of the store.

    Parameters
    ----------
    era : int
        Era of the store; 0 for a store that states none.
    revision : int
        Revision as the store gives it; -1 for none, which comes before all others.

    Examples
    --------
    >>> qualified(2, 10) > qualified(1, 900) > qualified(1, 899)
    True
    >>> qualified(0, 7), qualified(3, -1)
    (7, -1)
    """
    return revision if revision < 0 else era << REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of a qualified revision; 0 for -1.

    Examples
    --------
    >>> era_of(qualified(5, 7)), era_of(7), era_of(-1)
    (5, 0, 0)
    """
    return 0 if revision < 0 else revision >> REVISION_BITS


def revision_of(revision: int) -> int:
    """Return the number that the store gave for a qualified revision.

    Examples
    --------
    >>> revision_of(qualified(5, 7)), revision_of(-1)
    (7, -1)
    """
    return revision if revision < 0 else revision & REVISION_MASK
