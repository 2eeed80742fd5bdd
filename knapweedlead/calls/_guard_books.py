"""Books of a guard: its calls by run, token and exchange."""

import itertools
import random
from collections.abc import Iterator

import attrs

from knapweedlead.calls._running import RunningCall
from knapweedlead.messages import CallCancel, CallRequest

REMEMBERED_SECONDS = 60.0
"""Time for which a finished exchange is remembered against repeats."""

MAX_REMEMBERED = 20_000
"""Finished exchanges remembered at most."""

_MS_PER_S = 1000
_TOKEN_BITS = 128

ExchangeKey = tuple[str, bytes, int, int]


@attrs.define(eq=False)
class RunState:
    """What a guard notes of one call beside the call itself.

    Parameters
    ----------
    first_child_at : float or None
        When the call made its first child call, on the clock of ``now``.
    is_cancelled : bool
        Whether the run was cancelled.
    is_stalled : bool
        Whether the run was already counted as far too slow.
    """

    first_child_at: float | None = None
    is_cancelled: bool = False
    is_stalled: bool = False

    def note_child(self, now: float) -> None:
        """Take up a child call; only the first one counts."""
        if self.first_child_at is None:
            self.first_child_at = now


def exchange_key(peer: str, message: CallRequest | CallCancel) -> ExchangeKey:
    """Return what names one hop of a call, also across restarts of its sender."""
    return peer, message.request_id, message.call_id, message.attempt


class GuardBooks:
    """Calls that a guard has taken on, and exchanges that it has finished.

    Parameters
    ----------
    rng : random.Random
        Source of the tokens that name running calls.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.by_run: dict[int, RunningCall] = {}
        self.running_by_run: dict[int, RunningCall] = {}
        self.state_by_run: dict[int, RunState] = {}
        self._runs = itertools.count(1)
        self._call_by_token: dict[str, RunningCall] = {}
        self._run_by_exchange: dict[ExchangeKey, int] = {}
        self._finished_at_by_exchange: dict[ExchangeKey, float] = {}

    def is_known(self, peer: str, request: CallRequest) -> bool:
        """Return whether this exchange is under way or was finished."""
        key = exchange_key(peer, request)
        return key in self._run_by_exchange or key in self._finished_at_by_exchange

    def open(
        self, peer: str, request: CallRequest, now: float, lateness: float
    ) -> RunningCall:
        """Take on a call whose message may have waited `lateness` seconds."""
        call = RunningCall(
            run=next(self._runs),
            token=f"{self.rng.getrandbits(_TOKEN_BITS):032x}",
            sender=peer,
            request=request,
            arrived_at=now,
            deadline=now + request.deadline_ms / _MS_PER_S - lateness,
            credits=request.retry_credits,
        )
        self.by_run[call.run] = call
        self.state_by_run[call.run] = RunState()
        self._run_by_exchange[exchange_key(peer, request)] = call.run
        return call

    def start(self, call: RunningCall, now: float) -> None:
        """Note that a call is sent to the backend server."""
        call.started_at = now
        self.running_by_run[call.run] = call
        self._call_by_token[call.token] = call

    def close(self, call: RunningCall, now: float) -> RunState:
        """Forget a call and remember its exchange."""
        key = exchange_key(call.sender, call.request)
        del self.by_run[call.run]
        del self._run_by_exchange[key]
        self.running_by_run.pop(call.run, None)
        self._call_by_token.pop(call.token, None)
        self._finished_at_by_exchange[key] = now
        self._forget_oldest(now)
        return self.state_by_run.pop(call.run)

    def of_token(self, token: str) -> RunningCall | None:
        """Return the running call that a token names."""
        return self._call_by_token.get(token)

    def of_exchange(self, peer: str, cancel: CallCancel) -> RunningCall | None:
        """Return the call that a cancellation names."""
        run = self._run_by_exchange.get(exchange_key(peer, cancel))
        return None if run is None else self.by_run[run]

    def running(self) -> Iterator[tuple[RunningCall, RunState]]:
        """Return the running calls with their states."""
        return (
            (call, self.state_by_run[run]) for run, call in self.running_by_run.items()
        )

    def _forget_oldest(self, now: float) -> None:
        finished = self._finished_at_by_exchange
        while finished:
            oldest, finished_at = next(iter(finished.items()))
            is_recent = now - finished_at < REMEMBERED_SECONDS
            if is_recent and len(finished) <= MAX_REMEMBERED:
                return
            del finished[oldest]
