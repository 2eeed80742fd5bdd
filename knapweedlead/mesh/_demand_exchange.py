"""Aggregation of demand: one daemon of each data centre adds up what the others report.

Each daemon reports its demand to the aggregator of its data centre. Aggregators send
each other the sum of their data centre, and send the sum of the fleet to the daemons
that report to them. A daemon therefore sends and receives one message per period,
however large the fleet is, and only aggregators send to other data centres.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from knapweedlead.mesh._demand import RouteDemand
from knapweedlead.mesh._relays import hash_order

BUSY_PERIOD = 0.25
"""Seconds between reports while some service is near its capacity."""
IDLE_PERIOD = 1.0
"""Seconds between reports otherwise."""
REPORT_LIFETIME = 3.0
"""Seconds for which a received report or sum counts; three idle periods."""
REPLY_TIMEOUT = 1.6
"""Seconds without a sum of the fleet after which the aggregator is replaced; its idle
period and the delay of two messages."""
SKIP_TIME = 5.0
"""Seconds for which an aggregator that did not reply is passed over."""
PAUSE = 1.5
"""Seconds between two updates from which this daemon counts as paused. What it has
received before is then outdated, and is not passed on."""


@attrs.frozen
class DemandSum:
    """Sum of the demand of a number of daemons.

    Parameters
    ----------
    demand_by_service : dict of str to float
        Slots that the calls of the daemons' callers would occupy.
    estimate_by_route : dict of str to RouteDemand
        Mean of the estimates of the daemons.
    weight_by_route : dict of str to float
        Number of daemons in each of these means.
    """

    demand_by_service: dict[str, float] = attrs.field(factory=dict)
    estimate_by_route: dict[str, RouteDemand] = attrs.field(factory=dict)
    weight_by_route: dict[str, float] = attrs.field(factory=dict)


def add_sums(sums: Iterable[DemandSum]) -> DemandSum:
    """Return the sum of demands, with the weighted means of the estimates."""
    demand: dict[str, float] = defaultdict(float)
    weight: dict[str, float] = defaultdict(float)
    slot_time: dict[str, float] = defaultdict(float)
    calls: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for part in sums:
        for service, slots in part.demand_by_service.items():
            demand[service] += slots
        for route, estimate in part.estimate_by_route.items():
            share = part.weight_by_route.get(route, 0.0)
            if share <= 0.0:
                continue
            weight[route] += share
            slot_time[route] += share * estimate.slot_time
            for child, ratio in estimate.ratio_by_child.items():
                calls[route][child] += share * ratio
    estimate_by_route = {
        route: RouteDemand(
            slot_time[route] / count,
            {child: total / count for child, total in calls[route].items()},
        )
        for route, count in weight.items()
    }
    return DemandSum(dict(demand), estimate_by_route, dict(weight))


@attrs.frozen
class Outbox:
    """Messages that a daemon is to send after an update.

    Parameters
    ----------
    report_to : str or None
        Aggregator that receives `report`.
    report : DemandSum
        Demand of this daemon and of the daemons that report to it.
    peers : tuple of str
        Aggregators of the other data centres, which receive `report` too.
    total : DemandSum
        Demand of the fleet, for the daemons in `reporters`.
    reporters : tuple of str
    """

    report_to: str | None = None
    report: DemandSum = DemandSum()
    peers: tuple[str, ...] = ()
    total: DemandSum = DemandSum()
    reporters: tuple[str, ...] = ()


@attrs.frozen
class _Received:
    part: DemandSum
    at: float


class DemandExchange:
    """Decides what a daemon reports to whom, and adds up what it receives.

    The aggregator of a data centre is its first reachable daemon in the order of a hash
    of the names. Daemons may disagree about it for a while: a daemon adds up the
    reports that it receives, whoever it takes for the aggregator. A sum that is wrong
    or missing affects which calls are shed, but no limit on accounts, keys or cold
    servers.

    Parameters
    ----------
    name, data_centre : str
        This daemon.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.fleet_sum = DemandSum()
        self._reported = DemandSum()
        self._report_by_name: dict[str, _Received] = {}
        self._peer_sum_by_name: dict[str, _Received] = {}
        self._aggregator: str | None = None
        self._waiting_since: float | None = None
        self._fleet_sum_at = -math.inf
        self._skipped_until_by_name: dict[str, float] = {}
        self._peer_chosen_at_by_name: dict[str, float] = {}
        self._updated_at = -math.inf
        self._sent_at = -math.inf

    def demand_of_others(self, now: float) -> dict[str, float]:
        """Return the slots by service that the other daemons' callers would occupy.

        Empty if no sum of the fleet has been received recently.
        """
        if now - self._fleet_sum_at > REPORT_LIFETIME:
            return {}
        own = self._reported.demand_by_service
        return {
            service: max(0.0, slots - own.get(service, 0.0))
            for service, slots in self.fleet_sum.demand_by_service.items()
        }

    @property
    def estimates(self) -> dict[str, RouteDemand]:
        """The fleet's estimates by route; the last known ones if outdated."""
        return self.fleet_sum.estimate_by_route

    def receive_report(self, name: str, part: DemandSum, now: float) -> None:
        """Record the report of a daemon of this data centre."""
        self._report_by_name[name] = _Received(part, now)

    def receive_peer_sum(self, name: str, part: DemandSum, now: float) -> None:
        """Record the sum of another data centre, sent by the aggregator `name`."""
        self._peer_sum_by_name[name] = _Received(part, now)

    def receive_fleet_sum(self, name: str, total: DemandSum, now: float) -> None:
        """Record the sum of the fleet, sent by the aggregator of this data centre."""
        if name == self._aggregator:
            self._waiting_since = None
            self._set_fleet_sum(total, now)

    def _set_fleet_sum(self, total: DemandSum, now: float) -> None:
        self.fleet_sum = total
        self._fleet_sum_at = now

    def update(
        self,
        own: DemandSum,
        data_centre_by_name: Mapping[str, str],
        is_busy: bool,
        now: float,
    ) -> Outbox | None:
        """Return the messages to send now, or None if none are due.

        Parameters
        ----------
        own : DemandSum
            Demand and estimates of this daemon.
        data_centre_by_name : dict of str to str
            Data centres of the reachable daemons, without this one.
        is_busy : bool
            Whether some service is near its capacity.
        now : float
        """
        was_paused = now - self._updated_at > PAUSE
        self._updated_at = now
        if was_paused:
            self._forget_all()
        if now - self._sent_at < (BUSY_PERIOD if is_busy else IDLE_PERIOD):
            return None
        self._sent_at = now
        self._drop_outdated(now)
        self._reported = own
        subtotal = add_sums([own, *_parts(self._report_by_name)])
        aggregator = self._choose_own(data_centre_by_name, now)
        reporters = tuple(self._report_by_name)
        if aggregator != self.name:
            self._peer_chosen_at_by_name.clear()
            is_known = now - self._fleet_sum_at <= REPORT_LIFETIME
            return Outbox(
                aggregator, subtotal, (), self.fleet_sum, reporters if is_known else ()
            )
        total = add_sums([subtotal, *_parts(self._peer_sum_by_name)])
        self._set_fleet_sum(total, now)
        others = sorted(set(data_centre_by_name.values()) - {self.data_centre})
        peers = tuple(
            self._choose_peer(other, data_centre_by_name, now) for other in others
        )
        self._peer_chosen_at_by_name = {
            peer: self._peer_chosen_at_by_name[peer] for peer in peers
        }
        return Outbox(None, subtotal, peers, total, reporters)

    def _choose(
        self, data_centre: str, data_centre_by_name: Mapping[str, str], now: float
    ) -> str:
        """Return the aggregator of a data centre."""
        names = [
            name
            for name, location in data_centre_by_name.items()
            if location == data_centre
        ]
        if data_centre == self.data_centre:
            names.append(self.name)
        skipped = self._skipped_until_by_name
        willing = [name for name in names if skipped.get(name, -math.inf) <= now]
        return min(willing or names, key=hash_order)

    def _choose_own(self, data_centre_by_name: Mapping[str, str], now: float) -> str:
        """Return this data centre's aggregator; pass over one that does not reply."""
        aggregator = self._choose(self.data_centre, data_centre_by_name, now)
        if aggregator != self._aggregator:
            self._aggregator = aggregator
            self._waiting_since = None
        elif self._is_overdue(now):
            self._skipped_until_by_name[aggregator] = now + SKIP_TIME
            self._waiting_since = None
            aggregator = self._choose(self.data_centre, data_centre_by_name, now)
            self._aggregator = aggregator
        if self._waiting_since is None:
            self._waiting_since = now
        return aggregator

    def _choose_peer(
        self, data_centre: str, data_centre_by_name: Mapping[str, str], now: float
    ) -> str:
        """Return another data centre's aggregator; pass over one that sends no sums."""
        peer = self._choose(data_centre, data_centre_by_name, now)
        chosen_at = self._peer_chosen_at_by_name.setdefault(peer, now)
        received = self._peer_sum_by_name.get(peer)
        heard_at = chosen_at if received is None else received.at
        if now - heard_at > REPLY_TIMEOUT:
            self._skipped_until_by_name[peer] = now + SKIP_TIME
            del self._peer_chosen_at_by_name[peer]
            peer = self._choose(data_centre, data_centre_by_name, now)
            self._peer_chosen_at_by_name[peer] = now
        return peer

    def _is_overdue(self, now: float) -> bool:
        since = self._waiting_since
        is_other = self._aggregator != self.name
        return is_other and since is not None and now - since > REPLY_TIMEOUT

    def _forget_all(self) -> None:
        self._report_by_name.clear()
        self._peer_sum_by_name.clear()
        self._peer_chosen_at_by_name.clear()
        self._waiting_since = None

    def _drop_outdated(self, now: float) -> None:
        for received in (self._report_by_name, self._peer_sum_by_name):
            for name, entry in list(received.items()):
                if now - entry.at > REPORT_LIFETIME:
                    del received[name]


def _parts(received: Mapping[str, _Received]) -> list[DemandSum]:
    return [entry.part for entry in received.values()]
