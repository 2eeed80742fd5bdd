"""State of a change that is being written to the store."""

import attrs
from result import Err, Ok

from knapweedlead.configuration._catalogue import Catalogue
from knapweedlead.configuration._change import (
    Change,
    Refusal,
    apply_change,
    find_accepted_change,
)
from knapweedlead.configuration._document import parse_catalogue, serialize_catalogue
from knapweedlead.configuration._operations import OperatorReply
from knapweedlead.configuration._replies import (
    NOT_APPLIED,
    UNKNOWN,
    invalid_reply,
    refusal_reply,
    resource_reply,
    unavailable_reply,
)
from knapweedlead.configuration._resources import KINDS
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.positions import StorePosition
from knapweedlead.store import CompareAndSwap, Entry, Get, StoreOperation

CATALOGUE_KEY = "knapweedlead/catalogue"

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the store accepts."""


@attrs.define(eq=False)
class PendingChange:
    """A change that is applied by an optimistic read and compare-and-swap.

    After a failed write the catalogue is read again, which also shows whether a
    write whose answer was lost had succeeded.

    Parameters
    ----------
    exchange : int
        Number of the operator's exchange.
    change : Change
        Requested change.
    deadline : float
        Time after which a failure is no longer retried, in seconds.
    written : Catalogue or None
        Catalogue with the change: the last catalogue written, or the catalogue
        read if the change was already in it; None after a read has been started.
    may_have_written : bool
        Whether the outcome of an earlier write is unknown.
    """

    exchange: int
    change: Change
    deadline: float
    written: Catalogue | None = None
    may_have_written: bool = False

    def read(self) -> StoreOperation:
        """Return the operation that reads the current catalogue."""
        self.written = None
        return Get(CATALOGUE_KEY)

    def on_read(
        self, entry: Entry, applied: Catalogue | None
    ) -> StoreOperation | OperatorReply:
        """Return the write that applies the change, or the final reply.

        The change is made to the applied catalogue if the store, which may have come
        back from a copy, holds an older one.
        """
        catalogue = Catalogue(0, {kind: {} for kind in KINDS})
        if entry.value:
            parsed = parse_catalogue(entry.value)
            if isinstance(parsed, Err):
                return invalid_reply(parsed.err_value)
            catalogue = parsed.ok_value
        if applied is not None and applied.revision > catalogue.revision:
            catalogue = applied
        earlier = find_accepted_change(catalogue, self.change)
        if isinstance(earlier, Err):
            return refusal_reply(earlier.err_value)
        if earlier.ok_value is not None:
            self.written = catalogue
            return self._accepted_reply(earlier.ok_value.revision, catalogue.revision)
        changed = apply_change(catalogue, self.change)
        if isinstance(changed, Err):
            return refusal_reply(changed.err_value)
        return self._write(changed.ok_value, entry.position)

    def _write(
        self, catalogue: Catalogue, expected: StorePosition
    ) -> StoreOperation | OperatorReply:
        value = serialize_catalogue(catalogue)
        if len(value) > MAX_VALUE_BYTES:
            detail = f"expected at most {MAX_VALUE_BYTES} bytes, found {len(value)}"
            return refusal_reply(Refusal(409, "catalogue_too_large", detail))
        self.written = catalogue
        return CompareAndSwap(CATALOGUE_KEY, value, expected)

    def on_written(self) -> OperatorReply:
        """Return the reply after the store accepted the write."""
        assert self.written is not None
        return self._accepted_reply(self.written.revision, self.written.revision)

    def _accepted_reply(self, version: int, revision: int) -> OperatorReply:
        return resource_reply(self.change.resource, version, revision)

    def on_failed(
        self, error: StoreError, now: float
    ) -> Ok[float] | Err[OperatorReply]:
        """Return the delay until the next read in seconds, or the final reply."""
        is_write = self.written is not None
        if is_write and error.fault is StoreFault.UNKNOWN_OUTCOME:
            self.may_have_written = True
        if now < self.deadline:
            is_conflict = error.fault is StoreFault.CONFLICT
            return Ok(0.0 if is_conflict else RETRY_DELAY_SECONDS)
        outcome = UNKNOWN if self.may_have_written else NOT_APPLIED
        return Err(unavailable_reply(str(error), outcome))


RETRY_DELAY_SECONDS = 0.5
"""Seconds between retries while the store is unreachable."""
