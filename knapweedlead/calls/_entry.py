"""Entry role: takes calls from callers and has them run."""

import itertools
import random
from collections.abc import Iterator

import xxhash

from knapweedlead.accounts import (
    AccountsRole,
    TokenDecision,
    TokensDecided,
    authenticate,
)
from knapweedlead.calls._guard import GuardRole
from knapweedlead.calls._headers import (
    AUTHORIZATION,
    DEADLINE,
    IDEMPOTENCY_KEY,
    PARENT,
    passed_on,
)
from knapweedlead.calls._pending import PendingCall
from knapweedlead.calls._problem import problem_reply
from knapweedlead.configuration import Catalogue, ConfigurationRole, Route
from knapweedlead.membership import Member, MembershipRole
from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal, CallRequest
from knapweedlead.node import (
    CallerGone,
    CallReceived,
    Count,
    Effect,
    LinkDown,
    ReplyToCaller,
    Role,
    SendFailed,
    SendMessage,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.requests import (
    OnceClaimKey,
    OnceDecided,
    OnceDecision,
    OnceRole,
    Outcome,
    RefusalReason,
    RetryReason,
    StoredAnswer,
)

MAX_HOPS = 32

_MS_PER_S = 1000
_REQUEST_ID_BITS = 128
_REQUEST_ID_BYTES = 16

_REASON_BY_ONCE_DECISION = {
    OnceDecision.IN_PROGRESS: (
        RefusalReason.IDEMPOTENCY_IN_PROGRESS,
        Outcome.UNKNOWN,
    ),
    OnceDecision.UNKNOWN: (RefusalReason.IDEMPOTENCY_UNKNOWN, Outcome.UNKNOWN),
    OnceDecision.MISMATCH: (RefusalReason.IDEMPOTENCY_MISMATCH, Outcome.NOT_RUN),
    OnceDecision.UNAVAILABLE: (
        RefusalReason.IDEMPOTENCY_UNAVAILABLE,
        Outcome.UNKNOWN,
    ),
}


class EntryRole(Role):
    """Authenticates, meters, routes and retries calls.

    Parameters
    ----------
    configuration : ConfigurationRole
        Accounts, keys and routes in force.
    membership : MembershipRole
        Where backend servers are.
    accounts : AccountsRole
        Tokens of the client accounts.
    once : OnceRole
        Once records.
    guard : GuardRole
        Running calls of the own backend server, parents of child calls.
    rng : random.Random
        Source of request ids and of choices among members.
    """

    def __init__(
        self,
        configuration: ConfigurationRole,
        membership: MembershipRole,
        accounts: AccountsRole,
        once: OnceRole,
        guard: GuardRole,
        rng: random.Random,
    ) -> None:
        self.configuration = configuration
        self.membership = membership
        self.accounts = accounts
        self.once = once
        self.guard = guard
        self.rng = rng
        self._call_ids = itertools.count(1)
        self._by_call_id: dict[int, PendingCall] = {}
        self._by_exchange: dict[int, PendingCall] = {}

    @handles(CallReceived)
    def on_call(self, event: CallReceived, now: float) -> Iterator[Effect]:
        """Authenticate a call and ask for its token."""
        catalogue = self.configuration.catalogue
        if catalogue is None or not self.configuration.is_fresh(now):
            yield from _refuse(event, RefusalReason.CONFIGURATION_UNKNOWN)
            return
        route = catalogue.route_of(event.path)
        if route is None:
            yield from _refuse(event, RefusalReason.UNKNOWN_ROUTE)
            return
        if PARENT in event.headers:
            yield from self._take_child(event, route, now)
        else:
            yield from self._take_first(event, route, catalogue, now)

    def _take_child(
        self, event: CallReceived, route: Route, now: float
    ) -> Iterator[Effect]:
        parent = self.guard.parent_of(event.headers[PARENT])
        if parent is None:
            yield from _refuse(event, RefusalReason.INVALID_PARENT)
            return
        if parent.request.hops + 1 > MAX_HOPS:
            yield from _refuse(event, RefusalReason.HOP_LIMIT)
            return
        call = PendingCall(
            call_id=next(self._call_ids),
            event=event,
            route=route,
            account=parent.request.account,
            metered=None,
            parent=parent,
            request_id=parent.request.request_id,
            priority=min(parent.request.priority, route.priority),
            deadline=min(parent.deadline, self._deadline(event, route, now)),
            credits=parent.credits,
            hops=parent.request.hops + 1,
        )
        parent.credits = 0
        self._keep(call)
        yield from self._claim(call, now)

    def _take_first(
        self, event: CallReceived, route: Route, catalogue: Catalogue, now: float
    ) -> Iterator[Effect]:
        account = None
        if not route.is_open:
            check = authenticate(catalogue, event.headers.get(AUTHORIZATION, ""))
            if check.reason is not None:
                yield from _refuse(event, check.reason)
                return
            account = check.account
        call = PendingCall(
            call_id=next(self._call_ids),
            event=event,
            route=route,
            account=account.name if account else "",
            metered=account,
            parent=None,
            request_id=self.rng.getrandbits(_REQUEST_ID_BITS).to_bytes(
                _REQUEST_ID_BYTES, "big"
            ),
            priority=route.priority,
            deadline=self._deadline(event, route, now),
            credits=route.retry_credits,
            hops=0,
        )
        self._keep(call)
        if account is None:
            yield from self._claim(call, now)
            return
        decision, effects = self.accounts.take(account, call.call_id, now)
        yield from effects
        yield from self._on_tokens(call, decision, 0, now)

    @handles(TokensDecided)
    def on_tokens_decided(self, event: TokensDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose token was asked for."""
        call = self._by_call_id.get(event.ticket)
        if call is not None:
            yield from self._on_tokens(call, event.decision, event.retry_after_ms, now)

    def _on_tokens(
        self,
        call: PendingCall,
        decision: TokenDecision,
        retry_after_ms: int,
        now: float,
    ) -> Iterator[Effect]:
        if decision is TokenDecision.GRANTED:
            yield from self._claim(call, now)
        elif decision is TokenDecision.REFUSED:
            call.metered = None
            yield from self._end_refused(
                call, RefusalReason.RATE_EXCEEDED, Outcome.NOT_RUN, now, retry_after_ms
            )
        elif decision is TokenDecision.UNAVAILABLE:
            call.metered = None
            yield from self._end_refused(
                call, RefusalReason.RATE_UNAVAILABLE, Outcome.NOT_RUN, now
            )

    def _claim(self, call: PendingCall, now: float) -> Iterator[Effect]:
        if call.route.is_idempotent or call.parent is not None:
            yield from self._send(call, now)
            return
        key = call.event.headers.get(IDEMPOTENCY_KEY, "")
        if not key:
            reason = RefusalReason.MISSING_IDEMPOTENCY_KEY
            yield from self._end_refused(call, reason, Outcome.NOT_RUN, now)
            return
        event = call.event
        text = f"{event.method} {event.path}\n".encode()
        fingerprint = xxhash.xxh3_128_digest(text + event.body)
        claim = OnceClaimKey(call.account, key, fingerprint, call.route.is_durable)
        decision, answer, effects = self.once.claim(claim, call.call_id, now)
        yield from effects
        if decision is OnceDecision.CLAIMED:
            call.claim = claim
        yield from self._on_once(call, decision, answer, now)

    @handles(OnceDecided)
    def on_once_decided(self, event: OnceDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose once record was asked for."""
        call = self._by_call_id.get(event.ticket)
        if call is not None:
            yield from self._on_once(call, event.decision, event.answer, now)

    def _on_once(
        self,
        call: PendingCall,
        decision: OnceDecision,
        answer: StoredAnswer | None,
        now: float,
    ) -> Iterator[Effect]:
        if decision is OnceDecision.PENDING:
            return
        if decision is OnceDecision.CLAIMED:
            yield from self._send(call, now)
        elif decision is OnceDecision.ANSWERED and answer is not None:
            self._forget(call)
            yield ReplyToCaller(
                call.event.exchange, answer.status, answer.headers, answer.body
            )
        else:
            reason, outcome = _REASON_BY_ONCE_DECISION[decision]
            yield from self._end_refused(call, reason, outcome, now)

    def _send(self, call: PendingCall, now: float) -> Iterator[Effect]:
        if call.deadline <= now:
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self._end_refused(call, reason, Outcome.NOT_RUN, now)
            return
        member = self._choose(call)
        if member is None:
            reason = RefusalReason.NO_BACKEND_SERVER
            yield from self._end_refused(call, reason, Outcome.NOT_RUN, now)
            return
        call.attempt += 1
        call.peer = member.link_address
        call.tried.add(member.name)
        lent = call.credits
        call.credits = 0
        event = call.event
        yield SendMessage(
            member.link_address,
            CallRequest(
                request_id=call.request_id,
                call_id=call.call_id,
                attempt=call.attempt,
                account=call.account,
                route=call.route.name,
                service=call.route.service,
                priority=call.priority,
                deadline_ms=int((call.deadline - now) * _MS_PER_S),
                retry_credits=lent,
                hops=call.hops,
                is_idempotent=call.route.is_idempotent,
                idempotency_key=event.headers.get(IDEMPOTENCY_KEY, ""),
                method=event.method,
                path=event.path,
                headers=passed_on(event.headers),
                body=event.body,
                revision=self.configuration.revision,
                is_forwarded=False,
            ),
        )

    def _choose(self, call: PendingCall) -> Member | None:
        catalogue = self.configuration.catalogue
        assert catalogue is not None
        members = [
            member
            for member in self.membership.members_of(call.route.service)
            if catalogue.is_backend_server_in_service(member.name, member.data_centre)
        ]
        untried = [member for member in members if member.name not in call.tried]
        candidates = untried or members
        return self.rng.choice(candidates) if candidates else None

    @handles_message(CallAnswer)
    def on_answer(self, peer: str, answer: CallAnswer, now: float) -> Iterator[Effect]:
        """Pass the whole answer to the caller."""
        call = self._attempt_under_way(peer, answer)
        if call is None:
            yield Count("knapweedlead.answers.dropped")
            return
        call.credits += answer.unused_credits
        if xxhash.xxh3_64_digest(answer.body) != answer.digest:
            yield from self._retry_or_refuse(
                call, RefusalReason.BROKEN_ANSWER, Outcome.UNKNOWN, now
            )
            return
        if call.claim is not None:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            yield from self.once.complete(call.claim, stored, now)
        self._forget(call)
        yield Count("knapweedlead.calls.answered")
        yield ReplyToCaller(
            call.event.exchange, answer.status, answer.headers, answer.body
        )

    @handles_message(CallRefusal)
    def on_refusal(
        self, peer: str, refusal: CallRefusal, now: float
    ) -> Iterator[Effect]:
        """Try a refused call again, or pass the refusal on."""
        call = self._attempt_under_way(peer, refusal)
        if call is None:
            yield Count("knapweedlead.answers.dropped")
            return
        call.credits += refusal.unused_credits
        yield from self._retry_or_refuse(
            call, RefusalReason(refusal.reason), Outcome(refusal.outcome), now
        )

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Try a call again whose message was never written."""
        if not isinstance(event.message, CallRequest):
            return
        call = self._attempt_under_way(event.peer, event.message)
        if call is not None:
            call.credits += event.message.retry_credits
            yield from self._retry_or_refuse(
                call, RefusalReason.LINK_LOST, Outcome.NOT_RUN, now
            )

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Give up the attempts that were sent over a lost link."""
        lost = [call for call in self._by_call_id.values() if call.peer == event.peer]
        for call in lost:
            yield from self._retry_or_refuse(
                call, RefusalReason.LINK_LOST, Outcome.UNKNOWN, now
            )

    def _retry_or_refuse(
        self, call: PendingCall, reason: RefusalReason, outcome: Outcome, now: float
    ) -> Iterator[Effect]:
        call.peer = ""
        may_resend = outcome is Outcome.NOT_RUN or call.route.is_idempotent
        if may_resend and call.credits > 0 and call.deadline > now:
            call.credits -= 1
            yield Count("knapweedlead.retries", (("reason", RetryReason.FAILED.value),))
            yield from self._send(call, now)
            return
        yield from self._end_refused(call, reason, outcome, now)

    @handles(CallerGone)
    def on_caller_gone(self, event: CallerGone, now: float) -> Iterator[Effect]:
        """Cancel the work of a caller that closed its connection."""
        call = self._by_exchange.get(event.exchange)
        if call is None:
            return
        if call.peer:
            yield SendMessage(
                call.peer, CallCancel(call.request_id, call.call_id, call.attempt)
            )
        if call.claim is None:
            self._forget(call)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Refuse calls whose deadline has passed."""
        expired = [c for c in self._by_call_id.values() if c.deadline <= now]
        for call in expired:
            if call.peer:
                cancel = CallCancel(call.request_id, call.call_id, call.attempt)
                yield SendMessage(call.peer, cancel)
            outcome = Outcome.UNKNOWN if call.peer else Outcome.NOT_RUN
            reason = RefusalReason.DEADLINE_EXCEEDED
            yield from self._end_refused(call, reason, outcome, now)

    def _end_refused(
        self,
        call: PendingCall,
        reason: RefusalReason,
        outcome: Outcome,
        now: float,
        retry_after_ms: int = 0,
    ) -> Iterator[Effect]:
        if call.metered is not None and outcome is Outcome.NOT_RUN:
            yield from self.accounts.give_back(call.account, now)
        if call.claim is not None and outcome is Outcome.NOT_RUN:
            yield from self.once.release(call.claim, now)
        elif call.claim is not None:
            yield from self.once.mark_unknown(call.claim, now)
        self._forget(call)
        yield from _refuse(call.event, reason, outcome, retry_after_ms)

    def _attempt_under_way(
        self, peer: str, message: CallAnswer | CallRefusal | CallRequest
    ) -> PendingCall | None:
        call = self._by_call_id.get(message.call_id)
        if call is None or call.peer != peer or call.attempt != message.attempt:
            return None
        return call if call.request_id == message.request_id else None

    def _keep(self, call: PendingCall) -> None:
        self._by_call_id[call.call_id] = call
        self._by_exchange[call.event.exchange] = call

    def _forget(self, call: PendingCall) -> None:
        self._by_call_id.pop(call.call_id, None)
        self._by_exchange.pop(call.event.exchange, None)
        if call.parent is not None:
            call.parent.credits += call.credits
            call.credits = 0

    def _deadline(self, event: CallReceived, route: Route, now: float) -> float:
        text = event.headers.get(DEADLINE, "")
        asked_ms = int(text) if text.isdecimal() else route.timeout_ms
        return now + min(asked_ms, route.timeout_ms) / _MS_PER_S


def _refuse(
    event: CallReceived,
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
) -> Iterator[Effect]:
    yield Count("knapweedlead.refusals", (("reason", reason.value),))
    yield problem_reply(event.exchange, reason, outcome, retry_after_ms)
