"""Shedding: refuses calls of callers at the entry before they waste work below."""

import random
from collections import defaultdict
from collections.abc import Mapping

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
DEMAND_SMOOTHING = 0.3
"""Weight of the newest look in the demand; about three looks of memory."""
MIN_SHARE = 0.02
"""Part of the least important calls that is always admitted, to see a recovery."""
MIN_SLOT_TIME = 0.0005
"""Seconds of slot time below which a call does not count as asking a service."""


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
    admits the same part of its own demand, the most important calls first.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.share_by_service: dict[str, float] = {}
        self.own_demand_by_service: dict[str, float] = {}
        self._correction_by_service: dict[str, float] = defaultdict(lambda: 1.0)
        self._arrivals: dict[tuple[str, int], int] = defaultdict(int)
        self._rate_by_route_and_rank: dict[tuple[str, int], float] = {}
        self._slot_times_by_route: Mapping[str, Mapping[str, float]] = {}
        self._share_by_service_and_rank: dict[tuple[str, int], float] = {}
        self._looked_at: float | None = None

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
        if not slot_times or not self._share_by_service_and_rank:
            return 1.0
        shares = self._share_by_service_and_rank
        return min(
            (
                shares.get((service, rank), 1.0)
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
            return
        self._measure(elapsed)
        demand_by_service_and_rank = self._own_demand()
        self.own_demand_by_service = defaultdict(float)
        for (service, _), demand in demand_by_service_and_rank.items():
            self.own_demand_by_service[service] += demand
        self._share_by_service_and_rank = {}
        for service, load in load_by_service.items():
            share = self._share_of(service, load)
            if share < 1.0:
                self._divide(service, share, demand_by_service_and_rank)

    def _measure(self, elapsed: float) -> None:
        rates = self._rate_by_route_and_rank
        for key in rates.keys() | self._arrivals.keys():
            rate = self._arrivals.get(key, 0) / elapsed
            before = rates.get(key, rate)
            rates[key] = before + DEMAND_SMOOTHING * (rate - before)
        self._arrivals.clear()

    def _own_demand(self) -> dict[tuple[str, int], float]:
        demand: dict[tuple[str, int], float] = defaultdict(float)
        for (route, rank), rate in self._rate_by_route_and_rank.items():
            for service, slot_time in self._slot_times_by_route.get(route, {}).items():
                demand[service, rank] += rate * slot_time
        return demand

    def _share_of(self, service: str, load: ServiceLoad) -> float:
        """Return the part of the demand on a service that it can take."""
        demand = load.demand + self.own_demand_by_service.get(service, 0.0)
        if load.slots <= 0 or demand <= 0.0:
            self.share_by_service[service] = 1.0
            return 1.0
        fullness = max(0.1, load.load / load.slots)
        correction = self._correction_by_service[service]
        if fullness > FULL_LOAD or self.share_by_service.get(service, 1.0) < 1.0:
            correction *= (FULL_LOAD / fullness) ** CORRECTION_RATE
            correction = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
        else:
            correction = 1.0
        self._correction_by_service[service] = correction
        share = TARGET_UTILIZATION * load.slots * correction / demand
        self.share_by_service[service] = min(1.0, share)
        return share

    def _divide(
        self,
        service: str,
        share: float,
        demand_by_service_and_rank: Mapping[tuple[str, int], float],
    ) -> None:
        """Spend the admitted part of the own demand on the most important calls."""
        demand_by_rank = {
            rank: demand
            for (name, rank), demand in demand_by_service_and_rank.items()
            if name == service and demand > 0.0
        }
        left = share * sum(demand_by_rank.values())
        for rank in sorted(demand_by_rank):
            demand = demand_by_rank[rank]
            admitted = min(1.0, max(MIN_SHARE, left / demand))
            self._share_by_service_and_rank[service, rank] = admitted
            left = max(0.0, left - demand)
