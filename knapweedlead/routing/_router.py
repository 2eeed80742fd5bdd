"""Chooses the backend server of each attempt."""

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

_SATURATED = 1.0
"""Utilisation from which calls spill over to servers farther away."""

FAILURES = frozenset(
    {
        RefusalReason.BACKEND_SERVER_FAILED,
        RefusalReason.BACKEND_SERVER_UNREACHABLE,
        RefusalReason.BROKEN_ANSWER,
        RefusalReason.DEADLINE_EXCEEDED,
        RefusalReason.LINK_LOST,
    }
)
"""Reasons that count against a server."""

REFUSED_FOR_LOAD = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.COLD, RefusalReason.QUEUE_TIMEOUT}
)
"""Reasons after which the refused priorities are held back."""


@attrs.frozen
class Wanted:
    """What a call asks of the choice.

    Parameters
    ----------
    service : str
        Target service.
    priority : int
        0 is the most important.
    may_repeat : bool
        Whether the call could be tried again if it failed.
    tried : collection of str
        Names of the members tried before.
    """

    service: str
    priority: int
    may_repeat: bool
    tried: Collection[str]


class Router:
    """Keeps what one entry observes of the servers, and chooses among them.

    Parameters
    ----------
    identity : Identity
        The daemon that chooses.
    membership : MembershipRole
        Members by service.
    balancer, ejector : str
        Registered names of the policies.
    rng : random.Random
        Source of the draws.
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
        """Rearrange the servers before the next choice.

        Parameters
        ----------
        left : iterable of str
            Members that are no longer there.
        """
        self._view_by_service.clear()
        for name in left:
            self.by_name.pop(name, None)

    def choose(
        self, wanted: Wanted, catalogue: Catalogue, now: float
    ) -> Result[ObservedServer, RefusalReason]:
        """Return the server for an attempt, or why there is none."""
        view = self._view(wanted.service, catalogue, now)
        if not view.servers:
            is_out = view.is_any_out
            reason = RefusalReason.OUT_OF_SERVICE
            return Err(reason if is_out else RefusalReason.NO_BACKEND_SERVER)
        server = self._due_probe(view, wanted, now)
        if server is None:
            server = self._pick(view, wanted, True, now)
        if server is None and wanted.tried:
            server = self._pick(view, wanted, False, now)
        if server is None and view.unhealthy:
            server = self._last_resort(view, wanted, now)
        return Err(_reason(view, wanted, now)) if server is None else Ok(server)

    def note_sent(self, server: ObservedServer, priority: int, now: float) -> None:
        """Count an attempt that is sent to a server."""
        server.note_sent(priority, now)

    def note_answer(
        self,
        server: ObservedServer,
        latency: float,
        is_failure: bool,
        load: LoadReport,
        now: float,
    ) -> None:
        """Take in a whole answer."""
        server.note_report(load, False, now)
        self._note_result(server, is_failure, latency, now)

    def note_refusal(
        self,
        server: ObservedServer,
        latency: float,
        reason: RefusalReason,
        load: LoadReport | None,
        now: float,
    ) -> None:
        """Take in a refusal, or the end of an attempt without any message."""
        if load is not None:
            server.note_report(load, reason in REFUSED_FOR_LOAD, now)
        if reason in FAILURES:
            self._note_result(server, True, latency, now)
        else:
            self._note_returned(server)

    def note_abandoned(self, server: ObservedServer) -> None:
        """Count an attempt whose result is no longer waited for."""
        self._note_returned(server)

    def _note_returned(self, server: ObservedServer) -> None:
        server.in_flight = max(0, server.in_flight - 1)
        server.probes_in_flight = 0

    def _note_result(
        self, server: ObservedServer, is_failure: bool, latency: float, now: float
    ) -> None:
        self._note_returned(server)
        server.note_result(is_failure, latency, now)
        view = self._view_by_service.get(server.member.service)
        if view is None or (server.state == HEALTHY and not is_failure):
            return
        self.ejector.note_result(server, is_failure, view.servers, now)
        if server.state == HEALTHY:
            view.unhealthy.pop(server.member.name, None)
        else:
            view.unhealthy[server.member.name] = server

    def _due_probe(
        self, view: ServiceView, wanted: Wanted, now: float
    ) -> ObservedServer | None:
        if not view.unhealthy or wanted.tried:
            return None
        unhealthy = list(view.unhealthy.values())
        return self.ejector.due_probe(unhealthy, wanted.may_repeat, now)

    def _pick(
        self, view: ServiceView, wanted: Wanted, is_untried: bool, now: float
    ) -> ObservedServer | None:
        priority, tried = wanted.priority, wanted.tried

        def accepts(server: ObservedServer) -> bool:
            if is_untried and tried and server.member.name in tried:
                return False
            return server.accepts(priority, now)

        picks = []
        for pool in view.pools:
            server = self.balancer.choose(pool, accepts, now, self.rng)
            if server is None:
                continue
            if server.utilisation(now) < _SATURATED:
                return server
            picks.append(server)
        return min(picks, key=lambda s: s.utilisation(now)) if picks else None

    def _last_resort(
        self, view: ServiceView, wanted: Wanted, now: float
    ) -> ObservedServer | None:
        """Return an ejected server where no other takes the call."""
        unhealthy = view.unhealthy.values()
        open_ones = [s for s in unhealthy if s.is_open(wanted.priority, now)]
        return self.rng.choice(open_ones) if open_ones else None

    def _view(self, service: str, catalogue: Catalogue, now: float) -> ServiceView:
        view = self._view_by_service.get(service)
        if view is None:
            members = self.membership.members_of(service)
            view = build_view(self.identity, members, catalogue, self.by_name, now)
            self._view_by_service[service] = view
        return view


def _reason(view: ServiceView, wanted: Wanted, now: float) -> RefusalReason:
    """Return why none of the servers takes a call."""
    if any(server.is_held(wanted.priority, now) for server in view.servers):
        return RefusalReason.OVERLOADED
    reports = [server.report for server in view.servers]
    if any(report is not None and report.is_draining for report in reports):
        return RefusalReason.DRAINING
    if any(report is not None and report.is_cold for report in reports):
        return RefusalReason.COLD
    is_saturated = any(server.state == HEALTHY for server in view.servers)
    reason = RefusalReason.OVERLOADED
    return reason if is_saturated else RefusalReason.NO_BACKEND_SERVER
