"""Indexed table of a guard's calls and of recently finished attempts."""

import itertools
import random
from collections.abc import Iterator

import attrs

from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.messages import CallCancel, CallRequest

FINISHED_RETENTION_SECONDS = 60.0
"""Time for which a finished attempt is kept to detect duplicate messages."""

MAX_FINISHED = 20_000
"""Maximum number of finished attempts kept."""

_MS_PER_S = 1000
_TOKEN_BITS = 128

AttemptKey = tuple[str, bytes, int, int]


@attrs.define(eq=False)
class GuardCallState:
    """Mutable state of one call.

    Parameters
    ----------
    first_child_at : float or None
        Time of the first child call, on the clock of ``now``.
    is_cancelled : bool
        Whether the run was cancelled.
    is_stalled : bool
        Whether the run was already recorded as stalled.
    """

    first_child_at: float | None = None
    is_cancelled: bool = False
    is_stalled: bool = False

    def record_child_call(self, now: float) -> None:
        """Record the time of a child call; only the first one is kept."""
        if self.first_child_at is None:
            self.first_child_at = now


def attempt_key(peer: str, message: CallRequest | CallCancel) -> AttemptKey:
    """Return the key of an attempt, which stays unique if its sender restarts."""
    return peer, message.request_id, message.call_id, message.attempt


class GuardCallTable:
    """Calls of a guard by run, token and attempt, and finished attempts.

    Parameters
    ----------
    rng : random.Random
        Source of parent tokens.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.by_run: dict[int, GuardCall] = {}
        self.running_by_run: dict[int, GuardCall] = {}
        self.state_by_run: dict[int, GuardCallState] = {}
        self._runs = itertools.count(1)
        self._call_by_token: dict[str, GuardCall] = {}
        self._run_by_attempt: dict[AttemptKey, int] = {}
        self._finished_at_by_attempt: dict[AttemptKey, float] = {}

    def is_duplicate(self, peer: str, request: CallRequest) -> bool:
        """Return whether this attempt is in progress or finished recently."""
        key = attempt_key(peer, request)
        return key in self._run_by_attempt or key in self._finished_at_by_attempt

    def open(
        self, peer: str, request: CallRequest, now: float, pause_delay: float
    ) -> GuardCall:
        """Add a call whose message may have been delayed by `pause_delay` seconds."""
        call = GuardCall(
            run=next(self._runs),
            token=f"{self.rng.getrandbits(_TOKEN_BITS):032x}",
            sender=peer,
            request=request,
            arrived_at=now,
            deadline=now + request.deadline_ms / _MS_PER_S - pause_delay,
            credits=request.retry_credits,
        )
        self.by_run[call.run] = call
        self.state_by_run[call.run] = GuardCallState()
        self._run_by_attempt[attempt_key(peer, request)] = call.run
        return call

    def start(self, call: GuardCall, now: float) -> None:
        """Record that a call is sent to the backend server."""
        call.started_at = now
        self.running_by_run[call.run] = call
        self._call_by_token[call.token] = call

    def close(self, call: GuardCall, now: float) -> GuardCallState:
        """Remove a call, record its attempt as finished, and return its state."""
        key = attempt_key(call.sender, call.request)
        del self.by_run[call.run]
        del self._run_by_attempt[key]
        self.running_by_run.pop(call.run, None)
        self._call_by_token.pop(call.token, None)
        self._finished_at_by_attempt[key] = now
        self._evict_finished(now)
        return self.state_by_run.pop(call.run)

    def find_by_token(self, token: str) -> GuardCall | None:
        """Return the running call to which a parent token was issued, or None."""
        return self._call_by_token.get(token)

    def find_by_attempt(self, peer: str, cancel: CallCancel) -> GuardCall | None:
        """Return the call that a cancellation refers to."""
        run = self._run_by_attempt.get(attempt_key(peer, cancel))
        return None if run is None else self.by_run[run]

    def running(self) -> Iterator[tuple[GuardCall, GuardCallState]]:
        """Return the running calls with their states."""
        return (
            (call, self.state_by_run[run]) for run, call in self.running_by_run.items()
        )

    def _evict_finished(self, now: float) -> None:
        finished = self._finished_at_by_attempt
        while finished:
            oldest, finished_at = next(iter(finished.items()))
            is_recent = now - finished_at < FINISHED_RETENTION_SECONDS
            if is_recent and len(finished) <= MAX_FINISHED:
                return
            del finished[oldest]
