"""Priorities whose calls are all being refused because of load."""

NO_PRIORITY_REFUSED = 10
"""Value in a load report if no priority is refused: least important priority + 1."""

RECENT_SECONDS = 0.5
"""Seconds for which a refused or started call counts as recent."""


class RefusedPriorities:
    """Tracks when a call of each priority was last refused and last started."""

    def __init__(self) -> None:
        self._refused_at: dict[int, float] = {}
        self._started_at: dict[int, float] = {}

    def record_refused(self, priority: int, now: float) -> None:
        """Record that a call was refused because of load."""
        self._refused_at[priority] = now

    def record_started(self, priority: int, now: float) -> None:
        """Record that a call was sent to the backend server."""
        self._started_at[priority] = now

    def threshold(self, now: float) -> int:
        """Return the most important priority from which all calls are refused.

        Calls of that priority were refused recently, and no call of the same or a
        less important priority was started. If some calls of a priority are started,
        its slots are shared among accounts, so entries should continue to send its
        calls.

        Returns
        -------
        int
            `NO_PRIORITY_REFUSED` if there is no such priority.
        """
        since = now - RECENT_SECONDS
        started = (p for p, at in self._started_at.items() if at > since)
        least_important_started = max(started, default=-1)
        refused = (
            p
            for p, at in self._refused_at.items()
            if at > since and p > least_important_started
        )
        return min(refused, default=NO_PRIORITY_REFUSED)
