"""Watch on the catalogue key in the store."""

import random

import attrs
from result import Err, Result

from knapweedlead.configuration._pending_change import CATALOGUE_KEY
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.store import Entry, Get, StoreOperation, StoreResult, Watch

WATCH_WAIT_SECONDS = 1.0
"""Seconds for which the store waits for a change before it answers a watch."""
CALL_TIMEOUT_SECONDS = 4.0
"""Seconds after which a call without an answer has failed."""
REREAD_PERIOD_SECONDS = 10.0
"""Seconds after which the key is read again instead of watched."""
MIN_CALL_INTERVAL_SECONDS = 0.2
"""Minimum seconds from one call to the next if nothing has changed."""
RETRY_DELAY_SECONDS = 0.5
"""Longest delay before the first retry in seconds, doubled by each failure."""
MAX_RETRY_DELAY_SECONDS = 2.0


@attrs.define(eq=False)
class StoreWatch:
    """Schedules reads and watches of the key and keeps the last answer.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the jitter of retries.
    """

    rng: random.Random
    confirmed_at: float | None = None
    """Start of the last successful call, in seconds.

    At this time, the store held no later entry than the entry in its answer.
    """
    entry: Entry | None = None
    call: int = 0
    """Number of the pending call; 0 if there is none."""
    called_at: float = 0.0
    next_at: float = 0.0
    reread_at: float = 0.0
    retry_seconds: float = RETRY_DELAY_SECONDS

    def next_operation(self, now: float) -> StoreOperation | None:
        """Return the operation to start now, or None if none is due."""
        if self.call and now - self.called_at < CALL_TIMEOUT_SECONDS:
            return None
        if self.call:
            self._fail(now)
        if now < self.next_at:
            return None
        self.called_at = now
        if self.entry is None or now >= self.reread_at:
            self.reread_at = now + REREAD_PERIOD_SECONDS
            return Get(CATALOGUE_KEY)
        return Watch(CATALOGUE_KEY, self.entry.position, WATCH_WAIT_SECONDS)

    def on_answer(
        self, result: Result[StoreResult, StoreError], now: float
    ) -> Entry | None:
        """Handle the pending call's answer; return the entry if its position is new."""
        if isinstance(result, Err):
            self._fail(now, result.err_value.fault)
            return None
        entry = result.ok_value
        assert isinstance(entry, Entry)
        self.call = 0
        self.retry_seconds = RETRY_DELAY_SECONDS
        self.confirmed_at = self.called_at
        is_new = self.entry is None or entry.position != self.entry.position
        self.entry = entry
        self.next_at = (
            now if is_new else max(now, self.called_at + MIN_CALL_INTERVAL_SECONDS)
        )
        return entry if is_new else None

    def _fail(self, now: float, fault: StoreFault | None = None) -> None:
        self.call = 0
        self.entry = None
        if fault is StoreFault.COMPACTED:
            self.next_at = now
            return
        self.next_at = now + self.retry_seconds * (0.5 + self.rng.random() / 2)
        self.retry_seconds = min(2 * self.retry_seconds, MAX_RETRY_DELAY_SECONDS)

    def stop(self) -> None:
        """Discard the pending call and the last answer."""
        self.call = 0
        self.entry = None
        self.confirmed_at = None
