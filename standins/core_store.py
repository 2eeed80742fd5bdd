"""Fake of the platform's store for simulated cores."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from result import Err, Ok, Result

from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.positions import StorePosition
from knapweedlead.store import (
    CompareAndSwap,
    CreateLease,
    Delete,
    Entry,
    Get,
    LeaseGranted,
    List,
    Listing,
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    Watch,
    Written,
)
from standins._store_state import StoreState

ResultCallback = Callable[[Result[StoreResult, StoreError]], None]

WRITES = (CompareAndSwap, Delete, CreateLease, RenewLease, RevokeLease)


class Clock(Protocol):
    """A simulated clock with scheduled actions."""

    now: float

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""


@attrs.define(eq=False)
class _PendingWatch:
    operation: Watch
    on_result: ResultCallback
    is_done: bool = False


class CoreStore:
    """State, fault injection and pending watches of the simulated store.

    Attributes
    ----------
    mode : str
        ``none``, ``down``, ``lose_answers``, ``lose_writes`` (writes are not
        executed), ``silent_watches`` or ``compacted_watches``.
    calls : Counter
        Number of calls by operation name.
    """

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = "none"
        self.calls: Counter[str] = Counter()
        self._pending_watches: list[_PendingWatch] = []

    def call(
        self, operation: StoreOperation, clock: Clock, on_result: ResultCallback
    ) -> None:
        """Execute an operation and pass the result to `on_result`.

        The result of a watch is passed once the key changes or its wait time ends.
        """
        self.calls[type(operation).__name__] += 1
        self.state.expire(clock.now)
        if self.mode == "down":
            on_result(_failed(StoreFault.UNAVAILABLE))
            return
        if isinstance(operation, WRITES) and self.mode == "lose_writes":
            on_result(_failed(StoreFault.UNAVAILABLE))
            return
        if isinstance(operation, Watch) and self.mode == "compacted_watches":
            on_result(_failed(StoreFault.COMPACTED))
            return
        if isinstance(operation, Watch):
            self._watch(operation, clock, on_result)
            return
        result = self._execute(operation, clock.now)
        self._notify_watches()
        if self.mode == "lose_answers" and isinstance(operation, WRITES):
            result = _failed(StoreFault.UNKNOWN_OUTCOME)
        on_result(result)

    def _watch(self, operation: Watch, clock: Clock, on_result: ResultCallback) -> None:
        pending = _PendingWatch(operation, on_result)
        self._pending_watches.append(pending)
        clock.at(clock.now + operation.wait, lambda: self._answer(pending))
        self._notify_watches()

    def _notify_watches(self) -> None:
        if self.mode == "silent_watches":
            return
        for pending in list(self._pending_watches):
            if self._read(pending.operation.key).position != pending.operation.after:
                self._answer(pending)

    def _answer(self, pending: _PendingWatch) -> None:
        if pending.is_done:
            return
        pending.is_done = True
        self._pending_watches.remove(pending)
        if self.mode == "down":
            pending.on_result(_failed(StoreFault.UNAVAILABLE))
        else:
            pending.on_result(Ok(self._read(pending.operation.key)))

    def _read(self, key: str) -> Entry:
        entry = self.state.by_key.get(key)
        value, revision = (entry.value, entry.revision) if entry else (b"", 0)
        return Entry(key, value, StorePosition(self.state.era, revision))

    def _is_current(self, expected: StorePosition) -> bool:
        return not expected.revision or expected.era == self.state.era

    def _execute(self, operation: Any, now: float) -> Result[Any, StoreError]:
        state = self.state
        match operation:
            case Get(key):
                return Ok(self._read(key))
            case List(prefix):
                return Ok(
                    Listing(tuple(self._read(key) for key in state.list_prefix(prefix)))
                )
            case CompareAndSwap(key, value, expected, lease):
                if not self._is_current(expected):
                    return _failed(StoreFault.CONFLICT)
                revision = expected.revision
                return _written(state.compare_and_swap(key, value, revision, lease))
            case Delete(key, expected):
                is_current = self._is_current(expected)
                return _written(is_current and state.delete(key, expected.revision))
            case CreateLease(seconds):
                return Ok(LeaseGranted(state.create_lease(seconds, now), seconds))
            case RenewLease(lease):
                stored = state.renew_lease(lease, now)
                if stored is None:
                    return _failed(StoreFault.CONFLICT)
                return Ok(LeaseGranted(lease, stored.seconds))
            case RevokeLease(lease):
                state.revoke_lease(lease)
                return Ok(Written())
        raise TypeError(f"unknown operation {operation!r}")


def _written(is_written: bool) -> Result[Any, StoreError]:
    return Ok(Written()) if is_written else _failed(StoreFault.CONFLICT)


def _failed(fault: StoreFault) -> Err[StoreError]:
    return Err(StoreError("store", "store", fault.value, fault))
