"""Progress of reading a stream from its beginning, and of reads that follow it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshored.node.ports import NewestPage, Page, Record, Store, Stream

__all__ = ["CatchUp", "ReadProgress", "newest_records"]

# The log is read this often between pages of newest records. The store keeps 20 s of
# records, and a large backlog takes longer than that over a slow link: if the log were
# read only after the last page, its records would be gone each time.
LOG_READ_INTERVAL_S = 4.0


@dataclass(slots=True)
class CatchUp:
    """How far a stream has been read since the node began to read it.

    The state outlives failed calls, so that reading resumes after the last key.
    ``offset`` is the first page's end until the log has been read from there on: the
    pages are not a snapshot, but what changes between them is in the log.
    """

    began_at: float
    after: str | None = None
    offset: int | None = None
    has_all_keys: bool = False
    pages: int = 0
    records: int = 0
    log_read_at: float = float("-inf")

    def on_newest(self, page: NewestPage, started_at: float) -> None:
        """Record a page of newest records, read from ``started_at`` on."""
        if self.offset is None:
            self.offset = page.end
            self.log_read_at = started_at
        self.after = page.next_after
        self.has_all_keys = page.next_after is None
        self._count(page.records)

    def on_log(self, page: Page, started_at: float) -> None:
        """Record a read of the log from ``offset`` on, begun at ``started_at``."""
        self.offset = (self.offset or 0) + len(page.records)
        if self.offset >= page.end:
            self.log_read_at = started_at
        if page.records:
            self._count(page.records)

    def log_read_due(self, now: float) -> bool:
        """Return whether to read the log before the next page of newest records."""
        return self.offset is not None and now >= self.log_read_at + LOG_READ_INTERVAL_S

    def _count(self, records: tuple[Record, ...]) -> None:
        self.pages += 1
        self.records += len(records)


class ReadProgress:
    """Tells reads that bring records slowly from reads that bring nothing.

    Only reads that have ended count. One that is still open may be receiving a large
    page, and it fails once no byte has arrived for some time.
    """

    def __init__(self) -> None:
        self._stalled_since: float | None = None
        self._stalled_until = float("-inf")

    def on_read(self, started_at: float, ended_at: float, brought: bool) -> None:
        """Record a read that brought records, or an empty or failed one."""
        if brought:
            self._stalled_since = None
            return
        if self._stalled_since is None:
            self._stalled_since = started_at
        self._stalled_until = ended_at

    def stalled_s(self, since: float) -> float:
        """Return for how many seconds reads have brought nothing, from ``since`` on."""
        if self._stalled_since is None:
            return 0.0
        return max(0.0, self._stalled_until - max(since, self._stalled_since))


def newest_records(store: Store, stream: Stream) -> Iterator[Record]:
    """Yield the newest record of each key, page by page."""
    after: str | None = None
    while True:
        page = store.newest(stream, after)
        yield from page.records
        after = page.next_after
        if after is None:
            return
