"""Signs that the own backend server has started anew."""

START_IDENTITY = "knapweedlead-start-identity"
"""Answer header in which a backend server may name its start; not passed on."""

UNREACHABLE_RUNS = 3
"""Runs in a row that found no listener, after which a new start is expected."""


class StartSigns:
    """Recognizes starts of the backend server from its answers and refusals."""

    def __init__(self) -> None:
        self._identity = ""
        self._unreachable_runs = 0

    def is_start_in_answer(self, headers: dict[str, str]) -> bool:
        """Return whether an answer names another start than the one before."""
        self._unreachable_runs = 0
        identity = headers.get(START_IDENTITY, "")
        if not identity or identity == self._identity:
            return False
        is_changed = bool(self._identity)
        self._identity = identity
        return is_changed

    def is_start_expected(self) -> bool:
        """Take up a run that found no listener; return whether one must start."""
        self._unreachable_runs += 1
        return self._unreachable_runs >= UNREACHABLE_RUNS
