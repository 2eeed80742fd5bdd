"""Fake of the platform's store for cores under a hand-driven clock."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from result import Err, Ok, Result

from knapweedlead.errors import StoreError, StoreFault
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

Answered = Callable[[Result[StoreResult, StoreError]], None]

WRITES = (CompareAndSwap, Delete, CreateLease, RenewLease, RevokeLease)


class Clock(Protocol):
    """A hand-driven clock with an agenda."""

    now: float

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""


@attrs.define(eq=False)
class _Waiter:
    operation: Watch
    answered: Answered
    is_done: bool = False


class CoreStore:
    """The store's state, its faults and the watches that wait.

    Attributes
    ----------
    mode : str
        ``none``, ``down``, ``lose_answers``, ``silent_watches`` or
        ``compacted_watches``.
    calls : Counter
        Calls by operation name.
    """

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = "none"
        self.calls: Counter[str] = Counter()
        self._waiters: list[_Waiter] = []

    def call(self, operation: StoreOperation, clock: Clock, answered: Answered) -> None:
        """Carry out an operation and hand on its answer."""
        self.calls[type(operation).__name__] += 1
        self.state.expire(clock.now)
        if self.mode == "down":
            answered(_failed(StoreFault.UNAVAILABLE))
            return
        if isinstance(operation, Watch) and self.mode == "compacted_watches":
            answered(_failed(StoreFault.COMPACTED))
            return
        if isinstance(operation, Watch):
            self._watch(operation, clock, answered)
            return
        result = self._carry_out(operation, clock.now)
        self._wake_waiters()
        if self.mode == "lose_answers" and isinstance(operation, WRITES):
            result = _failed(StoreFault.UNKNOWN_OUTCOME)
        answered(result)

    def _watch(self, operation: Watch, clock: Clock, answered: Answered) -> None:
        waiter = _Waiter(operation, answered)
        self._waiters.append(waiter)
        clock.at(clock.now + operation.wait, lambda: self._answer(waiter))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        if self.mode == "silent_watches":
            return
        for waiter in list(self._waiters):
            if self._read(waiter.operation.key).revision != waiter.operation.after:
                self._answer(waiter)

    def _answer(self, waiter: _Waiter) -> None:
        if waiter.is_done:
            return
        waiter.is_done = True
        self._waiters.remove(waiter)
        if self.mode == "down":
            waiter.answered(_failed(StoreFault.UNAVAILABLE))
        else:
            waiter.answered(Ok(self._read(waiter.operation.key)))

    def _read(self, key: str) -> Entry:
        entry = self.state.by_key.get(key)
        return Entry(key, entry.value, entry.revision) if entry else Entry(key, b"", 0)

    def _carry_out(self, operation: Any, now: float) -> Result[Any, StoreError]:
        state = self.state
        match operation:
            case Get(key):
                return Ok(self._read(key))
            case List(prefix):
                return Ok(
                    Listing(tuple(self._read(key) for key in state.under(prefix)))
                )
            case CompareAndSwap(key, value, expected, lease):
                return _written(
                    state.compare_and_swap(key, value, expected, lease), state.revision
                )
            case Delete(key, expected):
                return _written(state.delete(key, expected), 0)
            case CreateLease(seconds):
                return Ok(LeaseGranted(state.create_lease(seconds, now), seconds))
            case RenewLease(lease):
                stored = state.renew_lease(lease, now)
                if stored is None:
                    return _failed(StoreFault.CONFLICT)
                return Ok(LeaseGranted(lease, stored.seconds))
            case RevokeLease(lease):
                state.revoke_lease(lease)
                return Ok(Written(0))
        raise TypeError(f"unknown operation {operation!r}")


def _written(is_written: bool, revision: int) -> Result[Any, StoreError]:
    return Ok(Written(revision)) if is_written else _failed(StoreFault.CONFLICT)


def _failed(fault: StoreFault) -> Err[StoreError]:
    return Err(StoreError("store", "store", fault.value, fault))
