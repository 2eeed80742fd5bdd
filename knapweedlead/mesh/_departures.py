"""Starts of backend servers that are known to leave."""

from typing import ClassVar

import attrs

from knapweedlead.mesh._tickets import ServerState
from knapweedlead.parameters import Constraint, Interval, check_parameters


class Departures:
    """Remembers which starts of backend servers leave, as their daemons announced.

    A daemon that restarts may not know any more that the server beside it leaves. Its
    peers do, send no calls to that start of the server, and tell the daemon.

    Parameters
    ----------
    max_count : int
        Starts that are remembered; the oldest ones are forgotten first.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "max_count": Interval(int, 1, 1_000_000)
    }

    def __init__(self, max_count: int = 4096) -> None:
        self.max_count = max_count
        check_parameters(self)
        self._starts: dict[tuple[str, int], None] = {}

    def remember(self, start: tuple[str, int]) -> None:
        """Remember that a start leaves; one without a known start time is ignored."""
        if not start[1]:
            return
        self._starts[start] = None
        if len(self._starts) > self.max_count:
            del self._starts[next(iter(self._starts))]

    def apply(self, state: ServerState) -> ServerState:
        """Remember a departure in a state, or correct a state that ignores one.

        Returns
        -------
        ServerState
            The state itself, or the same state with a server that leaves.
        """
        if not state.born:
            return state
        start = state.instance, state.born
        if state.is_leaving:
            self.remember(start)
        elif start in self._starts:
            return attrs.evolve(state, is_open=False, is_leaving=True)
        return state
