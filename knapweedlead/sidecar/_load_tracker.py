"""Exchange of demand on all services among the daemons, and load shedding."""

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

ESTIMATES_PERIOD = 1.8
"""Longest interval, in seconds, between broadcasts of the estimated demand of routes,
which changes slowly."""
DEMAND_FRAMES_PER_SECOND = 250.0
"""Maximum demand frames per second that a daemon sends, and also receives, in a large
fleet; at about 10 us a frame, sending and receiving together take half a percent of a
core."""
MERGE_PERIOD = 1.0
"""Seconds for which the merged estimates of all daemons are reused."""


class LoadTracker:
    """Updates the shedder with the demand on all services and the services' load.

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
        self._sent_at = -math.inf
        self._estimates_sent_at = -math.inf
        self._sent_estimates: dict[str, RouteDemand] = {}
        self._merged_at = -math.inf
        self._merged_estimates: dict[str, RouteDemand] = {}

    def broadcast_demand(self, now: float) -> None:
        """Broadcast the callers' demand, with the estimates if these are new or due.

        Nothing is sent if there are no such estimates and no service is near full, or
        if the frame would exceed `DEMAND_FRAMES_PER_SECOND`.
        """
        if now - self._sent_at < len(self.links.accepted) / DEMAND_FRAMES_PER_SECOND:
            return
        estimates = self.guard.demand.estimates()
        is_due = now - self._estimates_sent_at >= ESTIMATES_PERIOD
        is_new = is_due or has_changed(estimates, self._sent_estimates)
        if not (is_new or self.entry.shedder.is_near_full):
            return
        self._sent_at = now
        if is_new:
            self._sent_estimates = estimates
            self._estimates_sent_at = now
        local_demand = self.entry.shedder.local_demand_by_service
        self.links.broadcast(demand_frame(estimates if is_new else {}, local_demand))

    def update(self, now: float) -> None:
        """Recompute the shares of the callers' calls that are admitted."""
        configuration = self.entry.configuration
        if configuration is None:
            return
        links = self.links.open_links()
        estimates = self._merge([link.demand_by_route for link in links], now)
        known = [configuration.route_by_name.get(name) for name in estimates]
        slot_times = {
            route.name: slot_time_by_service(route, configuration, estimates)
            for route in known
            if route is not None and not route.is_public
        }
        loads = {}
        for service, targets in self.targets_by_service.items():
            open_targets = [target for target in targets if target.is_open]
            loads[service] = ServiceLoad(
                slots=sum(target.state.limit for target in open_targets),
                load=sum(target.load for target in open_targets),
                demand=sum(link.demand_by_service.get(service, 0.0) for link in links),
            )
        self.entry.shedder.update(slot_times, loads, now)
        self._record_shares()

    def _merge(
        self, peer_estimates: list[dict[str, RouteDemand]], now: float
    ) -> dict[str, RouteDemand]:
        if now - self._merged_at >= MERGE_PERIOD:
            self._merged_at = now
            self._merged_estimates = merge_estimates(
                [self.guard.demand.estimates(), *peer_estimates]
            )
        return self._merged_estimates

    def _record_shares(self) -> None:
        shares = {
            service: round(share, 2)
            for service, share in self.entry.shedder.share_by_service.items()
            if share < 1.0
        }
        if shares:
            text = ",".join(f"{name}:{share}" for name, share in shares.items())
            self.recorder.log("shedding", shares=text)
