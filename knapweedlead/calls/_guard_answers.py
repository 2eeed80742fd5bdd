"""Effects that run a guard's call and report its result."""

from collections.abc import Iterator

import xxhash

from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.calls._headers import DEADLINE, PARENT, forwarded_headers
from knapweedlead.calls._restart_detector import START_IDENTITY
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


def run_of(call: GuardCall, now: float) -> RunOnBackendServer:
    """Return the effect that sends a call to the backend server."""
    request = call.request
    headers = forwarded_headers(request.headers)
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


def answer_of(call: GuardCall, event: RunAnswered, load: LoadReport) -> SendMessage:
    """Return the effect that sends an answer to the entry."""
    request = call.request
    headers = forwarded_headers(event.headers)
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
    call: GuardCall,
    outcome: Outcome,
    reason: RefusalReason,
    retry_after_ms: int,
    load: LoadReport,
) -> Iterator[Effect]:
    """Yield the effects that count a refusal and send it to the entry."""
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
