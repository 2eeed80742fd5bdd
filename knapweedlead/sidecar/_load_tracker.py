"""Exchange of demand on all services among the daemons, and load shedding."""

from knapweedlead.mesh import (
    DemandExchange,
    DemandSum,
    Entry,
    Guard,
    ServiceLoad,
    Target,
    slot_times_by_route,
)
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._wire import FrameKind, demand_frame


class LoadTracker:
    """Updates the shedder with the demand on all services and the services' load.

    Parameters
    ----------
    entry : Entry
    guard : Guard
    links : Links
    exchange : DemandExchange
    targets_by_service : dict of str to list of Target
    recorder : MeshRecorder
    """

    def __init__(
        self,
        entry: Entry,
        guard: Guard,
        links: Links,
        exchange: DemandExchange,
        targets_by_service: dict[str, list[Target]],
        recorder: MeshRecorder,
    ) -> None:
        self.entry = entry
        self.guard = guard
        self.links = links
        self.exchange = exchange
        self.targets_by_service = targets_by_service
        self.recorder = recorder

    def send_demand(self, now: float) -> None:
        """Send the messages of the demand exchange that are due."""
        shedder = self.entry.shedder
        estimates = self.guard.demand.estimates()
        own = DemandSum(
            dict(shedder.local_demand_by_service),
            estimates,
            dict.fromkeys(estimates, 1.0),
        )
        data_centre_by_name = {
            link.name: link.member.data_centre for link in self.links.open_links()
        }
        outbox = self.exchange.update(
            own, data_centre_by_name, shedder.is_near_full, now
        )
        if outbox is None:
            return
        name = self.exchange.name
        if outbox.report_to is not None:
            frame = demand_frame(FrameKind.DEMAND_REPORT, name, outbox.report)
            self.links.send_to((outbox.report_to,), frame)
        if outbox.peers:
            frame = demand_frame(FrameKind.DEMAND_PEER_SUM, name, outbox.report)
            self.links.send_to(outbox.peers, frame)
        if outbox.reporters:
            frame = demand_frame(FrameKind.DEMAND_FLEET_SUM, name, outbox.total)
            self.links.reply_to(outbox.reporters, frame)

    def update(self, now: float) -> None:
        """Recompute the shares of the callers' calls that are admitted."""
        configuration = self.entry.configuration
        if configuration is None:
            return
        slot_times = slot_times_by_route(configuration, self.exchange.estimates)
        demand_of_others = self.exchange.demand_of_others(now)
        loads = {}
        for service, targets in self.targets_by_service.items():
            open_targets = [target for target in targets if target.is_open]
            loads[service] = ServiceLoad(
                slots=sum(target.state.capacity for target in open_targets),
                load=sum(target.load for target in open_targets),
                demand=demand_of_others.get(service, 0.0),
            )
        self.entry.shedder.update(slot_times, loads, now)
        self._record_shares()

    def _record_shares(self) -> None:
        shares = {
            service: round(share, 2)
            for service, share in self.entry.shedder.share_by_service.items()
            if share < 1.0
        }
        if shares:
            text = ",".join(f"{name}:{share}" for name, share in shares.items())
            self.recorder.log("shedding", shares=text)
