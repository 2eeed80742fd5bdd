"""Attempts of pending calls: sending, results and retries."""

from collections.abc import Iterator

import xxhash
from result import Err

from knapweedlead.calls._completion import FIRST_FAILURE_STATUS, CallCompletion
from knapweedlead.calls._headers import IDEMPOTENCY_KEY
from knapweedlead.calls._pending import PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.checks import FIRST_FINAL_STATUS, LAST_STATUS
from knapweedlead.configuration import ConfigurationRole
from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal, CallRequest
from knapweedlead.node import Count, Effect, SendMessage, WakeAt
from knapweedlead.requests import Outcome, RefusalReason
from knapweedlead.retries import FailedAttempt, RetryPolicy
from knapweedlead.routing import ObservedServer, Router, RoutingCriteria

_MS_PER_S = 1000
_NO_SERVER_RETRY_AFTER_MS = 1000
"""Retry delay sent to callers when no backend server is eligible."""


class Attempts:
    """Sends the attempts of calls and handles their results.

    Parameters
    ----------
    configuration : ConfigurationRole
        Current catalogue with its data centres and backend servers.
    calls : PendingCalls
        Table of pending calls.
    completion : CallCompletion
        Completes calls.
    router : Router
        Chooses servers, and updates its estimates with each result.
    retries : RetryPolicy
        Decides on retries.
    """

    def __init__(
        self,
        configuration: ConfigurationRole,
        calls: PendingCalls,
        completion: CallCompletion,
        router: Router,
        retries: RetryPolicy,
    ) -> None:
        self.configuration = configuration
        self.calls = calls
        self.completion = completion
        self.router = router
        self.retries = retries

    def send(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Send the next attempt of a waiting call."""
        if call.deadline <= now:
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self.completion.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        catalogue = self.configuration.catalogue
        if catalogue is None or not self.configuration.is_fresh(now):
            reason = RefusalReason.CONFIGURATION_STALE
            yield from self.completion.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        criteria = RoutingCriteria(
            service=call.route.service,
            priority=call.priority,
            may_retry=call.route.is_idempotent and call.credits > 0,
            tried=call.tried,
        )
        chosen = self.router.choose(criteria, catalogue, now)
        if isinstance(chosen, Err):
            yield from self.completion.refuse(
                call, chosen.err_value, Outcome.NOT_RUN, now, _NO_SERVER_RETRY_AFTER_MS
            )
            return
        yield self._send_to(call, chosen.ok_value, now)

    def _send_to(self, call: PendingCall, server: ObservedServer, now: float) -> Effect:
        policy = self.retries.credits
        call.lent_credits = policy.credits_for_attempt(
            call.credits, call.route.retry_credits
        )
        call.credits = policy.remaining_after(call.credits, call.lent_credits)
        call.attempt += 1
        call.sent_at = now
        call.server = server
        call.tried.add(server.member.name)
        call.advance("sent")
        self.calls.attach(call)
        self.router.record_sent(server, call.priority, now)
        event = call.event
        request = CallRequest(
            request_id=call.request_id,
            call_id=call.call_id,
            attempt=call.attempt,
            account=call.account,
            route=call.route.name,
            service=call.route.service,
            priority=call.priority,
            deadline_ms=int((call.deadline - now) * _MS_PER_S),
            retry_credits=call.lent_credits,
            hops=call.hops,
            is_idempotent=call.route.is_idempotent,
            idempotency_key=event.headers.get(IDEMPOTENCY_KEY, ""),
            method=event.method,
            path=event.path,
            headers=call.headers,
            body=event.body,
            revision=self.configuration.revision,
            is_forwarded=self._is_remote(server),
        )
        return SendMessage(server.member.link_address, request)

    def _is_remote(self, server: ObservedServer) -> bool:
        return server.member.data_centre != self.router.identity.data_centre

    def on_answer(
        self, call: PendingCall, answer: CallAnswer, now: float
    ) -> Iterator[Effect]:
        """Forward an answer; fail the attempt if the answer is not intact."""
        self._reclaim_credits(call, answer.unused_credits)
        defect = _defect_of(answer)
        if defect:
            yield Count("knapweedlead.answers.dropped", (("reason", defect),))
            reason = RefusalReason.BROKEN_ANSWER
            yield from self.fail(call, reason, Outcome.UNKNOWN, now)
            return
        server = self._detach(call)
        is_failure = answer.status >= FIRST_FAILURE_STATUS
        latency = now - call.sent_at
        self.router.record_answer(server, latency, is_failure, answer.load, now)
        if not is_failure:
            self.retries.record_success(call.route.service, now)
        yield from self.completion.answer(call, answer, now)

    def on_refusal(
        self, call: PendingCall, refusal: CallRefusal, now: float
    ) -> Iterator[Effect]:
        """Retry a refused call, or forward the refusal."""
        self._reclaim_credits(call, refusal.unused_credits)
        reason, outcome = _parse_refusal(refusal)
        yield from self.fail(call, reason, outcome, now, refusal)

    def on_unsent(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Retry a call whose message was never written."""
        self._reclaim_credits(call, call.lent_credits)
        yield from self.fail(call, RefusalReason.LINK_LOST, Outcome.NOT_RUN, now)

    def fail(
        self,
        call: PendingCall,
        reason: RefusalReason,
        outcome: Outcome,
        now: float,
        refusal: CallRefusal | None = None,
    ) -> Iterator[Effect]:
        """Handle an attempt without a valid answer: retry or refuse its call."""
        server = self._detach(call)
        load = refusal.load if refusal is not None else None
        self.router.record_refusal(server, now - call.sent_at, reason, load, now)
        call.may_have_run |= outcome is not Outcome.NOT_RUN
        call.advance("failed")
        retry_after_ms = refusal.retry_after_ms if refusal is not None else 0
        failed = FailedAttempt(
            service=call.route.service,
            reason=reason,
            outcome=outcome,
            is_idempotent=call.route.is_idempotent,
            credits=call.credits,
            attempt=call.attempt,
            deadline=call.deadline,
            retry_after_ms=retry_after_ms,
        )
        retry = None if call.is_caller_gone else self.retries.decide(failed, now)
        if retry is None:
            yield from self.completion.refuse(
                call, reason, outcome, now, retry_after_ms
            )
            return
        call.credits -= 1
        yield Count("knapweedlead.retries", (("reason", retry.reason.value),))
        self.calls.schedule_retry(call, retry.at)
        yield WakeAt(retry.at)

    def cancel(self, call: PendingCall) -> Iterator[Effect]:
        """Cancel the attempt in flight, whose answer is no longer needed."""
        peer = call.peer
        self.router.record_abandoned(self._detach(call), call.sent_at)
        yield SendMessage(peer, CallCancel(call.request_id, call.call_id, call.attempt))

    def expire(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Refuse a call whose deadline has passed, and cancel its attempt."""
        reason = RefusalReason.DEADLINE_EXCEEDED
        if call.server is None:
            yield from self.completion.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        peer = call.peer
        server = self._detach(call)
        self.router.record_refusal(server, now - call.sent_at, reason, None, now)
        yield SendMessage(peer, CallCancel(call.request_id, call.call_id, call.attempt))
        yield from self.completion.refuse(call, reason, Outcome.UNKNOWN, now)

    def _reclaim_credits(self, call: PendingCall, unused: int) -> None:
        """Return the unused part of the lent credits to the call."""
        call.credits += self.retries.credits.refunded(call.lent_credits, unused)
        call.lent_credits = 0

    def _detach(self, call: PendingCall) -> ObservedServer:
        server = call.server
        assert server is not None
        self.calls.detach(call)
        call.server = None
        return server


def _parse_refusal(refusal: CallRefusal) -> tuple[RefusalReason, Outcome]:
    """Return reason and outcome of a refusal.

    A value that this version does not know, such as one from a newer peer, is
    handled as a failed backend server with an unknown outcome.
    """
    try:
        return RefusalReason(refusal.reason), Outcome(refusal.outcome)
    except ValueError:
        return RefusalReason.BACKEND_SERVER_FAILED, Outcome.UNKNOWN


def _defect_of(answer: CallAnswer) -> str:
    """Return what is wrong with an answer, empty if nothing is."""
    if xxhash.xxh3_64_digest(answer.body) != answer.digest:
        return "digest"
    if not FIRST_FINAL_STATUS <= answer.status <= LAST_STATUS:
        return "status"
    return ""
