"""Detection that the local backend server has ended, with the runs that it lost."""

from collections import deque

import attrs

from knapweedlead.mesh._quarantine import (
    LostRun,
    RecentRequests,
    ServerEnd,
    fingerprint,
)
from knapweedlead.mesh._tickets import Ticket

CONFIRMATION_TIME = 5.0
"""Seconds after the loss of a run within which the end of its server must show; longer
than a server takes to start again."""


@attrs.frozen
class _Lost:
    start: tuple[str, int]
    fingerprint: bytes
    is_known: bool
    started_at: float
    lost_at: float


class ServerEnds:
    """Collects lost runs until it is known whether the server has ended.

    A run whose connection breaks off does not tell: a server in trouble may break off
    an answer and go on. The server has ended if its address refuses a connection or
    belongs to another start, and it goes on if it answers a call that was sent later.
    """

    def __init__(self) -> None:
        self._completed = RecentRequests()
        self._lost: deque[_Lost] = deque()

    @property
    def has_lost_runs(self) -> bool:
        """Whether runs were lost to a server that may have ended."""
        return bool(self._lost)

    def record_lost(self, ticket: Ticket, now: float) -> None:
        """Record a run whose connection was lost before its answer."""
        while self._lost and now - self._lost[0].lost_at > CONFIRMATION_TIME:
            self._lost.popleft()
        request = ticket.route, ticket.head, ticket.body
        lost = _Lost(
            ticket.server_start,
            fingerprint(*request),
            self._completed.contains(*request),
            ticket.started_at,
            now,
        )
        self._lost.append(lost)

    def record_answer(self, ticket: Ticket, now: float) -> None:
        """Record a complete answer of the server."""
        self._completed.add(ticket.route, ticket.head, ticket.body, now)
        start = ticket.server_start
        while self._lost and (
            self._lost[0].start == start and self._lost[0].lost_at < ticket.started_at
        ):
            self._lost.popleft()

    def confirm(self, now: float, present: tuple[str, int] | None) -> ServerEnd | None:
        """Return the end of the server that lost runs, if it was not known before.

        Parameters
        ----------
        now : float
        present : tuple of (str, int) or None
            Start that is present at the server's address; None if there is none, or it
            is unknown.
        """
        recent = [
            lost for lost in self._lost if now - lost.lost_at <= CONFIRMATION_TIME
        ]
        ended = [lost for lost in recent if lost.start != present]
        self._lost = deque(lost for lost in recent if lost.start == present)
        if not ended:
            return None
        instance, born = ended[-1].start
        runs = (
            LostRun(
                lost.fingerprint,
                now - lost.started_at,
                now - lost.lost_at,
                lost.is_known,
            )
            for lost in ended
        )
        return ServerEnd(instance, born, tuple(runs))
