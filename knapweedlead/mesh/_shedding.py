"""Shedding: refuses calls of callers at the entry before they waste work below."""

import itertools
import random
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import attrs

TARGET_UTILIZATION = 0.9
"""Part of a service's slots that admitted calls may ask for; the rest takes up that
calls do not come evenly."""
FULL_LOAD = 0.95
"""Running and waiting calls relative to the slots from which a service counts as
full, so that the estimate of its demand needs correction."""
CORRECTION_RATE = 0.25
"""Exponent with which one look corrects the estimate."""
MIN_CORRECTION = 0.3
MAX_CORRECTION = 2.0
NEAR_FULL = 0.5
"""Demand on a service relative to its slots from which it is watched closely."""
RISE_SMOOTHING = 0.5
FALL_SMOOTHING = 0.3
"""Weight of the newest look in the demand, about two or three looks of memory; a
surge is to be seen sooner than its end."""
MIN_SHARE = 0.02
"""Part of the least important calls that is always admitted, to see a recovery."""
MIN_SLOT_TIME = 0.0005
"""Seconds of slot time below which a call does not count as asking a service."""

_DemandKey = tuple[str, int, str]
"""Service, rank and route."""


@attrs.frozen
class ServiceLoad:
    """How busy a service is.

    Parameters
    ----------
    slots : int
        Calls that its open backend servers take at once.
    load : int
        Calls that run or wait.
    demand : float
        Slots that callers' calls would occupy, told by the other daemons.
    """

    slots: int
    load: int
    demand: float


class Shedder:
    """Decides which calls of callers are admitted.

    Answers a surge of calls whose trees end at a service with few slots: a call that
    is turned away deep in its tree has wasted all the work above. The slots that all
    callers ask for are compared with those there are, service by service; each entry
    admits the same part of its own demand, the most important calls first. Among
    equally important routes the slots are divided fairly, so that a route which asks
    for little is not refused because of one that asks for much.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    is_near_full : bool
        Whether the demand on some service comes close to its slots, so that the
        daemons are to tell each other more often what is asked of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.share_by_service: dict[str, float] = {}
        self.own_demand_by_service: dict[str, float] = {}
        self._correction_by_service: dict[str, float] = defaultdict(lambda: 1.0)
        self._arrivals: dict[tuple[str, int], int] = defaultdict(int)
        self._rate_by_route_and_rank: dict[tuple[str, int], float] = {}
        self._slot_times_by_route: Mapping[str, Mapping[str, float]] = {}
        self._share_by_demand: dict[_DemandKey, float] = {}
        self._looked_at: float | None = None
        self.is_near_full = False

    def admit(self, route: str, rank: int) -> bool:
        """Count a call of a caller and return whether it is admitted.

        Parameters
        ----------
        route : str
        rank : int
            Importance; 0 is the most important.
        """
        self._arrivals[route, rank] += 1
        share = self.share(route, rank)
        return share >= 1.0 or self.rng.random() < share

    def share(self, route: str, rank: int) -> float:
        """Return the part of the calls on a route that is admitted."""
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

    def look(
        self,
        slot_times_by_route: Mapping[str, Mapping[str, float]],
        load_by_service: Mapping[str, ServiceLoad],
        now: float,
    ) -> None:
        """Decide anew from the demand and the loads.

        Parameters
        ----------
        slot_times_by_route : dict of str to dict of str to float
            Slot seconds that a call on a route asks of each service.
        load_by_service : dict of str to ServiceLoad
        now : float
        """
        elapsed = 0.0 if self._looked_at is None else now - self._looked_at
        self._looked_at = now
        self._slot_times_by_route = slot_times_by_route
        if elapsed <= 0.0:
            self._arrivals.clear()
            return
        self._update_rates(elapsed)
        demands = self._local_demands()
        self.own_demand_by_service = defaultdict(float)
        for (service, _, _), demand in demands.items():
            self.own_demand_by_service[service] += demand
        self._share_by_demand = {}
        self.is_near_full = any(
            load.demand + self.own_demand_by_service.get(service, 0.0)
            > NEAR_FULL * load.slots
            for service, load in load_by_service.items()
        )
        self._compute_shares(demands, load_by_service)

    def _compute_shares(
        self,
        demands: Mapping[_DemandKey, float],
        load_by_service: Mapping[str, ServiceLoad],
    ) -> None:
        """Cut the demand on the scarcest service first, then on the next one.

        What is refused for the sake of one service asks no other one for anything,
        so that calls which only touch the others are not refused with it.
        """
        self.share_by_service = dict.fromkeys(load_by_service, 1.0)
        waiting = dict(load_by_service)
        while waiting:
            admitted = {
                key: demand * self.share(key[2], key[1])
                for key, demand in demands.items()
            }
            shares = {
                service: self._capacity_share(service, load, demands, admitted)
                for service, load in waiting.items()
            }
            scarcest = min(shares, key=lambda service: shares[service])
            if shares[scarcest] >= 1.0:
                break
            del waiting[scarcest]
            self.share_by_service[scarcest] = shares[scarcest]
            self._allocate(scarcest, shares[scarcest], demands, admitted)
        self._update_corrections(load_by_service)

    def _capacity_share(
        self,
        service: str,
        load: ServiceLoad,
        demands: Mapping[_DemandKey, float],
        admitted: Mapping[_DemandKey, float],
    ) -> float:
        """Return the part of the demand left on a service that it can take."""
        own = sum(demand for key, demand in demands.items() if key[0] == service)
        left = sum(demand for key, demand in admitted.items() if key[0] == service)
        if load.slots <= 0 or own <= 0.0 or left <= 0.0:
            return 1.0
        total = (load.demand + own) * left / own
        correction = self._correction_by_service[service]
        return TARGET_UTILIZATION * load.slots * correction / total

    def _update_corrections(self, load_by_service: Mapping[str, ServiceLoad]) -> None:
        """Correct the estimates by how full the services are."""
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
            before = rates.get(key, rate)
            weight = RISE_SMOOTHING if rate > before else FALL_SMOOTHING
            rates[key] = before + weight * (rate - before)
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
        """Spend the admitted part of the own demand on the most important calls."""
        keys = [key for key, demand in admitted.items() if key[0] == service and demand]
        left = share * sum(admitted[key] for key in keys)
        by_rank = itertools.groupby(sorted(keys), key=lambda key: key[1])
        for _, group in by_rank:
            equals = {key: admitted[key] for key in group}
            for key, granted in max_min_fair(equals, left).items():
                part = max(MIN_SHARE, granted / demands[key])
                self._share_by_demand[key] = min(1.0, part)
            left = max(0.0, left - sum(equals.values()))


def max_min_fair(demands: Mapping[Any, float], capacity: float) -> dict[Any, float]:
    """Divide a capacity so that no demand gains at the cost of a smaller one."""
    granted: dict[Any, float] = {}
    waiting = sorted(demands, key=lambda key: demands[key])
    for index, key in enumerate(waiting):
        granted[key] = min(demands[key], capacity / (len(waiting) - index))
        capacity -= granted[key]
    return granted
