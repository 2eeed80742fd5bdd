"""Load shedding: refuses calls at the entry, before work is wasted on them."""

import itertools
import random
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import attrs

TARGET_UTILIZATION = 0.9
"""Fraction of a service's slots that admitted calls may require; the rest absorbs
bursts of arrivals."""
FULL_LOAD = 0.95
"""Ratio of running and queued calls to slots above which a service counts as full, so
that its demand estimate needs correction."""
CORRECTION_RATE = 0.25
"""Exponent of the correction that one update applies to the estimate."""
MIN_CORRECTION = 0.3
MAX_CORRECTION = 2.0
NEAR_FULL = 0.5
"""Ratio of the demand on a service to its slots above which daemons exchange their
demand more often."""
RISE_SMOOTHING = 0.5
FALL_SMOOTHING = 0.3
"""Weight of the newest update in the smoothed demand when the demand rises or falls.
The smoothed demand covers two or three updates. A surge must be detected faster than
its end."""
MIN_SHARE = 0.02
"""Fraction of the least important calls that is always admitted, so that a recovery is
detected."""
MIN_SLOT_TIME = 0.0005
"""Seconds of slot time from which a call counts as using a service."""
MIN_RATE = 1e-6
"""Smoothed calls per second below which the rate of a route is forgotten."""

_DemandKey = tuple[str, int, str]
"""Service, rank and route."""


@attrs.frozen
class ServiceLoad:
    """Capacity and load of a service.

    Parameters
    ----------
    slots : float
        Calls that the open backend servers of the service may run concurrently, with
        the limits on their rates.
    load : int
        Running and queued calls.
    demand : float
        Slots that callers' calls at the other daemons would occupy, as announced by
        these daemons.
    """

    slots: float
    load: int
    demand: float


