"""Fake backend server whose throughput falls under overload."""

import heapq
import random
from collections import defaultdict

import attrs

from standins.cores import CoreBackendServer, RunningRequest

REQUEST_HEADER = "x-request"
"""Header that identifies a caller's request in its whole call tree."""

UNLIMITED = 10**9

_SPREAD = 0.3
"""Sigma of the lognormal distribution of service times."""


@attrs.define
class WorkLedger:
    """Seconds of work for each caller's request, summed over all backend servers."""

    seconds_by_request: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )


@attrs.define(eq=False)
class ModelServer(CoreBackendServer):
    """A backend server whose capacity may differ from its daemon's settings.

    Above the capacity, service times grow faster than the concurrency, so that the
    throughput falls. During a cold start, a request above the cold capacity fails and
    restarts the cold start.

    Parameters
    ----------
    rng : random.Random
        Source of service times.
    ledger : WorkLedger
        Records the work of each request.
    capacity : float
        Requests that run concurrently at full speed.
    thrash : float
        Exponent of the throughput loss above the capacity; 0 for no loss.
    cold_slots : int
        Capacity during a cold start.
    cold_s : float
        Duration of a cold start; then the capacity doubles every `warming_s`.
    warming_s : float
        Doubling time of the capacity after a cold start, in seconds.
    stops_on_cancel : bool
        Whether a cancelled request stops using capacity.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    ledger: WorkLedger = attrs.field(factory=WorkLedger)
    capacity: float = 16.0
    thrash: float = 0.7
    cold_slots: int = 4
    cold_s: float = 5.0
    warming_s: float = 0.6
    stops_on_cancel: bool = True
    slots: int = UNLIMITED
    cold_since: float | None = None
    slowdown: float = 1.0
    overruns: list[float] = attrs.field(factory=list)
    """Times at which a request started above the cold capacity."""
    most_running_cold: int = 0
    _ends: list[float] = attrs.field(factory=list)

    def start_cold(self, now: float) -> None:
        """Start a cold start."""
        self.cold_since = now

    def capacity_at(self, now: float) -> float:
        """Return how many requests run concurrently at full speed."""
        if self.cold_since is None:
            return self.capacity
        warm_for = now - self.cold_since - self.cold_s
        if warm_for < 0.0:
            return float(self.cold_slots)
        warmed: float = self.cold_slots * 2.0 ** (warm_for / self.warming_s)
        return min(self.capacity, warmed)

    def work_s(self, request: RunningRequest, now: float) -> float:
        """Return the service time of a request at the present concurrency."""
        concurrency = self._concurrency(now)
        capacity = self.capacity_at(now)
        crowding = max(1.0, concurrency / capacity)
        spread = self.rng.lognormvariate(0.0, _SPREAD)
        seconds = self.service_s * self.slowdown * spread
        seconds *= crowding ** (1.0 + self.thrash)
        if self._is_cold(now):
            self._record_cold_request(request, concurrency, now)
        heapq.heappush(self._ends, now + seconds)
        self.ledger.seconds_by_request[request.headers.get(REQUEST_HEADER, "")] += (
            seconds / crowding
        )
        return seconds

    def status_of(self, request: RunningRequest) -> int:
        """Return the status, or 0 (broken connection) after a cold overload."""
        return 0 if request.started_at in self.overruns[-200:] else self.status

    def _concurrency(self, now: float) -> int:
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if self.stops_on_cancel:
            return len(self.running_by_run)
        return len(self._ends) + 1

    def _is_cold(self, now: float) -> bool:
        return self.cold_since is not None and now - self.cold_since < self.cold_s

    def _record_cold_request(
        self, request: RunningRequest, concurrency: int, now: float
    ) -> None:
        self.most_running_cold = max(self.most_running_cold, concurrency)
        if concurrency > self.cold_slots:
            self.overruns.append(now)
            self.cold_since = now
