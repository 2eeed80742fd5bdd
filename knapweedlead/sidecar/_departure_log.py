"""Record in the store of the starts of the local backend server that have left."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from knapweedlead.backoffs import FullJitter
from knapweedlead.errors import StoreError
from knapweedlead.mesh import DepartedStart, departure_key
from knapweedlead.platform import PlatformStore

MAX_DEPARTURES = 4
"""Starts of one backend server that are kept; the oldest ones are removed. Heartbeats
arrive seconds late, not after several further starts."""
RETRY_BASE_DELAY = 0.3
MAX_RETRY_DELAY = 1.5
"""Upper bounds, in seconds, of the first and of later delays between attempts to write
while the store is unavailable."""


class DepartureLog:
    """Writes each departure to the store, and tells when the store has it.

    A departure that is acknowledged to the server has to outlive this daemon and all
    of its peers. Each one has a key of its own, so that a write that is executed late
    replaces nothing.

    Parameters
    ----------
    name : str
        Name of the local daemon.
    store : PlatformStore
    rng : random.Random
    on_outcome : callable
        Called after each write with the error, or None.
    """

    def __init__(
        self,
        name: str,
        store: PlatformStore,
        rng: random.Random,
        on_outcome: Callable[[StoreError | None], None],
    ) -> None:
        self.name = name
        self.store = store
        self.rng = rng
        self.on_outcome = on_outcome
        self._start_by_key: dict[str, DepartedStart] = {}
        self._pending: dict[str, None] = {}
        self._outdated: dict[str, None] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def learn(self, by_key: dict[str, DepartedStart]) -> None:
        """Record departures that the store holds."""
        for key, start in by_key.items():
            self._start_by_key.setdefault(key, start)

    def record(self, start: DepartedStart) -> None:
        """Write a departure to the store, unless the store has it."""
        key = departure_key(self.name, start)
        if key not in self._start_by_key:
            self._start_by_key[key] = start
            self._write(key)

    def restore(self) -> None:
        """Write all departures again, since the store came back from a copy."""
        for key in self._start_by_key:
            self._write(key)

    def is_recorded(self, start: DepartedStart) -> bool:
        """Return whether the store has a departure."""
        key = departure_key(self.name, start)
        return key in self._start_by_key and key not in self._pending

    async def wait_recorded(self, start: DepartedStart, seconds: float) -> bool:
        """Wait until the store has a departure; return whether it has."""
        key = departure_key(self.name, start)
        if key in self._pending:
            future = self._waiting.setdefault(
                key, asyncio.get_running_loop().create_future()
            )
            await asyncio.wait([future], timeout=seconds)
        return self.is_recorded(start)

    def cancel(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()

    def _write(self, key: str) -> None:
        self._pending[key] = None
        while len(self._start_by_key) > MAX_DEPARTURES:
            oldest = min(
                self._start_by_key, key=lambda key: self._start_by_key[key].left_ms
            )
            del self._start_by_key[oldest]
            self._pending.pop(oldest, None)
            self._outdated[oldest] = None
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._write_pending())

    async def _write_pending(self) -> None:
        backoff = FullJitter(RETRY_BASE_DELAY, MAX_RETRY_DELAY)
        failures = 0
        while self._pending:
            by_key = {key: self._start_by_key[key] for key in self._pending}
            outdated = list(self._outdated)[:MAX_DEPARTURES]
            result = await self.store.record_departures(by_key, outdated)
            if isinstance(result, Err):
                failures += 1
                self.on_outcome(result.err_value)
                await asyncio.sleep(backoff.delay(failures, self.rng))
                continue
            failures = 0
            self.on_outcome(None)
            for key in outdated:
                del self._outdated[key]
            for key in by_key:
                self._pending.pop(key, None)
                future = self._waiting.pop(key, None)
                if future is not None and not future.done():
                    future.set_result(None)