class Shedder:
    """Decides which calls of callers are admitted.

    Protects services with few slots from a surge of calls that reach them through other
    services: a call that is refused deep in its call tree has wasted all the work done
    above it in the tree. For each service, the slots that all callers' calls would
    occupy are compared with the available slots. Each entry admits the same fraction of
    its local demand, the most important calls first. Among equally important routes the
    slots are divided with max-min fairness, so that a route with little demand is not
    refused because of a route with much demand.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    is_near_full : bool
        Whether the demand on some service exceeds `NEAR_FULL` of its slots, so that the
        daemons should exchange their demand more often.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.share_by_service: dict[str, float] = {}
        self.local_demand_by_service: dict[str, float] = {}
        self._correction_by_service: dict[str, float] = defaultdict(lambda: 1.0)
        self._arrivals: dict[tuple[str, int], int] = defaultdict(int)
        self._rate_by_route_and_rank: dict[tuple[str, int], float] = {}
        self._slot_times_by_route: Mapping[str, Mapping[str, float]] = {}
        self._share_by_demand: dict[_DemandKey, float] = {}
        self._updated_at: float | None = None
        self.is_near_full = False

    def admit(self, route: str, rank: int) -> bool:
        """Count a call of a caller and return whether it is admitted.

        Parameters
        ----------
        route : str
        rank : int
            Rank of the call; 0 is the most important.
        """
        self._arrivals[route, rank] += 1
        share = self.share(route, rank)
        return share >= 1.0 or self.rng.random() < share

    def share(self, route: str, rank: int) -> float:
        """Return the admitted fraction of the calls with a given route and rank."""
        slot_times = self._slot_times_by_route.get(route)
        if not slot_times or not self._share_by_demand:
            return 1.0
        shares = self._share_by_demand
        return min(
            (
                shares.get((service, rank, route), 1.0)
                for service, slot_time in slot_times.items()
                if slot_time >= MIN_SLOT_TIME
            ),
            default=1.0,
        )

    def update(
        self,
        slot_times_by_route: Mapping[str, Mapping[str, float]],
        load_by_service: Mapping[str, ServiceLoad],
        now: float,
    ) -> None:
        """Recompute the admitted shares from the demand and the loads.

        Parameters
        ----------
        slot_times_by_route : dict of str to dict of str to float
            Seconds of slot time that a call on a route uses at each service.
        load_by_service : dict of str to ServiceLoad
        now : float
        """
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._slot_times_by_route = slot_times_by_route
        if elapsed <= 0.0:
            self._arrivals.clear()
            return
        self._update_rates(elapsed)
        demands = self._local_demands()
        self.local_demand_by_service = _sum_by_service(demands)
        self._share_by_demand = {}
        self.is_near_full = any(
            load.demand + self.local_demand_by_service.get(service, 0.0)
            > NEAR_FULL * load.slots
            for service, load in load_by_service.items()
        )
        self._compute_shares(demands, load_by_service)

    def _compute_shares(
        self,
        demands: Mapping[_DemandKey, float],
        load_by_service: Mapping[str, ServiceLoad],
    ) -> None:
        """Limit the demand on the scarcest service first, then on the next scarcest.

        Calls refused because of one service no longer count as demand on the other
        services, so that calls which use only other services are not refused as well.
        """
        self.share_by_service = dict.fromkeys(load_by_service, 1.0)
        local_by_service = _sum_by_service(demands)
        share_by_call = {(rank, route): 1.0 for _, rank, route in demands}
        remaining = dict(load_by_service)
        while remaining:
            admitted = {
                key: demand * share_by_call[key[1:]] for key, demand in demands.items()
            }
            admitted_by_service = _sum_by_service(admitted)
            shares = {
                service: self._capacity_share(
                    service,
                    load,
                    local_by_service.get(service, 0.0),
                    admitted_by_service.get(service, 0.0),
                )
                for service, load in remaining.items()
            }
            scarcest = min(shares, key=lambda service: shares[service])
            if shares[scarcest] >= 1.0:
                break
            del remaining[scarcest]
            self.share_by_service[scarcest] = shares[scarcest]
            self._allocate(scarcest, shares[scarcest], demands, admitted)
            for key in (key for key in self._share_by_demand if key[0] == scarcest):
                if self._slot_times_by_route[key[2]][scarcest] >= MIN_SLOT_TIME:
                    share = self._share_by_demand[key]
                    share_by_call[key[1:]] = min(share_by_call[key[1:]], share)
        self._update_corrections(load_by_service)

    def _capacity_share(
        self, service: str, load: ServiceLoad, local: float, remaining: float
    ) -> float:
        """Return the fraction of the remaining demand that a service has slots for.

        Parameters
        ----------
        service : str
        load : ServiceLoad
        local : float
            Slots that the calls of this daemon's callers would occupy.
        remaining : float
            Of these, the slots for calls that other services still admit.
        """
        if load.slots <= 0 or local <= 0.0 or remaining <= 0.0:
            return 1.0
        total = (load.demand + local) * remaining / local
        correction = self._correction_by_service[service]
        return TARGET_UTILIZATION * load.slots * correction / total

    def _update_corrections(self, load_by_service: Mapping[str, ServiceLoad]) -> None:
        """Correct the demand estimates from the actual load of the services."""
        for service, load in load_by_service.items():
            fullness = max(0.1, load.load / max(1, load.slots))
            correction = 1.0
            if fullness > FULL_LOAD or self.share_by_service[service] < 1.0:
                correction = self._correction_by_service[service]
                correction *= (FULL_LOAD / fullness) ** CORRECTION_RATE
                correction = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
            self._correction_by_service[service] = correction

    def _update_rates(self, elapsed: float) -> None:
        rates = self._rate_by_route_and_rank
        for key in rates.keys() | self._arrivals.keys():
            rate = self._arrivals.get(key, 0) / elapsed
            previous = rates.get(key, rate)
            weight = RISE_SMOOTHING if rate > previous else FALL_SMOOTHING
            rates[key] = previous + weight * (rate - previous)
        for key in [key for key, rate in rates.items() if rate < MIN_RATE]:
            del rates[key]
        self._arrivals.clear()

    def _local_demands(self) -> dict[_DemandKey, float]:
        demands: dict[_DemandKey, float] = defaultdict(float)
        for (route, rank), rate in self._rate_by_route_and_rank.items():
            for service, slot_time in self._slot_times_by_route.get(route, {}).items():
                demands[service, rank, route] += rate * slot_time
        return demands

    def _allocate(
        self,
        service: str,
        share: float,
        demands: Mapping[_DemandKey, float],
        admitted: Mapping[_DemandKey, float],
    ) -> None:
        """Allocate the admitted local demand, the most important calls first."""
        keys = [key for key, demand in admitted.items() if key[0] == service and demand]
        remaining = share * sum(admitted[key] for key in keys)
        by_rank = itertools.groupby(sorted(keys), key=lambda key: key[1])
        for _, group in by_rank:
            equal_rank = {key: admitted[key] for key in group}
            for key, granted in max_min_fair(equal_rank, remaining).items():
                key_share = max(MIN_SHARE, granted / demands[key])
                self._share_by_demand[key] = min(1.0, key_share)
            remaining = max(0.0, remaining - sum(equal_rank.values()))


def _sum_by_service(demands: Mapping[_DemandKey, float]) -> dict[str, float]:
    total: dict[str, float] = defaultdict(float)
    for (service, _, _), demand in demands.items():
        total[service] += demand
    return total


def max_min_fair(demands: Mapping[Any, float], capacity: float) -> dict[Any, float]:
    """Divide a capacity among demands with max-min fairness.

    Demands of at most an equal share are granted in full; the rest of
    the capacity is divided equally among the larger demands.
    """
    granted: dict[Any, float] = {}
    ascending = sorted(demands, key=lambda key: demands[key])
    for index, key in enumerate(ascending):
        granted[key] = min(demands[key], capacity / (len(ascending) - index))
        capacity -= granted[key]
    return granted
