"""Bounded queues of calls that wait for a slot."""

from collections import OrderedDict
from collections.abc import Callable
from typing import ClassVar, Protocol

from knapweedlead.admission._calls import QueuedCall
from knapweedlead.parameters import Constraint
from knapweedlead.registries import Registry


class Queue(Protocol):
    """A policy for the order of queued calls and for which of them are displaced."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    def __len__(self) -> int: ...

    def push(self, call: QueuedCall, capacity: int, now: float) -> QueuedCall | None:
        """Add a call; return the call displaced if `capacity` is exceeded, or None.

        The returned call may be `call` itself.
        """

    def pop(self, now: float) -> QueuedCall | None:
        """Remove and return the next call, or None if the queue is empty."""

    def next_priority(self) -> int | None:
        """Return the priority of the next call, or None if the queue is empty."""

    def reserve(self, limit: int, now: float) -> int:
        """Return how many slots of `limit` are reserved for important calls."""

    def remove(self, run: int) -> QueuedCall | None:
        """Remove and return a call, in constant time; None if it is not queued."""

    def remove_where(self, condition: Callable[[QueuedCall], bool]) -> list[QueuedCall]:
        """Remove and return the calls that satisfy a condition."""


QUEUES: Registry[Queue] = Registry("queue")


@QUEUES.register("fifo")
class FifoQueue:
    """Serves calls in order of arrival and refuses new ones when full."""

    parameter_constraints: ClassVar[dict[str, Constraint]] = {}

    def __init__(self) -> None:
        self._calls: OrderedDict[int, QueuedCall] = OrderedDict()

    def __len__(self) -> int:
        return len(self._calls)

    def push(self, call: QueuedCall, capacity: int, now: float) -> QueuedCall | None:
        """Add a call, or return it when the queue is full."""
        if len(self._calls) >= capacity:
            return call
        self._calls[call.run] = call
        return None

    def pop(self, now: float) -> QueuedCall | None:
        """Remove and return the oldest call, or None if the queue is empty."""
        if not self._calls:
            return None
        return self._calls.popitem(last=False)[1]

    def next_priority(self) -> int | None:
        """Return the priority of the oldest call, or None if the queue is empty."""
        first = next(iter(self._calls.values()), None)
        return None if first is None else first.priority

    def reserve(self, limit: int, now: float) -> int:
        """Return 0: no slots are reserved."""
        return 0

    def remove(self, run: int) -> QueuedCall | None:
        """Remove and return a call, or None if it is not queued."""
        return self._calls.pop(run, None)

    def remove_where(self, condition: Callable[[QueuedCall], bool]) -> list[QueuedCall]:
        """Remove and return the calls that satisfy a condition."""
        removed = [call for call in self._calls.values() if condition(call)]
        for call in removed:
            del self._calls[call.run]
        return removed
