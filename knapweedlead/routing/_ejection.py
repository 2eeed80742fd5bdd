"""Ejection of servers that fail more than the others of their service."""

from collections.abc import Sequence
from typing import ClassVar, Protocol

from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry
from knapweedlead.routing._server import EJECTED, HEALTHY, PROBING, ObservedServer

_MIN_RESULTS = 5
"""Results before a server is judged."""
_MAX_PERIOD = 30.0
"""Seconds that an ejection lasts at most."""
_RECOVERY_PROBES = 3
"""Probes answered in a row that end an ejection."""


class Ejector(Protocol):
    """Takes failing servers out of the choice and brings them back."""

    def note_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Judge a server after a result, among the `servers` of its service."""

    def due_probe(
        self, servers: Sequence[ObservedServer], may_repeat: bool, now: float
    ) -> ObservedServer | None:
        """Return an ejected server that the next call may probe."""


EJECTORS: Registry[Ejector] = Registry("ejector")


@EJECTORS.register("none")
class NoEjection:
    """Baseline: never ejects."""

    def note_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Do nothing."""

    def due_probe(
        self, servers: Sequence[ObservedServer], may_repeat: bool, now: float
    ) -> ObservedServer | None:
        """Return none."""
        return None


@EJECTORS.register("outlier")
class OutlierEjection:
    """Ejects servers that fail much more than the rest of their service.

    Parameters
    ----------
    max_share : float
        Share of a service's servers that are ejected at most.
    failure_share : float
        Failures among recent results from which a server is judged.
    margin : float
        How far that lies above the mean of the others.
    period_s : float
        Seconds of the first ejection; doubles with each further one.
    patience_s : float
        Seconds after an ejection from which calls that must not be repeated
        serve as probes too.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "max_share": Interval(float, 0.0, 1.0),
        "failure_share": Interval(float, 0.0, 1.0),
        "margin": Interval(float, 0.0, 1.0),
        "period_s": Interval(float, 0.0, 3600.0, "s"),
        "patience_s": Interval(float, 0.0, 3600.0, "s"),
    }

    def __init__(
        self,
        max_share: float = 0.5,
        failure_share: float = 0.5,
        margin: float = 0.3,
        period_s: float = 1.0,
        patience_s: float = 5.0,
    ) -> None:
        self.max_share = max_share
        self.failure_share = failure_share
        self.margin = margin
        self.period_s = period_s
        self.patience_s = patience_s
        check_parameters(self)

    def note_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Judge a server after a result, among the `servers` of its service."""
        if server.state == PROBING:
            self._note_probe(server, is_failure, now)
            return
        is_suspected = server.state == HEALTHY and is_failure
        if is_suspected and self._is_outlier(server, servers, now):
            self._eject(server, servers, now)

    def due_probe(
        self, servers: Sequence[ObservedServer], may_repeat: bool, now: float
    ) -> ObservedServer | None:
        """Return an ejected server that the next call may probe."""
        due = (server for server in servers if self._is_due(server, may_repeat, now))
        server = next(due, None)
        if server is not None:
            server.advance("period_over")
        return server

    def _is_due(self, server: ObservedServer, may_repeat: bool, now: float) -> bool:
        if server.state == HEALTHY or server.probes_in_flight:
            return False
        patience = 0.0 if may_repeat else self.patience_s
        return now >= server.ejected_until + patience

    def _is_outlier(
        self, server: ObservedServer, servers: Sequence[ObservedServer], now: float
    ) -> bool:
        share = server.recent_failure_share(now)
        if server.results < _MIN_RESULTS or share < self.failure_share:
            return False
        others = [
            other.recent_failure_share(now) for other in servers if other is not server
        ]
        return bool(others) and share - sum(others) / len(others) >= self.margin

    def _eject(
        self, server: ObservedServer, servers: Sequence[ObservedServer], now: float
    ) -> None:
        ejected = len(ejected_of(servers))
        if ejected + 1 <= self.max_share * len(servers):
            server.advance("outlier")
            self._start_period(server, now)

    def _note_probe(self, server: ObservedServer, is_failure: bool, now: float) -> None:
        if is_failure:
            server.advance("probe_failed")
            self._start_period(server, now)
            return
        server.probes_answered += 1
        if server.probes_answered >= _RECOVERY_PROBES:
            server.advance("recovered")
            server.ejections = 0
            server.failure_share = 0.0
            server.results = 0

    def _start_period(self, server: ObservedServer, now: float) -> None:
        period = min(_MAX_PERIOD, self.period_s * 2.0**server.ejections)
        server.ejections = min(server.ejections + 1, 16)
        server.ejected_until = now + period
        server.probes_answered = 0


def ejected_of(servers: Sequence[ObservedServer]) -> list[ObservedServer]:
    """Return the servers that are ejected or on probation."""
    return [server for server in servers if server.state in (EJECTED, PROBING)]
