"""Admission of calls to one backend server: limit, queue and cold start."""

from collections.abc import Callable

import attrs

from knapweedlead.admission._calls import IMPORTANT_PRIORITY, QueuedCall, Sample
from knapweedlead.admission._cold_starts import COLD_STARTS
from knapweedlead.admission._limiters import LIMITERS
from knapweedlead.admission._queues import QUEUES
from knapweedlead.admission._refusals import RefusedPriorities
from knapweedlead.admission._route_times import RouteTimes
from knapweedlead.parameters import check_parameters

MIN_QUEUE = 16
"""Calls that may wait at least."""

BUDGET_SHARE = 0.5
"""Share of a call's time budget up to which its usual time is asked of it."""

SLOW_SLOWDOWN = 1.5
"""Slowdown from which a call that was given up counts as slow."""

STALLED_SLOWDOWN = 3.0
"""Slowdown from which a call without an answer counts as slow."""


@attrs.frozen
class Measured:
    """What a guard measured of a call that ended.

    Parameters
    ----------
    route : str
        Name of the route.
    own_s : float
        Seconds until the answer, or until the first child call.
    total_s : float
        Seconds until the end.
    has_children : bool
        Whether the call made child calls.
    is_failure : bool
        Whether the backend server itself failed.
    is_whole : bool
        Whether the call was answered, so that its times are known.
    is_counted : bool
        Whether the call was already counted as far too slow.
    """

    route: str
    own_s: float
    total_s: float
    has_children: bool
    is_failure: bool
    is_whole: bool
    is_counted: bool = False


class AdmissionControl:
    """Decides which calls run on the backend server, and when.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server runs at once, warm and cold.
    cold_start_s : float
        Seconds that a cold start lasts; 0 means that there is none.
    limiter, queue, cold_start : str
        Names of the policies.
    """

    def __init__(
        self,
        slots: int,
        cold_slots: int,
        cold_start_s: float,
        limiter: str = "adaptive",
        queue: str = "priority_fair",
        cold_start: str = "ramp",
    ) -> None:
        self.slots = slots
        self.limiter = LIMITERS.create(limiter, slots=slots)
        self.queue = QUEUES.create(queue)
        self.cold_start = COLD_STARTS.create(
            cold_start, slots=slots, cold_slots=cold_slots, cold_start_s=cold_start_s
        )
        for policy in (self.limiter, self.queue, self.cold_start):
            check_parameters(policy)
        self.refused_priorities = RefusedPriorities()
        self._own_times = RouteTimes()
        self._total_times = RouteTimes()
        self._running: set[int] = set()

    @property
    def limit(self) -> int:
        """Calls that may run at once now."""
        return min(self.limiter.limit, self.cold_start.limit)

    @property
    def in_flight(self) -> int:
        """Calls that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self.queue)

    @property
    def is_cold(self) -> bool:
        """Whether the backend server is in its cold start."""
        return self.cold_start.state in ("cold", "ramping")

    def offer(self, call: QueuedCall, now: float) -> QueuedCall | None:
        """Let a call wait; return the call that gives way, if any.

        Calls that can run at once are taken out again by `next_to_start`.
        """
        self.cold_start.advance(now)
        room = max(0, self.limit - self.in_flight)
        capacity = room + max(MIN_QUEUE, self.limit)
        displaced = self.queue.push(call, capacity, now)
        if displaced is not None:
            self.refused_priorities.note_refused(displaced.priority, now)
        return displaced

    def next_to_start(self, now: float) -> QueuedCall | None:
        """Return the next call, which takes a slot, or None if none may start.

        The caller checks with `is_worth_starting` whether to run it, and gives
        the slot of a call that it does not run back with `release`.
        """
        priority = self.queue.next_priority()
        if priority is None or self.in_flight >= self._limit_for(priority, now):
            return None
        call = self.queue.pop(now)
        if call is not None:
            self._running.add(call.run)
        return call

    def is_worth_starting(self, call: QueuedCall, now: float) -> bool:
        """Return whether a call can end in time if it starts now."""
        budget = call.deadline - call.arrived_at
        usual = self._total_times.usual(call.route)
        return call.deadline - now > min(usual, BUDGET_SHARE * budget)

    def note_started(self, call: QueuedCall, now: float) -> None:
        """Take up that a call was sent to the backend server."""
        self.refused_priorities.note_started(call.priority, now)

    def release(self, run: int) -> None:
        """Free the slot of a call that was not run."""
        self._running.discard(run)

    def end(self, run: int, measured: Measured, now: float) -> None:
        """Free the slot of a call that ended, and learn from it."""
        if run not in self._running:
            return
        in_flight = self.in_flight
        self._running.discard(run)
        key = _own_key(measured.route, measured.has_children)
        slowdown = self._own_times.slowdown(key, measured.own_s)
        if measured.is_whole:
            is_squeezed = self.limit < self.slots
            self._own_times.add(key, measured.own_s, now, is_squeezed)
            self._total_times.add(measured.route, measured.total_s, now, is_squeezed)
        is_telling = (
            measured.is_whole or measured.is_failure or slowdown >= SLOW_SLOWDOWN
        )
        if is_telling and not measured.is_counted:
            started_at = now - measured.total_s
            sample = Sample(slowdown, measured.is_failure, in_flight, started_at)
            self._observe(sample, now)

    def is_stalled(self, route: str, own_s: float) -> bool:
        """Return whether a call without answer or child call is far too slow."""
        return self._own_times.slowdown(route, own_s) >= STALLED_SLOWDOWN

    def note_stalled(self, started_at: float, now: float) -> None:
        """Take up that a running call is far too slow."""
        sample = Sample(STALLED_SLOWDOWN, False, self.in_flight, started_at)
        self._observe(sample, now)

    def fire(self, event: str, now: float) -> None:
        """Hand an event of ``backend_server.json`` to the cold start."""
        self.cold_start.fire(event, now)

    def drop_where(self, condition: Callable[[QueuedCall], bool]) -> list[QueuedCall]:
        """Remove and return the waiting calls that satisfy a condition."""
        return self.queue.remove_where(condition)

    def _observe(self, sample: Sample, now: float) -> None:
        self.limiter.observe(sample, now)
        self.cold_start.observe(sample, now)

    def _limit_for(self, priority: int, now: float) -> int:
        if priority <= IMPORTANT_PRIORITY:
            return self.limit
        return max(1, self.limit - self.queue.reserve(self.limit, now))


def _own_key(route: str, has_children: bool) -> str:
    return f"{route}\n" if has_children else route
