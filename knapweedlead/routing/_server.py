"""Observations of one backend server by an entry."""

import attrs

from knapweedlead.membership import Member
from knapweedlead.messages import LoadReport
from knapweedlead.statecharts import Statechart

CHART = Statechart.load("knapweedlead.routing", "server.json")

HEALTHY = "healthy"
EJECTED = "ejected"
PROBING = "probing"

REPORT_LIFETIME = 1.0
"""Seconds for which the load in a report remains valid."""
DRAINING_LIFETIME = 10.0
"""Seconds for which a report of draining remains valid."""
SLOW_START = 10.0
"""Seconds over which the assumed capacity of a new server rises to its limit."""
EXEMPT_PRIORITY = 0
"""Priority that is never throttled, regardless of load reports."""

HALF_LIFE = 5.0
"""Seconds after which the weight of a past failure or slow answer is halved."""
NEGLIGIBLE_SHARE = 0.01
"""Failure share below which past failures are disregarded."""

_SMOOTHING = 0.2
"""Weight of the newest result in the moving averages."""
_MIN_THROTTLE_TIME = 0.05
_MAX_THROTTLE_TIME = 0.5
"""Bounds, in seconds, of the time for which refused priorities are not sent."""


@attrs.define(eq=False)
class ObservedServer:
    """A backend server as observed by one entry.

    Parameters
    ----------
    member : Member
        Membership record of the daemon co-located with the server.
    first_seen : float
        When this incarnation was first seen, in seconds.
    in_flight : int
        Attempts of this entry without a result so far.
    latency : float
        Moving average latency of successful attempts, in seconds; 0 before the first.
    any_latency : float
        Moving average latency of all attempts, failures included.
    failure_share : float
        Moving average of the share of failures, from 0 to 1.
    result_at : float
        When the last result arrived, in seconds.
    results : int
        Results since the last recovery from an ejection, or since `first_seen`.
    state : str
        Current state of ``server.json``.
    ejected_until : float
        When the ejection ends, in seconds.
    ejections : int
        Consecutive ejections.
    probes_in_flight, probes_answered : int
        Probes sent without a result, and consecutive successful probes.
    probing_since : float
        When the server was last chosen for probes, in seconds. Attempts sent earlier
        are no probes.
    report : LoadReport or None
        Latest load report.
    reported_at : float
        When the load report arrived, in seconds.
    throttled_until : float
        When the throttling of refused priorities ends, in seconds.
    load_refusals : int
        Consecutive refusals because of load.
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
    probing_since: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0
    throttled_until: float = 0.0
    load_refusals: int = 0

    def advance(self, event: str) -> None:
        """Change the state by an event of the state chart ``server.json``."""
        self.state = CHART.advance(self.state, event)

    def start_probing(self, now: float) -> None:
        """Start to count attempts as probes, unless they count already."""
        if self.state == EJECTED:
            self.advance("period_over")
            self.probing_since = now

    def is_probe(self, sent_at: float) -> bool:
        """Return whether an attempt sent at a time is a probe."""
        return self.state == PROBING and sent_at >= self.probing_since

    def accepts(self, priority: int, now: float) -> bool:
        """Return whether the server is healthy and admits a call of a priority."""
        return self.state == HEALTHY and self.admits(priority, now)

    def admits(self, priority: int, now: float) -> bool:
        """Return whether a call of a priority may be sent, regardless of the state."""
        if self.in_flight >= self.member.connections:
            return False
        report = self.report
        if report is None:
            return True
        if report.is_draining and now < self.reported_at + DRAINING_LIFETIME:
            return False
        if report.is_cold and self.in_flight >= max(1, report.limit):
            return False
        return not self.is_throttled(priority, now)

    def is_throttled(self, priority: int, now: float) -> bool:
        """Return whether calls of a priority are withheld as likely to be refused."""
        if priority <= EXEMPT_PRIORITY or now >= self.throttled_until:
            return False
        return self.report is not None and priority >= self.report.refused_priority

    def outstanding(self, now: float) -> int:
        """Return the larger of `in_flight` and the calls in a recent load report."""
        report = self.report
        if report is None or now > self.reported_at + REPORT_LIFETIME:
            return self.in_flight
        return max(self.in_flight, report.in_flight + report.queued)

    def capacity(self, now: float) -> float:
        """Return the assumed number of concurrent calls, lower during slow start."""
        member = self.member
        limit = member.slots if self.report is None else self.report.limit
        age = now - self.first_seen
        if age >= SLOW_START:
            return float(limit) if limit > 1 else 1.0
        floor = min(member.cold_slots, limit)
        return max(1.0, floor + (limit - floor) * age / SLOW_START)

    def utilisation(self, now: float) -> float:
        """Return the share of the capacity in use; above 1, calls are queued."""
        return self.outstanding(now) / self.capacity(now)

    def record_sent(self, priority: int, now: float) -> None:
        """Record an attempt that is sent.

        An attempt of a refused priority restarts the throttling period, so that one
        attempt per period tests whether the priority is still refused.
        """
        self.in_flight += 1
        if self.state == PROBING:
            self.probes_in_flight += 1
        report = self.report
        if report is not None and priority >= report.refused_priority:
            self.throttled_until = now + self._throttle_time

    def record_returned(self, sent_at: float) -> None:
        """Record that an attempt sent at a time is no longer in flight."""
        self.in_flight = max(0, self.in_flight - 1)
        if self.is_probe(sent_at):
            self.probes_in_flight = max(0, self.probes_in_flight - 1)

    def record_report(self, report: LoadReport, is_refused: bool, now: float) -> None:
        """Record a load report.

        Parameters
        ----------
        report : LoadReport
            Report in an answer or a refusal.
        is_refused : bool
            Whether the report arrived in a refusal because of load.
        now : float
            Seconds, monotonic.
        """
        self.report = report
        self.reported_at = now
        self.load_refusals = self.load_refusals + 1 if is_refused else 0
        self.throttled_until = now + self._throttle_time

    def recent_failure_share(self, now: float) -> float:
        """Return the failure share, halved for each half-life since the last result."""
        if self.failure_share == 0.0:
            return 0.0
        share = self.failure_share * self._decay(now)
        return share if share >= NEGLIGIBLE_SHARE else 0.0

    def expected_latency(self, typical: float, now: float) -> float:
        """Return the latency in seconds; decays to `typical` without new results."""
        if self.latency <= typical:
            return self.latency or typical
        return typical + (self.latency - typical) * self._decay(now)

    def _decay(self, now: float) -> float:
        age = max(0.0, now - self.result_at)
        return float(0.5 ** (age / HALF_LIFE))

    def record_result(self, is_failure: bool, latency: float, now: float) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        is_failure : bool
            Whether the attempt counts as a failure of the server.
        latency : float
            Seconds from sending the attempt to its result.
        now : float
            Seconds, monotonic.
        """
        self.results += 1
        share = self.recent_failure_share(now)
        self.failure_share = share + _SMOOTHING * (float(is_failure) - share)
        self.result_at = now
        self.any_latency = _smoothed(self.any_latency, latency)
        if not is_failure:
            self.latency = _smoothed(self.latency, latency)

    @property
    def _throttle_time(self) -> float:
        return float(
            min(
                _MAX_THROTTLE_TIME,
                _MIN_THROTTLE_TIME * 2.0 ** min(self.load_refusals, 10),
            )
        )


def _smoothed(average: float, value: float) -> float:
    """Return a moving average updated with a value; 0 means no value yet."""
    return value if average == 0.0 else average + _SMOOTHING * (value - average)
