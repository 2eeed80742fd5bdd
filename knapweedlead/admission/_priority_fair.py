"""Priority queue with weighted fair queueing among client accounts."""

from collections import OrderedDict
from collections.abc import Callable
from typing import ClassVar

import attrs

from knapweedlead.admission._calls import IMPORTANT_PRIORITY, QueuedCall
from knapweedlead.admission._queues import QUEUES
from knapweedlead.parameters import Constraint

SLOTS_PER_RESERVED_SLOT = 40
"""One slot out of this many is reserved for important calls."""

RESERVE_SECONDS = 30.0
"""Time after the arrival of an important call for which slots stay reserved."""

MAX_IDLE_ACCOUNTS = 512
"""Accounts without queued calls whose virtual start time is kept."""


@attrs.define(eq=False)
class _AccountQueue:
    """Queued calls of one account within a priority.

    Parameters
    ----------
    start : float
        Virtual start time of the account's next call.
    weight : float
        Weight of the account, as of its newest call.
    """

    start: float
    weight: float = 1.0
    by_run: OrderedDict[int, QueuedCall] = attrs.field(factory=OrderedDict)

    @property
    def weighted_length(self) -> float:
        """Number of queued calls divided by the account's weight."""
        return len(self.by_run) / self.weight


@attrs.define(eq=False)
class _PriorityQueue:
    """Queued calls of one priority, by account (start-time fair queueing)."""

    virtual_time: float = 0.0
    by_account: dict[str, _AccountQueue] = attrs.field(factory=dict)
    last_start_by_account: dict[str, float] = attrs.field(factory=dict)

    def push(self, call: QueuedCall) -> None:
        queue = self.by_account.get(call.account)
        if queue is None:
            last = self.last_start_by_account.get(call.account, 0.0)
            queue = _AccountQueue(max(self.virtual_time, last))
            self.by_account[call.account] = queue
        queue.by_run[call.run] = call
        queue.weight = call.weight

    def pop(self) -> QueuedCall:
        account = min(self.by_account, key=lambda name: self.by_account[name].start)
        queue = self.by_account[account]
        _, call = queue.by_run.popitem(last=False)
        self.virtual_time = queue.start
        queue.start += 1.0 / call.weight
        self.remove_if_empty(account)
        return call

    def pop_newest_of_largest(self) -> QueuedCall:
        account = max(
            self.by_account, key=lambda name: self.by_account[name].weighted_length
        )
        _, call = self.by_account[account].by_run.popitem()
        self.remove_if_empty(account)
        return call

    def remove_if_empty(self, account: str) -> None:
        queue = self.by_account[account]
        if queue.by_run:
            return
        del self.by_account[account]
        if len(self.last_start_by_account) >= MAX_IDLE_ACCOUNTS:
            self._prune()
        self.last_start_by_account.pop(account, None)
        self.last_start_by_account[account] = queue.start

    def _prune(self) -> None:
        ahead = [
            (name, start)
            for name, start in self.last_start_by_account.items()
            if start > self.virtual_time
        ]
        self.last_start_by_account = dict(ahead[-MAX_IDLE_ACCOUNTS // 2 :])


@QUEUES.register("priority_fair")
class PriorityFairQueue:
    """Serves calls by priority, and by weighted fair queueing within a priority.

    When the queue is full, a call of the least important priority is displaced:
    the newest call of the account with the most queued calls relative to
    its weight.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {}

    def __init__(self) -> None:
        self._by_priority: dict[int, _PriorityQueue] = {}
        self._call_by_run: dict[int, QueuedCall] = {}
        self._last_important_at: float | None = None

    def __len__(self) -> int:
        return len(self._call_by_run)

    def push(self, call: QueuedCall, capacity: int, now: float) -> QueuedCall | None:
        """Add a call; return the call displaced if `capacity` is exceeded, or None.

        The returned call may be `call` itself.
        """
        self._record_arrival(call, now)
        self._by_priority.setdefault(call.priority, _PriorityQueue()).push(call)
        self._call_by_run[call.run] = call
        if len(self._call_by_run) <= capacity:
            return None
        displaced = self._select(max).pop_newest_of_largest()
        del self._call_by_run[displaced.run]
        return displaced

    def pop(self, now: float) -> QueuedCall | None:
        """Remove and return the next call, or None if the queue is empty."""
        if not self._call_by_run:
            return None
        call = self._select(min).pop()
        del self._call_by_run[call.run]
        return call

    def next_priority(self) -> int | None:
        """Return the priority of the next call, or None if the queue is empty."""
        priorities = [p for p, queue in self._by_priority.items() if queue.by_account]
        return min(priorities, default=None)

    def reserve(self, limit: int, now: float) -> int:
        """Return how many slots are reserved, 0 without recent important calls."""
        if (
            self._last_important_at is None
            or now - self._last_important_at > RESERVE_SECONDS
        ):
            return 0
        return limit // SLOTS_PER_RESERVED_SLOT

    def remove(self, run: int) -> QueuedCall | None:
        """Remove and return a call, in constant time; None if it is not queued."""
        call = self._call_by_run.pop(run, None)
        if call is not None:
            queue = self._by_priority[call.priority]
            del queue.by_account[call.account].by_run[run]
            queue.remove_if_empty(call.account)
        return call

    def remove_where(self, condition: Callable[[QueuedCall], bool]) -> list[QueuedCall]:
        """Remove and return the calls that satisfy a condition."""
        removed = [call for call in self._call_by_run.values() if condition(call)]
        for call in removed:
            self.remove(call.run)
        return removed

    def _record_arrival(self, call: QueuedCall, now: float) -> None:
        if call.priority <= IMPORTANT_PRIORITY:
            self._last_important_at = now

    def _select(self, choose: Callable[[list[int]], int]) -> _PriorityQueue:
        priorities = [p for p, queue in self._by_priority.items() if queue.by_account]
        return self._by_priority[choose(priorities)]
