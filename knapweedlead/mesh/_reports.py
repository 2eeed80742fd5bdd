"""What a backend server says of itself, and which of it to believe."""

import math

import attrs

LEAVE_RETENTION = 60.0
"""Seconds for which the leave of a server that was not known is remembered; heartbeats
come seconds late, and a leaving server may live on for many seconds."""
MAX_RECORDED_LEAVES = 16
"""Such servers remembered; few share one address within that time."""
NEW_START_SEQUENCES = 2
"""Heartbeats by which a new start under the same name is told from late ones of the
start that has left; the first one may be lost."""


@attrs.frozen
class ServerReport:
    """One heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Identity of this start of the backend server, mostly.
    service, address, data_centre, version : str
    slots : int
        Calls that it works on at once.
    is_draining : bool
        Whether it takes no new calls.
    sequence : int
        Rises with each heartbeat of a start.
    cold_for : float
        Seconds for which it stays cold.
    born : int
        Start time in milliseconds since the epoch; with `instance` it tells
        starts apart.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    sequence: int
    cold_for: float
    born: int


@attrs.define(eq=False)
class BackendServer:
    """The backend server beside this daemon, as last reported.

    Attributes
    ----------
    report : ServerReport or None
        Latest report of the current start.
    heard_at : float
        Time of that report.
    cold_until : float
        End of the cold start.
    has_left : bool
        Whether the current start has said that it drains or is gone.
    left_at_by_instance : dict of str to float
        Servers that have left before this daemon knew them, and when: it may have
        been started anew meanwhile, and hear their heartbeats late.
    """

    report: ServerReport | None = None
    heard_at: float = -math.inf
    cold_until: float = -math.inf
    has_left: bool = False
    left_at_by_instance: dict[str, float] = attrs.field(factory=dict)

    def take(self, report: ServerReport, now: float) -> bool:
        """Take a report unless it is older than what is known.

        Returns
        -------
        bool
            Whether the report was taken.
        """
        current = self.report
        is_new_start = current is None or (
            report.born != current.born or report.instance != current.instance
        )
        if current is not None:
            if report.born < current.born:
                return False
            if not is_new_start and report.sequence <= current.sequence:
                return False
        if is_new_start:
            self.has_left = self._is_late_report(report, now)
            self.cold_until = -math.inf
        self.report = report
        self.heard_at = now
        self.cold_until = max(self.cold_until, now + report.cold_for)
        self.has_left = self.has_left or report.is_draining
        return True

    def leave(self, instance: str, now: float) -> bool:
        """Note that a start of the backend server goes away; return if it is known."""
        if self.report is None or self.report.instance != instance:
            self.left_at_by_instance.pop(instance, None)
            if len(self.left_at_by_instance) >= MAX_RECORDED_LEAVES:
                del self.left_at_by_instance[next(iter(self.left_at_by_instance))]
            self.left_at_by_instance[instance] = now
            return False
        self.has_left = True
        return True

    def _is_late_report(self, report: ServerReport, now: float) -> bool:
        """Return whether a report is a late one of a server that has left."""
        left_at = self.left_at_by_instance.get(report.instance, -math.inf)
        return now - left_at < LEAVE_RETENTION and report.sequence > NEW_START_SEQUENCES

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is in a cold start."""
        return now < self.cold_until
