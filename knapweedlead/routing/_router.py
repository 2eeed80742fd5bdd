"""Selection of the backend server for each attempt."""

import random
from collections.abc import Collection, Iterable

import attrs
from result import Err, Ok, Result

from knapweedlead.configuration import Catalogue
from knapweedlead.membership import MembershipRole
from knapweedlead.messages import LoadReport
from knapweedlead.node import Identity
from knapweedlead.requests import RefusalReason
from knapweedlead.routing._balancers import BALANCERS, Balancer
from knapweedlead.routing._ejection import EJECTORS, Ejector
from knapweedlead.routing._server import HEALTHY, ObservedServer
from knapweedlead.routing._view import ServiceView, build_view

_SATURATED_UTILISATION = 1.0
"""Utilisation from which calls spill over to more distant servers."""

FAILURE_REASONS = frozenset(
    {
        RefusalReason.BACKEND_SERVER_FAILED,
        RefusalReason.BACKEND_SERVER_UNREACHABLE,
        RefusalReason.BROKEN_ANSWER,
        RefusalReason.DEADLINE_EXCEEDED,
        RefusalReason.LINK_LOST,
    }
)
"""Refusal reasons that count as failures of the server."""

LOAD_REFUSAL_REASONS = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.COLD, RefusalReason.QUEUE_TIMEOUT}
)
"""Refusals because of load; consecutive refusals lengthen the throttling."""


@attrs.frozen
class RoutingCriteria:
    """Criteria of a call for the choice of its server.

    Parameters
    ----------
    service : str
        Target service.
    priority : int
        Priority of the call; 0 is the most important.
    may_retry : bool
        Whether the call can be retried if the attempt fails.
    tried : collection of str
        Names of the members that were tried before.
    """

    service: str
    priority: int
    may_retry: bool
    tried: Collection[str]


