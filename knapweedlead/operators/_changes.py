"""Feed of changes between catalogues, for watches."""

import asyncio
import itertools
from collections import deque
from collections.abc import AsyncIterator, Iterator
from typing import Any

import attrs

from knapweedlead.configuration import KINDS, Catalogue

MAX_RECORDS = 4096
"""Number of changes kept for watches that start at an earlier revision."""


@attrs.frozen
class ChangeRecord:
    """One resource that changed.

    Parameters
    ----------
    revision : int
        Catalogue revision that contains the change.
    change : str
        ``applied`` or ``deleted``.
    kind, name : str
        Kind and name of the resource.
    item : object
        Document of the resource; None if the resource was deleted.
    """

    revision: int
    change: str
    kind: str
    name: str
    item: Any

    def to_document(self) -> dict[str, Any]:
        """Return the record as a JSON-compatible document."""
        return attrs.asdict(self, recurse=False)


class ChangeFeed:
    """Keeps the recent changes and notifies the watches of new changes."""

    def __init__(self) -> None:
        self._records: deque[ChangeRecord] = deque(maxlen=MAX_RECORDS)
        self._catalogue: Catalogue | None = None
        self._first_revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last published catalogue."""
        return 0 if self._catalogue is None else self._catalogue.revision

    @property
    def oldest_revision(self) -> int:
        """Lowest revision from which a watch can start."""
        if len(self._records) == MAX_RECORDS:
            return self._records[0].revision
        return self._first_revision

    def publish(self, catalogue: Catalogue) -> None:
        """Record the changes since the previous catalogue and wake the watches."""
        if self._catalogue is None:
            self._first_revision = catalogue.revision
        else:
            self._records.extend(_diff_catalogues(self._catalogue, catalogue))
        self._catalogue = catalogue
        self._changed.set()
        self._changed = asyncio.Event()

    def changes_after(self, revision: int, kind: str) -> list[ChangeRecord]:
        """Return the kept changes to resources of `kind` after `revision`."""
        return [r for r in self._records if r.revision > revision and r.kind == kind]

    async def watch(
        self, revision: int, kind: str, heartbeat_seconds: float
    ) -> AsyncIterator[list[ChangeRecord]]:
        """Yield changes after a revision as they are published.

        An empty list is yielded after `heartbeat_seconds` without a change.
        """
        while True:
            changed = self._changed
            records = self.changes_after(revision, kind)
            revision = max([revision, *(record.revision for record in records)])
            if records:
                yield records
                continue
            try:
                await asyncio.wait_for(changed.wait(), heartbeat_seconds)
            except TimeoutError:
                yield []


def _diff_catalogues(old: Catalogue, new: Catalogue) -> Iterator[ChangeRecord]:
    return itertools.chain.from_iterable(_diff_kind(kind, old, new) for kind in KINDS)


def _diff_kind(kind: str, old: Catalogue, new: Catalogue) -> Iterator[ChangeRecord]:
    before = old.by_kind.get(kind, {})
    after = new.by_kind.get(kind, {})
    for name, resource in after.items():
        if before.get(name) != resource:
            item = attrs.asdict(resource)
            yield ChangeRecord(new.revision, "applied", kind, name, item)
    for name in before:
        if name not in after:
            yield ChangeRecord(new.revision, "deleted", kind, name, None)
