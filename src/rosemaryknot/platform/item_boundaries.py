"""Boundaries of the items in a response of the store of which some are cut off.

A value that ends within a string, or with a bracket too many or too few, hides the end
of its item, and of the list. The store writes the same first field in each item, so
that the next sound item shows where a malformed one ends at the latest.
"""

import json
import re
from dataclasses import dataclass

__all__ = ["HEADS", "ItemText", "find_items"]

# How the store begins an item, by the name of the list. The first one follows the
# bracket of the list, the others a comma.
HEADS = {
    "items": re.compile(r'[\[,]\s*(?P<head>\{\s*"metadata"\s*:\s*\{)'),
    "events": re.compile(r'[\[,]\s*(?P<head>\{\s*"(?:object|deleted)"\s*:)'),
}
# A page has about 500 items. A value may hold any number of texts that look like the
# head of one, each of which costs an attempt to parse it: the first and the last count.
MAX_HEADS = 1000
# Space between two items that is looked through.
MAX_SPACE = 100
SPACE = re.compile(r"\s*")
PARSE_ERRORS = (ValueError, RecursionError)


@dataclass(slots=True)
class ItemText:
    """Text of one item.

    Attributes
    ----------
    text : str
        The text, which cannot be parsed if the item is malformed.
    is_certain : bool
        Whether it lies in a sequence of sound items that reaches to the begin or the
        end of the list. Others may be a part of a malformed value.
    """

    text: str
    is_certain: bool


class ItemScanner:
    """Heads of items in a text, and which of them begin a sound item.

    Parameters
    ----------
    text : str
        The response.
    heads : list of int
        Positions at which an item may begin, in order.
    end : int
        Position of the end of the list.
    """

    def __init__(self, text: str, heads: list[int], end: int) -> None:
        self.text = text
        self.heads = heads
        self.end = end
        self.known = set(heads)
        self.decoder = json.JSONDecoder(strict=False)
        self.ends: dict[int, int | None] = {}

    def end_of(self, head: int) -> int | None:
        """Return where the item at a head ends; None if it cannot be parsed."""
        if head not in self.ends:
            try:
                _, end = self.decoder.raw_decode(self.text, head)
            except PARSE_ERRORS:
                end = None
            self.ends[head] = end
        return self.ends[head]

    def next_of(self, head: int) -> int | None:
        """Return where the item after a sound one begins, or the list ends.

        None if the item at the head is malformed, or a part of a value.
        """
        end = self.end_of(head)
        if end is None:
            return None
        end = SPACE.match(self.text, end).end()
        if end == self.end:
            return end
        if self.text[end : end + 1] != ",":
            return None
        begin = SPACE.match(self.text, end + 1).end()
        return begin if begin in self.known else None

    def first_of_tail(self) -> int:
        """Return the first head from which all items are sound to the end."""
        sound = {self.end}
        first = self.end
        for head in reversed(self.heads):
            if self.next_of(head) in sound:
                sound.add(head)
                first = head
        return first

    def begins_array(self, head: int) -> bool:
        """Return whether a head is the first of an array within a value."""
        return self.text[max(0, head - MAX_SPACE) : head].rstrip().endswith("[")

    def end_of_chain(self, head: int) -> int:
        """Return where objects end that follow each other in an array of a value."""
        while (following := self.next_of(head)) is not None:
            head = following
        return self.end_of(head) or head + 1

    def items(self) -> list[ItemText]:
        """Return the items in order."""
        found: list[ItemText] = []
        begin, tail = self.heads[0], self.first_of_tail()
        while begin < tail and (following := self.next_of(begin)) is not None:
            found.append(ItemText(self.text[begin:following], True))
            begin = following
        for head in [*self.between(begin, tail), tail]:
            if begin < head:
                found.append(ItemText(self.text[begin:head], False))
                begin = head
        while begin < self.end:
            following = self.next_of(begin)
            found.append(ItemText(self.text[begin:following], True))
            begin = following
        for item in found:
            item.text = item.text.rstrip().removesuffix(",")
        return found

    def between(self, begin: int, tail: int) -> list[int]:
        """Return where items may begin between a malformed one and the sound tail."""
        found: list[int] = []
        position = begin + 1
        following = None
        for head in self.heads:
            if not position <= head < tail:
                continue
            if self.begins_array(head):
                position = self.end_of_chain(head)
                continue
            is_expected = head == following
            following = self.next_of(head)
            if following is not None:
                found.append(head)
                position = following
            elif is_expected or self.end_of(head) is None:
                found.append(head)
            else:
                # A whole object that no item follows is a part of a value.
                position = self.end_of(head)
        return found


def find_end(text: str, start: int) -> int | None:
    """Return where a list ends: at the last bracket that leaves a sound response."""
    end = text.rfind("]", start)
    if end < 0:
        return None
    try:
        json.loads(text[:start] + text[end:], strict=False)
    except PARSE_ERRORS:
        return None
    return end


def find_items(
    text: str, start: int, items_name: str
) -> tuple[list[ItemText], int] | None:
    """Return the items of a list and where it ends; None if no item can be found.

    Parameters
    ----------
    text : str
        The response.
    start : int
        Where the list begins, after its bracket.
    items_name : str
        Name of the list.

    Examples
    --------
    >>> text = '{"items": [{"metadata": {}, "a": "}, {"metadata": {}, "a": 2}]}'
    >>> items, end = find_items(text, 11, "items")
    >>> [item.text for item in items], text[end:]
    (['{"metadata": {}, "a": "}', '{"metadata": {}, "a": 2}'], ']}')
    """
    end = find_end(text, start)
    if end is None:
        return None
    heads = [
        match.start("head")
        for match in HEADS[items_name].finditer(text, start - 1, end)
    ]
    if not heads:
        return None
    if len(heads) > 2 * MAX_HEADS:
        heads = heads[:MAX_HEADS] + heads[-MAX_HEADS:]
    return ItemScanner(text, heads, end).items(), end