class Router:
    """Tracks one entry's observations of servers and chooses a server per attempt.

    Parameters
    ----------
    identity : Identity
        Identity of the local daemon.
    membership : MembershipRole
        Source of the members of each service.
    balancer, ejector : str
        Registered names of the policies.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipRole,
        balancer: str,
        ejector: str,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.membership = membership
        self.balancer: Balancer = BALANCERS.create(balancer)
        self.ejector: Ejector = EJECTORS.create(ejector)
        self.rng = rng
        self.by_name: dict[str, ObservedServer] = {}
        self._view_by_service: dict[str, ServiceView] = {}

    def refresh(self, left: Iterable[str] = ()) -> None:
        """Discard the cached views, so that the next choice rebuilds them.

        Parameters
        ----------
        left : iterable of str
            Names of members that left; their observations are discarded.
        """
        self._view_by_service.clear()
        for name in left:
            self.by_name.pop(name, None)

    def choose(
        self, criteria: RoutingCriteria, catalogue: Catalogue, now: float
    ) -> Result[ObservedServer, RefusalReason]:
        """Return the server for an attempt, or the reason why there is none.

        Ejected servers that are due for a probe come first. Then servers not yet
        tried, servers tried before, and unhealthy servers are considered in turn.
        """
        view = self._view(criteria.service, catalogue, now)
        if not view.servers:
            is_out = view.has_out_of_service
            reason = RefusalReason.OUT_OF_SERVICE
            return Err(reason if is_out else RefusalReason.NO_BACKEND_SERVER)
        server = self._due_probe(view, criteria, now)
        if server is None:
            server = self._pick(view, criteria, True, now)
        if server is None and criteria.tried:
            server = self._pick(view, criteria, False, now)
        if server is None and view.unhealthy:
            server = self._choose_unhealthy(view, criteria, now)
        return (
            Err(_refusal_reason(view, criteria, now)) if server is None else Ok(server)
        )

    def record_sent(self, server: ObservedServer, priority: int, now: float) -> None:
        """Record an attempt that is sent to a server."""
        server.record_sent(priority, now)

    def record_answer(
        self,
        server: ObservedServer,
        latency: float,
        is_failure: bool,
        load: LoadReport,
        now: float,
    ) -> None:
        """Record the result and load report of an attempt that was answered."""
        server.record_report(load, False, now)
        self._record_result(server, is_failure, latency, now)

    def record_refusal(
        self,
        server: ObservedServer,
        latency: float,
        reason: RefusalReason,
        load: LoadReport | None,
        now: float,
    ) -> None:
        """Record a refusal, or an attempt that ended without an answer."""
        if load is not None:
            server.record_report(load, reason in LOAD_REFUSAL_REASONS, now)
        if reason in FAILURE_REASONS:
            self._record_result(server, True, latency, now)
        else:
            server.record_returned(now - latency)

    def record_abandoned(self, server: ObservedServer, sent_at: float) -> None:
        """Record an attempt that was cancelled, whose result is not awaited."""
        server.record_returned(sent_at)

    def _record_result(
        self, server: ObservedServer, is_failure: bool, latency: float, now: float
    ) -> None:
        is_probe = server.is_probe(now - latency)
        server.record_returned(now - latency)
        server.record_result(is_failure, latency, now)
        view = self._view_by_service.get(server.member.service)
        if view is None or (server.state == HEALTHY and not is_failure):
            return
        if server.state != HEALTHY and not is_probe:
            return
        self.ejector.record_result(server, is_failure, view.servers, now)
        if server.state == HEALTHY:
            view.unhealthy.pop(server.member.name, None)
        else:
            view.unhealthy[server.member.name] = server

    def _due_probe(
        self, view: ServiceView, criteria: RoutingCriteria, now: float
    ) -> ObservedServer | None:
        if not view.unhealthy or criteria.tried:
            return None
        unhealthy = list(view.unhealthy.values())
        return self.ejector.due_probe(unhealthy, criteria.may_retry, now)

    def _pick(
        self, view: ServiceView, criteria: RoutingCriteria, skip_tried: bool, now: float
    ) -> ObservedServer | None:
        priority, tried = criteria.priority, criteria.tried

        def accepts(server: ObservedServer) -> bool:
            if skip_tried and tried and server.member.name in tried:
                return False
            return server.accepts(priority, now)

        saturated = []
        for pool in view.pools:
            server = self.balancer.choose(pool, accepts, now, self.rng)
            if server is None:
                continue
            if server.utilisation(now) < _SATURATED_UTILISATION:
                return server
            saturated.append(server)
        return min(saturated, key=lambda s: s.utilisation(now)) if saturated else None

    def _choose_unhealthy(
        self, view: ServiceView, criteria: RoutingCriteria, now: float
    ) -> ObservedServer | None:
        """Return an unhealthy server that admits the call, as a last resort."""
        unhealthy = view.unhealthy.values()
        admitting = [s for s in unhealthy if s.admits(criteria.priority, now)]
        return self.rng.choice(admitting) if admitting else None

    def _view(self, service: str, catalogue: Catalogue, now: float) -> ServiceView:
        view = self._view_by_service.get(service)
        if view is None:
            members = self.membership.members_of(service)
            view = build_view(self.identity, members, catalogue, self.by_name, now)
            self._view_by_service[service] = view
        return view


def _refusal_reason(
    view: ServiceView, criteria: RoutingCriteria, now: float
) -> RefusalReason:
    """Return the reason why no server can be sent a call."""
    if any(server.is_throttled(criteria.priority, now) for server in view.servers):
        return RefusalReason.OVERLOADED
    reports = [server.report for server in view.servers]
    if any(report is not None and report.is_draining for report in reports):
        return RefusalReason.DRAINING
    if any(report is not None and report.is_cold for report in reports):
        return RefusalReason.COLD
    is_saturated = any(server.state == HEALTHY for server in view.servers)
    reason = RefusalReason.OVERLOADED
    return reason if is_saturated else RefusalReason.NO_BACKEND_SERVER
