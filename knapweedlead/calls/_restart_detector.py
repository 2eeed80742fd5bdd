"""Detection of restarts of the local backend server."""

START_IDENTITY = "knapweedlead-start-identity"
"""Optional answer header that changes at each backend server start; not forwarded."""

RESTART_UNREACHABLE_RUNS = 3
"""A restart is assumed after this many consecutive runs could not be sent."""


class RestartDetector:
    """Detects restarts from answer headers and from runs that could not be sent."""

    def __init__(self) -> None:
        self._identity = ""
        self._unreachable_runs = 0

    def observe_answer(self, headers: dict[str, str]) -> bool:
        """Record an answer; return whether its start identity changed."""
        self._unreachable_runs = 0
        identity = headers.get(START_IDENTITY, "")
        if not identity or identity == self._identity:
            return False
        is_changed = bool(self._identity)
        self._identity = identity
        return is_changed

    def observe_unreachable(self) -> bool:
        """Record a run that could not be sent; return whether a restart is assumed."""
        self._unreachable_runs += 1
        return self._unreachable_runs >= RESTART_UNREACHABLE_RUNS
