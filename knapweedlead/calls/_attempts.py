"""Attempts of pending calls: sent, answered, refused, lost, tried again."""

from collections.abc import Iterator

import xxhash
from result import Err

from knapweedlead.calls._endings import FIRST_FAILURE_STATUS, CallEndings
from knapweedlead.calls._headers import IDEMPOTENCY_KEY
from knapweedlead.calls._pending import PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.configuration import ConfigurationRole
from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal, CallRequest
from knapweedlead.node import Count, Effect, SendMessage, WakeAt
from knapweedlead.requests import Outcome, RefusalReason
from knapweedlead.retries import FailedAttempt, RetryPolicy
from knapweedlead.routing import ObservedServer, Router, RoutingCriteria

_MS_PER_S = 1000
_HELD_RETRY_AFTER_MS = 1000
"""Milliseconds told to callers refused because no server takes their call."""


class Attempts:
    """Sends the attempts of calls and decides what their ends mean.

    Parameters
    ----------
    configuration : ConfigurationRole
        Statements on data centres and backend servers.
    calls : PendingCalls
        Calls taken in.
    endings : CallEndings
        Ends calls.
    router : Router
        Chooses servers, and learns from each result.
    retries : RetryPolicy
        Decides on retries.
    """

    def __init__(
        self,
        configuration: ConfigurationRole,
        calls: PendingCalls,
        endings: CallEndings,
        router: Router,
        retries: RetryPolicy,
    ) -> None:
        self.configuration = configuration
        self.calls = calls
        self.endings = endings
        self.router = router
        self.retries = retries

    def send(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Send the next attempt of a waiting call."""
        if call.deadline <= now:
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self.endings.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        catalogue = self.configuration.catalogue
        if catalogue is None or not self.configuration.is_fresh(now):
            reason = RefusalReason.CONFIGURATION_STALE
            yield from self.endings.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        criteria = RoutingCriteria(
            service=call.route.service,
            priority=call.priority,
            may_retry=call.route.is_idempotent and call.credits > 0,
            tried=call.tried,
        )
        chosen = self.router.choose(criteria, catalogue, now)
        if isinstance(chosen, Err):
            yield from self.endings.refuse(
                call, chosen.err_value, Outcome.NOT_RUN, now, _HELD_RETRY_AFTER_MS
            )
            return
        yield self._send_to(call, chosen.ok_value, now)

    def _send_to(self, call: PendingCall, server: ObservedServer, now: float) -> Effect:
        policy = self.retries.credits
        call.lent = policy.credits_for_attempt(call.credits, call.route.retry_credits)
        call.credits = policy.remaining_after(call.credits, call.lent)
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
            retry_credits=call.lent,
            hops=call.hops,
            is_idempotent=call.route.is_idempotent,
            idempotency_key=event.headers.get(IDEMPOTENCY_KEY, ""),
            method=event.method,
            path=event.path,
            headers=call.headers,
            body=event.body,
            revision=self.configuration.revision,
            is_forwarded=self._is_elsewhere(server),
        )
        return SendMessage(server.member.link_address, request)

    def _is_elsewhere(self, server: ObservedServer) -> bool:
        return server.member.data_centre != self.router.identity.data_centre

    def take_answer(
        self, call: PendingCall, answer: CallAnswer, now: float
    ) -> Iterator[Effect]:
        """Pass a whole answer on, or drop one that does not fit its digest."""
        self._bring_back(call, answer.unused_credits)
        if xxhash.xxh3_64_digest(answer.body) != answer.digest:
            yield Count("knapweedlead.answers.dropped", (("reason", "digest"),))
            reason = RefusalReason.BROKEN_ANSWER
            yield from self.fail(call, reason, Outcome.UNKNOWN, now)
            return
        server = self._detach(call)
        is_failure = answer.status >= FIRST_FAILURE_STATUS
        latency = now - call.sent_at
        self.router.record_answer(server, latency, is_failure, answer.load, now)
        if not is_failure:
            self.retries.record_success(call.route.service, now)
        yield from self.endings.answer(call, answer, now)

    def take_refusal(
        self, call: PendingCall, refusal: CallRefusal, now: float
    ) -> Iterator[Effect]:
        """Try a refused call again, or pass the refusal on."""
        self._bring_back(call, refusal.unused_credits)
        reason, outcome = _meaning(refusal)
        yield from self.fail(call, reason, outcome, now, refusal)

    def take_unsent(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Try a call again whose message was never written."""
        self._bring_back(call, call.lent)
        yield from self.fail(call, RefusalReason.LINK_LOST, Outcome.NOT_RUN, now)

    def fail(
        self,
        call: PendingCall,
        reason: RefusalReason,
        outcome: Outcome,
        now: float,
        refusal: CallRefusal | None = None,
    ) -> Iterator[Effect]:
        """End an attempt without an answer; try again where that is allowed."""
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
            yield from self.endings.refuse(call, reason, outcome, now, retry_after_ms)
            return
        call.credits -= 1
        yield Count("knapweedlead.retries", (("reason", retry.reason.value),))
        self.calls.schedule(call, retry.at)
        yield WakeAt(retry.at)

    def give_up(self, call: PendingCall) -> Iterator[Effect]:
        """Cancel the attempt under way, whose answer nobody waits for."""
        peer = call.peer
        self.router.record_abandoned(self._detach(call))
        yield SendMessage(peer, CallCancel(call.request_id, call.call_id, call.attempt))

    def expire(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Refuse a call whose deadline has passed."""
        reason = RefusalReason.DEADLINE_EXCEEDED
        if call.server is None:
            yield from self.endings.refuse(call, reason, Outcome.NOT_RUN, now)
            return
        peer = call.peer
        server = self._detach(call)
        self.router.record_refusal(server, now - call.sent_at, reason, None, now)
        yield SendMessage(peer, CallCancel(call.request_id, call.call_id, call.attempt))
        yield from self.endings.refuse(call, reason, Outcome.UNKNOWN, now)

    def _bring_back(self, call: PendingCall, unused: int) -> None:
        """Take back the lent credits that were not used."""
        call.credits += self.retries.credits.refunded(call.lent, unused)
        call.lent = 0

    def _detach(self, call: PendingCall) -> ObservedServer:
        server = call.server
        assert server is not None
        self.calls.detach(call)
        call.server = None
        return server


def _meaning(refusal: CallRefusal) -> tuple[RefusalReason, Outcome]:
    """Return reason and outcome; a peer's unknown words count as unknown."""
    try:
        return RefusalReason(refusal.reason), Outcome(refusal.outcome)
    except ValueError:
        return RefusalReason.BACKEND_SERVER_FAILED, Outcome.UNKNOWN
