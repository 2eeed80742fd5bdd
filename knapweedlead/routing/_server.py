"""What an entry has observed of one backend server."""

import attrs

from knapweedlead.membership import Member
from knapweedlead.messages import LoadReport
from knapweedlead.statecharts import Statechart

CHART = Statechart.load("knapweedlead.routing", "server.json")

HEALTHY = "healthy"
EJECTED = "ejected"
PROBING = "probing"

REPORT_LIFETIME = 1.0
"""Seconds for which the load in a report is believed."""
DRAINING_LIFETIME = 10.0
"""Seconds for which a report of draining is believed."""
SLOW_START = 10.0
"""Seconds over which a newly seen server reaches its full share."""
EXEMPT_PRIORITY = 0
"""Priority that is always sent on, whatever a report says."""

HALF_LIFE = 5.0
"""Seconds after which a past failure or slow answer counts half."""
FORGOTTEN_SHARE = 0.01
"""Failure share below which a server counts as sound."""

_SMOOTHING = 0.2
"""Weight of the newest result in the moving averages."""
_HOLD_BASE = 0.05
_HOLD_MAX = 0.5
"""Seconds for which a refused priority is not sent, at first and at most."""


@attrs.define(eq=False)
class ObservedServer:
    """A backend server as seen by one entry.

    Parameters
    ----------
    member : Member
        Its daemon's announcement.
    first_seen : float
        When the entry first saw this start of it, in seconds.
    in_flight : int
        Calls of this entry that it has not answered.
    latency : float
        Moving average of the answered calls, in seconds; 0 before the first.
    any_latency : float
        The same over all results, failures included.
    failure_share : float
        Moving average of failures among its results, from 0 to 1.
    result_at : float
        When the last result came, in seconds.
    results : int
        Results since it was last healthy.
    state : str
        State of ``server.json``.
    ejected_until : float
        When the ejection ends, in seconds.
    ejections : int
        Ejections in a row.
    probes_in_flight, probes_answered : int
        Of the probing state.
    report : LoadReport or None
        The newest load report.
    reported_at : float
        When it came, in seconds.
    held_until : float
        Until when the refused priorities are not sent, in seconds.
    holds : int
        Refusals for load in a row.
    """

    member: Member
    first_seen: float
    in_flight: int = 0
    latency: float = 0.0
    any_latency: float = 0.0
    failure_share: float = 0.0
    result_at: float = 0.0
    results: int = 0
    state: str = CHART.initial
    ejected_until: float = 0.0
    ejections: int = 0
    probes_in_flight: int = 0
    probes_answered: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    held_until: float = 0.0
    holds: int = 0

    def advance(self, event: str) -> None:
        """Take a transition of the chart."""
        self.state = CHART.advance(self.state, event)

    def accepts(self, priority: int, now: float) -> bool:
        """Return whether a call of a priority may be sent to it."""
        return self.state == HEALTHY and self.is_open(priority, now)

    def is_open(self, priority: int, now: float) -> bool:
        """Return the same for a server that is ejected."""
        if self.in_flight >= self.member.connections:
            return False
        report = self.report
        if report is None:
            return True
        if report.is_draining and now < self.reported_at + DRAINING_LIFETIME:
            return False
        if report.is_cold and self.in_flight >= max(1, report.limit):
            return False
        return not self.is_held(priority, now)

    def is_held(self, priority: int, now: float) -> bool:
        """Return whether calls of a priority would likely be refused."""
        if priority <= EXEMPT_PRIORITY or now >= self.held_until:
            return False
        return self.report is not None and priority >= self.report.refused_priority

    def outstanding(self, now: float) -> int:
        """Return the calls on it, by the entry's count and its fresh report."""
        report = self.report
        if report is None or now > self.reported_at + REPORT_LIFETIME:
            return self.in_flight
        return max(self.in_flight, report.in_flight + report.queued)

    def capacity(self, now: float) -> float:
        """Return the calls that it takes at once, lower during the slow start."""
        member = self.member
        limit = member.slots if self.report is None else self.report.limit
        age = now - self.first_seen
        if age >= SLOW_START:
            return float(limit) if limit > 1 else 1.0
        floor = min(member.cold_slots, limit)
        return max(1.0, floor + (limit - floor) * age / SLOW_START)

    def utilisation(self, now: float) -> float:
        """Return the share of its capacity in use; above 1 calls wait."""
        return self.outstanding(now) / self.capacity(now)

    def note_sent(self, priority: int, now: float) -> None:
        """Count a call sent; one that tests a held priority renews the hold."""
        self.in_flight += 1
        if self.state == PROBING:
            self.probes_in_flight += 1
        report = self.report
        if report is not None and priority >= report.refused_priority:
            self.held_until = now + self._hold

    def note_report(self, report: LoadReport, is_refused: bool, now: float) -> None:
        """Take over a load report.

        Parameters
        ----------
        report : LoadReport
            As it came with an answer or a refusal.
        is_refused : bool
            Whether it came with a refusal for load.
        now : float
            Seconds, monotonic.
        """
        self.report = report
        self.reported_at = now
        self.holds = self.holds + 1 if is_refused else 0
        self.held_until = now + self._hold

    def recent_failure_share(self, now: float) -> float:
        """Return the failure share, halved with each half-life since."""
        if self.failure_share == 0.0:
            return 0.0
        share = self.failure_share * self._remembered(now)
        return share if share >= FORGOTTEN_SHARE else 0.0

    def expected_latency(self, typical: float, now: float) -> float:
        """Return the latency, which returns to `typical` while nothing is sent."""
        if self.latency <= typical:
            return self.latency or typical
        return typical + (self.latency - typical) * self._remembered(now)

    def _remembered(self, now: float) -> float:
        age = max(0.0, now - self.result_at)
        return float(0.5 ** (age / HALF_LIFE))

    def note_result(self, is_failure: bool, latency: float, now: float) -> None:
        """Count a result.

        Parameters
        ----------
        is_failure : bool
            Whether the attempt failed on the server's account.
        latency : float
            Seconds from sending to the result.
        now : float
            Seconds, monotonic.
        """
        self.results += 1
        failed = self.recent_failure_share(now)
        self.failure_share = failed + _SMOOTHING * (float(is_failure) - failed)
        self.result_at = now
        self.any_latency = _smoothed(self.any_latency, latency)
        if not is_failure:
            self.latency = _smoothed(self.latency, latency)

    @property
    def _hold(self) -> float:
        return float(min(_HOLD_MAX, _HOLD_BASE * 2.0 ** min(self.holds, 10)))


def _smoothed(average: float, value: float) -> float:
    """Return a moving average after one more value; 0 means no value yet."""
    return value if average == 0.0 else average + _SMOOTHING * (value - average)
