"""Guard role: admits calls to the own backend server."""

import itertools
import random
from collections import deque
from collections.abc import Iterator

import xxhash

from knapweedlead.calls._headers import DEADLINE, PARENT, passed_on
from knapweedlead.calls._running import RunningCall
from knapweedlead.configuration import ConfigurationRole
from knapweedlead.messages import (
    CallAnswer,
    CallCancel,
    CallRefusal,
    CallRequest,
    LoadReport,
)
from knapweedlead.node import (
    CancelRun,
    Count,
    Effect,
    Identity,
    Role,
    RunAnswered,
    RunFailed,
    RunOnBackendServer,
    SendMessage,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.requests import Outcome, RefusalReason

NO_PRIORITY_REFUSED = 10
"""One above the least important priority: a load report that refuses none."""

QUEUE_LENGTH = 64
"""Calls that wait at most."""

_MS_PER_S = 1000
_TOKEN_BITS = 128


class GuardRole(Role):
    """Admits, queues or refuses calls for the backend server beside the daemon.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    slots : int
        Calls that the backend server runs at once.
    configuration : ConfigurationRole
        Statements on data centres and backend servers.
    rng : random.Random
        Source of parent tokens.
    """

    def __init__(
        self,
        identity: Identity,
        slots: int,
        configuration: ConfigurationRole,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.slots = slots
        self.configuration = configuration
        self.rng = rng
        self._runs = itertools.count(1)
        self._waiting: deque[RunningCall] = deque()
        self._running_by_run: dict[int, RunningCall] = {}
        self._call_by_token: dict[str, RunningCall] = {}
        self._call_by_key: dict[tuple[str, int, int], RunningCall] = {}

    def parent_of(self, token: str) -> RunningCall | None:
        """Return the running call that a child call's token names."""
        return self._call_by_token.get(token)

    def load_report(self) -> LoadReport:
        """Return the state told to entries."""
        return LoadReport(
            limit=self.slots,
            in_flight=len(self._running_by_run),
            queued=len(self._waiting),
            refused_priority=NO_PRIORITY_REFUSED,
            is_cold=False,
            is_draining=False,
        )

    @handles_message(CallRequest)
    def on_request(
        self, peer: str, request: CallRequest, now: float
    ) -> Iterator[Effect]:
        """Run, queue or refuse a call."""
        call = RunningCall(
            run=next(self._runs),
            token=f"{self.rng.getrandbits(_TOKEN_BITS):032x}",
            sender=peer,
            request=request,
            arrived_at=now,
            deadline=now + request.deadline_ms / _MS_PER_S,
            credits=request.retry_credits,
        )
        reason = self._reason_to_refuse(call, now)
        if reason is not None:
            yield from self._refuse(call, Outcome.NOT_RUN, reason)
            return
        self._call_by_key[call.key] = call
        if len(self._running_by_run) < self.slots:
            yield self._run(call, now)
        else:
            self._waiting.append(call)

    def _reason_to_refuse(self, call: RunningCall, now: float) -> RefusalReason | None:
        catalogue = self.configuration.catalogue
        if catalogue is None:
            return RefusalReason.CONFIGURATION_UNKNOWN
        if not catalogue.is_backend_server_in_service(
            self.identity.name, self.identity.data_centre
        ):
            return RefusalReason.OUT_OF_SERVICE
        if call.deadline <= now:
            return RefusalReason.DEADLINE_EXCEEDED
        if len(self._waiting) >= QUEUE_LENGTH:
            return RefusalReason.OVERLOADED
        return None

    def _run(self, call: RunningCall, now: float) -> Effect:
        call.started_at = now
        self._running_by_run[call.run] = call
        self._call_by_token[call.token] = call
        request = call.request
        headers = passed_on(request.headers)
        headers[DEADLINE] = str(max(1, int((call.deadline - now) * _MS_PER_S)))
        headers[PARENT] = call.token
        return RunOnBackendServer(
            run=call.run,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            timeout=call.deadline - now,
        )

    @handles(RunAnswered)
    def on_run_answered(self, event: RunAnswered, now: float) -> Iterator[Effect]:
        """Send the whole answer back and start the next call."""
        call = self._finish(event.run)
        if call is not None:
            request = call.request
            answer = CallAnswer(
                request_id=request.request_id,
                call_id=request.call_id,
                attempt=request.attempt,
                status=event.status,
                headers=passed_on(event.headers),
                body=event.body,
                digest=xxhash.xxh3_64_digest(event.body),
                unused_credits=call.credits,
                load=self.load_report(),
            )
            yield SendMessage(call.sender, answer)
        yield from self._start_next(now)

    @handles(RunFailed)
    def on_run_failed(self, event: RunFailed, now: float) -> Iterator[Effect]:
        """Report a run without a whole answer and start the next call."""
        call = self._finish(event.run)
        if call is not None and event.was_sent:
            reason = RefusalReason.BACKEND_SERVER_FAILED
            yield from self._refuse(call, Outcome.UNKNOWN, reason)
        elif call is not None:
            reason = RefusalReason.BACKEND_SERVER_UNREACHABLE
            yield from self._refuse(call, Outcome.NOT_RUN, reason)
        yield from self._start_next(now)

    @handles_message(CallCancel)
    def on_cancel(self, peer: str, cancel: CallCancel, now: float) -> Iterator[Effect]:
        """Drop a waiting call, or close the connection of a running one."""
        call = self._call_by_key.get((peer, cancel.call_id, cancel.attempt))
        if call is None:
            return
        if call.run in self._running_by_run:
            yield CancelRun(call.run)
        else:
            self._waiting.remove(call)
            yield from self._refuse(call, Outcome.NOT_RUN, RefusalReason.CANCELLED)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Refuse waiting calls whose deadline has passed."""
        expired = [call for call in self._waiting if call.deadline <= now]
        for call in expired:
            self._waiting.remove(call)
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self._refuse(call, Outcome.NOT_RUN, reason)

    def _start_next(self, now: float) -> Iterator[Effect]:
        while self._waiting and len(self._running_by_run) < self.slots:
            call = self._waiting.popleft()
            if call.deadline > now:
                yield self._run(call, now)
                continue
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self._refuse(call, Outcome.NOT_RUN, reason)

    def _finish(self, run: int) -> RunningCall | None:
        call = self._running_by_run.pop(run, None)
        if call is not None:
            del self._call_by_token[call.token]
            self._call_by_key.pop(call.key, None)
        return call

    def _refuse(
        self, call: RunningCall, outcome: Outcome, reason: RefusalReason
    ) -> Iterator[Effect]:
        self._call_by_key.pop(call.key, None)
        request = call.request
        yield Count("knapweedlead.guard.refusals", (("reason", reason.value),))
        refusal = CallRefusal(
            request_id=request.request_id,
            call_id=request.call_id,
            attempt=request.attempt,
            outcome=outcome.value,
            reason=reason.value,
            retry_after_ms=0,
            unused_credits=call.credits,
            load=self.load_report(),
        )
        yield SendMessage(call.sender, refusal)
