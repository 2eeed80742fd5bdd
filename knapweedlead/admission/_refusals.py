"""Which priorities are being refused altogether."""

NO_PRIORITY_REFUSED = 10
"""One above the least important priority: a load report that refuses none."""

MEMORY_SECONDS = 0.5
"""Time for which a refusal or a start of a priority counts."""


class RefusedPriorities:
    """Remembers when calls of each priority were refused and started last."""

    def __init__(self) -> None:
        self._refused_at: dict[int, float] = {}
        self._started_at: dict[int, float] = {}

    def note_refused(self, priority: int, now: float) -> None:
        """Take up that a call was refused for load."""
        self._refused_at[priority] = now

    def note_started(self, priority: int, now: float) -> None:
        """Take up that a call was sent to the backend server."""
        self._started_at[priority] = now

    def lowest(self, now: float) -> int:
        """Return the priority from which on all calls are being refused.

        It is the most important one of which calls were refused while none of
        it, or of a less important one, was started. A priority of which some
        calls run is shared among accounts, so none of its callers is warned off.
        """
        since = now - MEMORY_SECONDS
        started = (p for p, at in self._started_at.items() if at > since)
        last_started = max(started, default=-1)
        refused = (
            p for p, at in self._refused_at.items() if at > since and p > last_started
        )
        return min(refused, default=NO_PRIORITY_REFUSED)
