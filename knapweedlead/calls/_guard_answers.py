"""Messages and effects with which a guard ends a call."""

from collections.abc import Iterator

import xxhash

from knapweedlead.calls._guard_starts import START_IDENTITY
from knapweedlead.calls._headers import DEADLINE, PARENT, passed_on
from knapweedlead.calls._running import RunningCall
from knapweedlead.messages import CallAnswer, CallRefusal, LoadReport
from knapweedlead.node import (
    Count,
    Effect,
    RunAnswered,
    RunOnBackendServer,
    SendMessage,
)
from knapweedlead.requests import Outcome, RefusalReason

REFUSALS = "knapweedlead.guard.refusals"

_MS_PER_S = 1000


def run_of(call: RunningCall, now: float) -> RunOnBackendServer:
    """Return the effect that sends a call to the backend server."""
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


def answer_of(call: RunningCall, event: RunAnswered, load: LoadReport) -> SendMessage:
    """Return the effect that sends a whole answer back."""
    request = call.request
    headers = passed_on(event.headers)
    headers.pop(START_IDENTITY, None)
    answer = CallAnswer(
        request_id=request.request_id,
        call_id=request.call_id,
        attempt=request.attempt,
        status=event.status,
        headers=headers,
        body=event.body,
        digest=xxhash.xxh3_64_digest(event.body),
        unused_credits=call.credits,
        load=load,
    )
    return SendMessage(call.sender, answer)


def refusal_of(
    call: RunningCall,
    outcome: Outcome,
    reason: RefusalReason,
    retry_after_ms: int,
    load: LoadReport,
) -> Iterator[Effect]:
    """Return the effects that count a refusal and send it back."""
    request = call.request
    yield Count(REFUSALS, (("reason", reason.value),))
    refusal = CallRefusal(
        request_id=request.request_id,
        call_id=request.call_id,
        attempt=request.attempt,
        outcome=outcome.value,
        reason=reason.value,
        retry_after_ms=retry_after_ms,
        unused_credits=call.credits,
        load=load,
    )
    yield SendMessage(call.sender, refusal)
