"""Heartbeats of a backend server, and the rules by which they are accepted."""

import math
from collections.abc import Iterable

import attrs

from knapweedlead.mesh._fleet_state import DepartedStart

LEAVE_RETENTION = 60.0
"""Seconds for which the leave of an unknown instance is kept. Heartbeats arrive seconds
late, and a leaving server may keep running for many seconds."""
MAX_RECORDED_LEAVES = 16
"""Leaves of unknown instances that are kept; few instances share one address within
`LEAVE_RETENTION`."""
NEW_START_SEQUENCES = 2
"""Highest sequence number that identifies a new start under the name of an instance
that has left; heartbeats with higher numbers are late heartbeats of that instance. The
first heartbeat of a start may be lost."""


@attrs.frozen
class ServerReport:
    """One heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Name of the instance; usually differs between starts.
    service, address, data_centre, version : str
    slots : int
        Calls that the server processes concurrently.
    is_draining : bool
        Whether the server accepts no new calls.
    sequence : int
        Increases with each heartbeat of a start.
    cold_remaining : float
        Remaining seconds of the cold start.
    born : int
        Start time in milliseconds since the epoch; identifies a start together with
        `instance`.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    sequence: int
    cold_remaining: float
    born: int

    @property
    def start(self) -> tuple[str, int]:
        """Instance and start time, which identify one start of the server."""
        return self.instance, self.born


@attrs.define(eq=False)
class BackendServer:
    """The local backend server, as last reported.

    Attributes
    ----------
    report : ServerReport or None
        Latest report of the current start.
    reported_at : float
        Time at which `report` was received.
    cold_until : float
        End of the cold start.
    has_left : bool
        Whether the current start has announced that it drains or leaves.
    left_at_by_instance : dict of str to float
        Times at which unknown instances left, i.e. instances other than that of
        `report`. A daemon that has restarted may receive late heartbeats of such an
        instance.
    departed : tuple of DepartedStart
        Starts of this server that are known to have left, from the store.
    """

    report: ServerReport | None = None
    reported_at: float = -math.inf
    cold_until: float = -math.inf
    has_left: bool = False
    left_at_by_instance: dict[str, float] = attrs.field(factory=dict)
    departed: tuple[DepartedStart, ...] = ()

    def apply_report(self, report: ServerReport, now: float) -> bool:
        """Apply a report unless it is older than the current one.

        Returns
        -------
        bool
            Whether the report was applied.
        """
        current = self.report
        is_new_start = current is None or report.start != current.start
        if current is not None:
            if report.born < current.born:
                return False
            if not is_new_start and report.sequence <= current.sequence:
                return False
        if is_new_start:
            self.has_left = self._is_late_report(report, now) or self._has_departed(
                report
            )
            self.cold_until = -math.inf
        self.report = report
        self.reported_at = now
        self.cold_until = max(self.cold_until, now + report.cold_remaining)
        self.has_left = self.has_left or report.is_draining
        return True

    def record_leave(self, instance: str, now: float) -> bool:
        """Record that an instance leaves.

        Return whether the latest report is from this instance.
        """
        if self.report is None or self.report.instance != instance:
            self.left_at_by_instance.pop(instance, None)
            if len(self.left_at_by_instance) >= MAX_RECORDED_LEAVES:
                del self.left_at_by_instance[next(iter(self.left_at_by_instance))]
            self.left_at_by_instance[instance] = now
            return False
        self.has_left = True
        return True

    def set_departed(self, departed: Iterable[DepartedStart]) -> bool:
        """Set the starts that have left; return whether that closes the present one."""
        self.departed = tuple(departed)
        had_left = self.has_left
        self.has_left = had_left or (
            self.report is not None and self._has_departed(self.report)
        )
        return self.has_left != had_left

    def _has_departed(self, report: ServerReport) -> bool:
        return any(start.includes(*report.start) for start in self.departed)

    def _is_late_report(self, report: ServerReport, now: float) -> bool:
        """Return whether a report is a late heartbeat of an instance that has left."""
        left_at = self.left_at_by_instance.get(report.instance, -math.inf)
        return now - left_at < LEAVE_RETENTION and report.sequence > NEW_START_SEQUENCES

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is in a cold start."""
        return now < self.cold_until
