"""What callers ask of all services, told among the daemons."""

import math

from knapweedlead.mesh import (
    Entry,
    Guard,
    RouteDemand,
    ServiceLoad,
    Target,
    has_changed,
    merge_estimates,
    slot_time_by_service,
)
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._wire import demand_frame

ROWS_PERIOD = 1.8
"""Seconds between tellings of what routes ask for, which changes slowly."""
TELLS_PER_SECOND = 250.0
"""Demand frames that a daemon sends, and receives, in a large fleet; at some 10 us a
frame that is half a percent of a core for both."""
MERGES_PERIOD = 1.0
"""Seconds for which the merged knowledge of all daemons is used again."""


class LoadWatch:
    """Feeds the shedder with the loads of all services.

    Parameters
    ----------
    entry : Entry
    guard : Guard
    links : Links
    targets_by_service : dict of str to list of Target
    recorder : MeshRecorder
    """

    def __init__(
        self,
        entry: Entry,
        guard: Guard,
        links: Links,
        targets_by_service: dict[str, list[Target]],
        recorder: MeshRecorder,
    ) -> None:
        self.entry = entry
        self.guard = guard
        self.links = links
        self.targets_by_service = targets_by_service
        self.recorder = recorder
        self._told_at = -math.inf
        self._told_rows_at = -math.inf
        self._told_rows: dict[str, RouteDemand] = {}
        self._merged_at = -math.inf
        self._merged_rows: dict[str, RouteDemand] = {}

    def tell_demand(self, now: float) -> None:
        """Tell the peers what callers ask for, and what routes ask for if it is new."""
        if now - self._told_at < len(self.links.accepted) / TELLS_PER_SECOND:
            return
        rows = self.guard.demand.estimates()
        is_due = now - self._told_rows_at >= ROWS_PERIOD
        is_new = is_due or has_changed(rows, self._told_rows)
        if not (is_new or self.entry.shedder.is_near_full):
            return
        self._told_at = now
        if is_new:
            self._told_rows = rows
            self._told_rows_at = now
        own_demand = self.entry.shedder.local_demand_by_service
        self.links.broadcast(demand_frame(rows if is_new else {}, own_demand))

    def look(self, now: float) -> None:
        """Decide anew what callers' calls are admitted."""
        configuration = self.entry.configuration
        if configuration is None:
            return
        links = self.links.lenders()
        rows = self._merge([link.rows for link in links], now)
        known = [configuration.route_by_name.get(name) for name in rows]
        slot_times = {
            route.name: slot_time_by_service(route, configuration, rows)
            for route in known
            if route is not None and not route.is_public
        }
        loads = {}
        for service, targets in self.targets_by_service.items():
            opened = [target for target in targets if target.is_open]
            loads[service] = ServiceLoad(
                slots=sum(target.state.limit for target in opened),
                load=sum(target.load for target in opened),
                demand=sum(link.demand_by_service.get(service, 0.0) for link in links),
            )
        self.entry.shedder.update(slot_times, loads, now)
        self._record_shares()

    def _merge(
        self, told: list[dict[str, RouteDemand]], now: float
    ) -> dict[str, RouteDemand]:
        if now - self._merged_at >= MERGES_PERIOD:
            self._merged_at = now
            self._merged_rows = merge_estimates([self.guard.demand.estimates(), *told])
        return self._merged_rows

    def _record_shares(self) -> None:
        shares = {
            service: round(share, 2)
            for service, share in self.entry.shedder.share_by_service.items()
            if share < 1.0
        }
        if shares:
            text = ",".join(f"{name}:{share}" for name, share in shares.items())
            self.recorder.log("shedding", shares=text)
