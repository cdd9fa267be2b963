"""Reads the objects of a kind page by page, and goes on where a call has failed."""

from collections.abc import Callable

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.platform import (
    OUTDATED,
    Listed,
    ListPage,
    PlatformFailed,
)
from rosemaryknot.values.store_changes import CURSOR_REFUSED, PageSource
from rosemaryknot.values.store_revisions import era_of, revision_of

__all__ = ["ListReader"]

# Reason of a list whose next page would begin where an earlier one did.
NO_PROGRESS = "list does not go on"
# Failed calls in a row for one page after which a list begins anew. The page may have
# become impossible to read, or the history from the first page on be gone.
MAX_PAGE_FAILURES = 10

PAGES = counter("store_list_pages_total", "Pages of lists by kind and outcome.")

log = logger("store")


class ListReader:
    """Reader of one list at a time.

    If a failed call began the list anew, the chance that a list ends would fall with
    the power of its pages.

    Parameters
    ----------
    store : PageSource
        The store.
    kind : str
        Kind of the objects.
    on_page : callable
        Called with each page.

    Attributes
    ----------
    listed : Listed or None
        Objects read so far; None between two lists.
    after : str
        Name after which the next page begins.
    cursors : set of str
        Names after which a page of this list has begun.
    failures : int
        Consecutive failed calls.
    started_s : float
        When the list began, in trio time.
    """

    def __init__(
        self,
        store: PageSource,
        kind: str,
        on_page: Callable[[ListPage], None] = lambda page: None,
    ) -> None:
        self.store = store
        self.kind = kind
        self.on_page = on_page
        self.started_s = trio.current_time()
        self.reset()

    def reset(self) -> None:
        """Begin the list anew with the next call."""
        self.listed: Listed | None = None
        self.after = ""
        self.cursors: set[str] = set()
        self.failures = 0

    async def read(self) -> Listed | PlatformFailed:
        """Read the rest of the list.

        Returns
        -------
        listed : Listed or PlatformFailed
            All objects, with the version of the first page: what has changed on a page
            after it was read is among the changes since then. After a failure, the next
            call goes on with the page that failed.
        """
        if self.listed is None and not self.failures:
            self.started_s = trio.current_time()
        while True:
            page = await self.store.list_page(self.kind, self.after)
            outcome = (
                self.fail(page) if isinstance(page, PlatformFailed) else self.add(page)
            )
            if outcome is not None:
                return outcome

    def add(self, page: ListPage) -> Listed | PlatformFailed | None:
        """Add a page; return the list if it is the last one, None to read on."""
        if self.listed is None:
            self.listed = Listed(page.version)
        elif era_of(page.version) != era_of(self.listed.version):
            # The rest of a list does not fit to pages of before a restore.
            return self.fail(PlatformFailed(OUTDATED))
        PAGES.add(kind=self.kind, outcome="ok")
        self.failures = 0
        self.listed.objects |= page.objects
        self.listed.pages += 1
        self.on_page(page)
        if page.next_after is None:
            return self.complete()
        if page.next_after in self.cursors or not page.next_after:
            return self.fail(PlatformFailed(NO_PROGRESS))
        self.after = page.next_after
        self.cursors.add(self.after)
        return None

    def complete(self) -> Listed | None:
        """Return the list, and begin the next one with the next call."""
        listed = self.listed
        log.info(
            "listed objects",
            kind=self.kind,
            objects=len(listed.objects),
            pages=listed.pages,
            took_s=round(trio.current_time() - self.started_s, 3),
            era=era_of(listed.version),
            revision=revision_of(listed.version),
        )
        self.reset()
        return listed

    def fail(self, failed: PlatformFailed) -> PlatformFailed:
        """Record a failed call, and begin anew if the page will not be had."""
        self.failures += 1
        PAGES.add(kind=self.kind, outcome=failed.reason)
        is_lost = failed.reason in (OUTDATED, CURSOR_REFUSED, NO_PROGRESS)
        begins_anew = is_lost or self.failures >= MAX_PAGE_FAILURES
        if self.listed is not None:
            log.warning(
                "list interrupted",
                kind=self.kind,
                reason=failed.reason,
                pages=self.listed.pages,
                failures=self.failures,
                begins_anew=begins_anew,
            )
        if begins_anew:
            self.reset()
        return failed
