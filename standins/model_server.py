"""Fake backend server whose work grows wasteful when it is overrun."""

import heapq
import random
from collections import defaultdict

import attrs

from standins.cores import CoreBackendServer, RunningRequest

REQUEST_HEADER = "x-request"
"""Header that names a caller's request over its whole tree."""

UNLIMITED = 10**9

_SPREAD = 0.3
"""Sigma of the lognormal service time."""


@attrs.define
class WorkLedger:
    """Seconds of work spent on each caller's request, over all backend servers."""

    seconds_by_request: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )


@attrs.define(eq=False)
class ModelServer(CoreBackendServer):
    """A backend server with a true capacity that its daemon may not know.

    Above its capacity each request takes longer than its share of the capacity
    explains, so that the work done falls. In a cold start a request above the
    cold capacity fails, and the cold start begins again.

    Parameters
    ----------
    rng : random.Random
        Source of service times.
    ledger : WorkLedger
        Takes the work of each request.
    capacity : float
        Requests that run at once at full speed.
    thrash : float
        Exponent of the work wasted by crowding; 0 wastes none.
    cold_slots : int
        Capacity in a cold start.
    cold_s : float
        Seconds of a cold start; then the capacity doubles each `warming_s`.
    warming_s : float
        Seconds in which the capacity doubles after a cold start.
    heeds_cancel : bool
        Whether a cancelled request stops taking capacity.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    ledger: WorkLedger = attrs.field(factory=WorkLedger)
    capacity: float = 16.0
    thrash: float = 0.7
    cold_slots: int = 4
    cold_s: float = 5.0
    warming_s: float = 0.6
    heeds_cancel: bool = True
    slots: int = UNLIMITED
    cold_since: float | None = None
    slowness: float = 1.0
    overruns: list[float] = attrs.field(factory=list)
    """Times at which a request began above the cold capacity."""
    most_in_cold: int = 0
    _ends: list[float] = attrs.field(factory=list)

    def turn_cold(self, now: float) -> None:
        """Begin a cold start."""
        self.cold_since = now

    def capacity_at(self, now: float) -> float:
        """Return how many requests run at full speed."""
        if self.cold_since is None:
            return self.capacity
        warm_for = now - self.cold_since - self.cold_s
        if warm_for < 0.0:
            return float(self.cold_slots)
        warmed: float = self.cold_slots * 2.0 ** (warm_for / self.warming_s)
        return min(self.capacity, warmed)

    def work_s(self, request: RunningRequest, now: float) -> float:
        """Return the seconds that a request takes beside those that run."""
        at_once = self._at_once(now)
        capacity = self.capacity_at(now)
        crowding = max(1.0, at_once / capacity)
        spread = self.rng.lognormvariate(0.0, _SPREAD)
        seconds = self.service_s * self.slowness * spread
        seconds *= crowding ** (1.0 + self.thrash)
        if self._is_in_cold(now):
            self._note_cold(request, at_once, now)
        heapq.heappush(self._ends, now + seconds)
        self.ledger.seconds_by_request[request.headers.get(REQUEST_HEADER, "")] += (
            seconds / crowding
        )
        return seconds

    def status_of(self, request: RunningRequest) -> int:
        """Return 0, a broken connection, for requests that ran into a cold start."""
        return 0 if request.started_at in self.overruns[-200:] else self.status

    def _at_once(self, now: float) -> int:
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if self.heeds_cancel:
            return len(self.running_by_run)
        return len(self._ends) + 1

    def _is_in_cold(self, now: float) -> bool:
        return self.cold_since is not None and now - self.cold_since < self.cold_s

    def _note_cold(self, request: RunningRequest, at_once: int, now: float) -> None:
        self.most_in_cold = max(self.most_in_cold, at_once)
        if at_once > self.cold_slots:
            self.overruns.append(now)
            self.cold_since = now
