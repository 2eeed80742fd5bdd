"""Ejection of servers that fail more often than the others of their service."""

from collections.abc import Sequence
from typing import ClassVar, Protocol

from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry
from knapweedlead.routing._server import EJECTED, HEALTHY, PROBING, ObservedServer

_MIN_RESULTS = 5
"""Results needed before a server can be ejected."""
_MAX_PERIOD = 30.0
"""Longest ejection in seconds."""
_RECOVERY_PROBES = 3
"""Consecutive successful probes that end an ejection."""


class Ejector(Protocol):
    """A policy that ejects failing servers and readmits them after probes."""

    def record_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Eject or readmit a server after a result; `servers` is the whole service."""

    def due_probe(
        self, servers: Sequence[ObservedServer], may_retry: bool, now: float
    ) -> ObservedServer | None:
        """Return an ejected server that the next call should probe, or None."""


EJECTORS: Registry[Ejector] = Registry("ejector")


@EJECTORS.register("none")
class NoEjection:
    """Baseline: never ejects."""

    def record_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Do nothing."""

    def due_probe(
        self, servers: Sequence[ObservedServer], may_retry: bool, now: float
    ) -> ObservedServer | None:
        """Return None, since no server is ever ejected."""
        return None


@EJECTORS.register("outlier")
class OutlierEjection:
    """Ejects servers that fail much more often than the others of their service.

    Parameters
    ----------
    max_share : float
        Largest share of the servers of a service that may be ejected.
    failure_share : float
        Share of failures among recent results from which a server is ejected.
    margin : float
        Minimum excess of a server's share of failures over the mean of the other
        servers for an ejection.
    period_s : float
        Duration of the first ejection in seconds; doubles with each further
        ejection.
    patience_s : float
        Additional seconds after an ejection before calls that must not be retried
        are used as probes.
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

    def record_result(
        self,
        server: ObservedServer,
        is_failure: bool,
        servers: Sequence[ObservedServer],
        now: float,
    ) -> None:
        """Eject or readmit a server after a result; `servers` is the whole service."""
        if server.state == PROBING:
            self._record_probe(server, is_failure, now)
            return
        is_candidate = server.state == HEALTHY and is_failure
        if is_candidate and self._is_outlier(server, servers, now):
            self._eject(server, servers, now)

    def due_probe(
        self, servers: Sequence[ObservedServer], may_retry: bool, now: float
    ) -> ObservedServer | None:
        """Return an ejected server that the next call should probe, or None."""
        due = (server for server in servers if self._is_due(server, may_retry, now))
        server = next(due, None)
        if server is not None:
            server.start_probing(now)
        return server

    def _is_due(self, server: ObservedServer, may_retry: bool, now: float) -> bool:
        if server.state == HEALTHY or server.probes_in_flight:
            return False
        extra_delay = 0.0 if may_retry else self.patience_s
        return now >= server.ejected_until + extra_delay

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
        ejected = len(ejected_servers(servers))
        if ejected + 1 <= self.max_share * len(servers):
            server.advance("outlier")
            self._start_period(server, now)

    def _record_probe(
        self, server: ObservedServer, is_failure: bool, now: float
    ) -> None:
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
        server.probes_in_flight = 0


def ejected_servers(servers: Sequence[ObservedServer]) -> list[ObservedServer]:
    """Return the servers that are ejected or being probed."""
    return [server for server in servers if server.state in (EJECTED, PROBING)]
