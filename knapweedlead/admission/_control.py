"""Admission control of one backend server: limit, queue and cold start."""

from collections.abc import Callable

import attrs

from knapweedlead.admission._calls import IMPORTANT_PRIORITY, QueuedCall, Sample
from knapweedlead.admission._cold_starts import COLD_STARTS
from knapweedlead.admission._limiters import LIMITERS
from knapweedlead.admission._queues import QUEUES
from knapweedlead.admission._refusals import RefusedPriorities
from knapweedlead.admission._route_times import RouteTimes
from knapweedlead.parameters import check_parameters

MIN_QUEUE_CAPACITY = 16
"""Least capacity of the queue, beyond the calls for which a slot is free."""

REQUIRED_BUDGET_SHARE = 0.5
"""Largest share of the time budget that must remain for a call to be started."""

ABANDONED_SLOWDOWN = 1.5
"""Slowdown from which a call that ended without an answer yields a sample."""

STALLED_SLOWDOWN = 3.0
"""Slowdown from which a call that still runs counts as stalled."""


@attrs.frozen
class CallMeasurement:
    """Times and result of a call that ended, as measured by its guard.

    Parameters
    ----------
    route : str
        Name of the route.
    self_s : float
        Self time: seconds until the answer, or until the first child call.
    total_s : float
        Seconds until the call ended.
    has_children : bool
        Whether the call made child calls.
    is_failure : bool
        Whether the backend server failed, rather than the caller or a child call.
    is_answered : bool
        Whether the call was answered, so that its times are complete.
    is_sampled : bool
        Whether a sample was already recorded when the call stalled.
    """

    route: str
    self_s: float
    total_s: float
    has_children: bool
    is_failure: bool
    is_answered: bool
    is_sampled: bool = False


class AdmissionControl:
    """Decides which calls run on the backend server, and when.

    Parameters
    ----------
    slots, cold_slots : int
        Calls that the backend server can run concurrently, warm and cold.
    cold_start_s : float
        Duration of a cold start in seconds; 0 disables cold starts.
    limiter, queue, cold_start : str
        Registered names of the policies.
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
        self._self_times = RouteTimes()
        self._total_times = RouteTimes()
        self._running: set[int] = set()

    @property
    def limit(self) -> int:
        """Calls that may currently run concurrently."""
        return min(self.limiter.limit, self.cold_start.limit)

    @property
    def in_flight(self) -> int:
        """Calls that occupy a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self.queue)

    @property
    def is_cold(self) -> bool:
        """Whether the backend server is in its cold start."""
        return self.cold_start.state in ("cold", "ramping")

    def offer(self, call: QueuedCall, now: float) -> QueuedCall | None:
        """Queue a call; return the call that it displaces, if any.

        Calls for which a slot is free are queued too: the caller starts them
        through `dequeue`.
        """
        self.cold_start.advance(now)
        free_slots = max(0, self.limit - self.in_flight)
        capacity = free_slots + max(MIN_QUEUE_CAPACITY, self.limit)
        displaced = self.queue.push(call, capacity, now)
        if displaced is not None:
            self.refused_priorities.record_refused(displaced.priority, now)
        return displaced

    def dequeue(self, now: float) -> QueuedCall | None:
        """Dequeue the next call and occupy a slot, or return None if none may start.

        The caller checks with `is_worth_starting` whether to run the call, and
        frees its slot with `release` if it does not.
        """
        priority = self.queue.next_priority()
        if priority is None or self.in_flight >= self._limit_for(priority, now):
            return None
        call = self.queue.pop(now)
        if call is not None:
            self._running.add(call.run)
        return call

    def is_worth_starting(self, call: QueuedCall, now: float) -> bool:
        """Return whether a call is expected to meet its deadline if it starts now.

        The remaining time must exceed the typical time of the route. At most half
        of the call's time budget is required, so that a call that has just
        arrived is started however slow its route has become.
        """
        budget = call.deadline - call.arrived_at
        typical = self._total_times.typical(call.route)
        return call.deadline - now > min(typical, REQUIRED_BUDGET_SHARE * budget)

    def record_started(self, call: QueuedCall, now: float) -> None:
        """Record that a call was sent to the backend server."""
        self.refused_priorities.record_started(call.priority, now)

    def release(self, run: int) -> None:
        """Free the slot of a call that was not run."""
        self._running.discard(run)

    def end(self, run: int, measurement: CallMeasurement, now: float) -> None:
        """Free the slot of a call that ended; update typical times and limits."""
        if run not in self._running:
            return
        in_flight = self.in_flight
        self._running.discard(run)
        key = _self_time_key(measurement.route, measurement.has_children)
        slowdown = self._self_times.slowdown(key, measurement.self_s)
        if measurement.is_answered:
            is_limited = self.limit < self.slots
            self._self_times.add(key, measurement.self_s, now, is_limited)
            self._total_times.add(
                measurement.route, measurement.total_s, now, is_limited
            )
        is_informative = (
            measurement.is_answered
            or measurement.is_failure
            or slowdown >= ABANDONED_SLOWDOWN
        )
        if is_informative and not measurement.is_sampled:
            started_at = now - measurement.total_s
            sample = Sample(slowdown, measurement.is_failure, in_flight, started_at)
            self._observe(sample, now)

    def is_stalled(self, route: str, self_s: float) -> bool:
        """Return whether a running call counts as stalled.

        Parameters
        ----------
        route : str
            Route of the call, which has made no child call so far.
        self_s : float
            Seconds since the call was started.
        """
        return self._self_times.slowdown(route, self_s) >= STALLED_SLOWDOWN

    def record_stalled(self, started_at: float, now: float) -> None:
        """Record a sample for a running call that has stalled."""
        sample = Sample(STALLED_SLOWDOWN, False, self.in_flight, started_at)
        self._observe(sample, now)

    def fire(self, event: str, now: float) -> None:
        """Pass an event of ``backend_server.json`` to the cold start policy."""
        self.cold_start.fire(event, now)

    def drop(self, run: int) -> QueuedCall | None:
        """Remove and return a queued call, or None if it is not queued."""
        return self.queue.remove(run)

    def drop_where(self, condition: Callable[[QueuedCall], bool]) -> list[QueuedCall]:
        """Remove and return the queued calls that satisfy a condition."""
        return self.queue.remove_where(condition)

    def _observe(self, sample: Sample, now: float) -> None:
        self.limiter.observe(sample, now)
        self.cold_start.observe(sample, now)

    def _limit_for(self, priority: int, now: float) -> int:
        if priority <= IMPORTANT_PRIORITY:
            return self.limit
        return max(1, self.limit - self.queue.reserve(self.limit, now))


def _self_time_key(route: str, has_children: bool) -> str:
    return f"{route}\n" if has_children else route
