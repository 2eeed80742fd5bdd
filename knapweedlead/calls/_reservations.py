"""Token and idempotency key that a call reserves before it is sent."""

from collections.abc import Iterator

from knapweedlead.accounts import AccountsRole, TokenDecision, TokensDecided
from knapweedlead.calls._acceptance import fingerprint, is_claim_needed
from knapweedlead.calls._attempts import Attempts
from knapweedlead.calls._completion import CallCompletion
from knapweedlead.calls._headers import IDEMPOTENCY_KEY
from knapweedlead.calls._pending import CLAIMING, METERING, PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.node import Effect
from knapweedlead.requests import (
    OnceClaimKey,
    OnceDecided,
    OnceDecision,
    OnceRole,
    Outcome,
    RefusalReason,
    StoredAnswer,
)

_REFUSAL_BY_ONCE_DECISION = {
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

_REASON_BY_TOKEN_DECISION = {
    TokenDecision.REFUSED: RefusalReason.RATE_EXCEEDED,
    TokenDecision.UNAVAILABLE: RefusalReason.RATE_UNAVAILABLE,
}


class Reservations:
    """Requests the token and the key of each call, and applies the decisions.

    Parameters
    ----------
    calls : PendingCalls
        Table of pending calls.
    accounts : AccountsRole
        Rate limit tokens of the client accounts.
    once : OnceRole
        Claims on idempotency keys.
    completion : CallCompletion
        Refuses calls without a reservation.
    attempts : Attempts
        Sends calls whose reservations are complete.
    """

    def __init__(
        self,
        calls: PendingCalls,
        accounts: AccountsRole,
        once: OnceRole,
        completion: CallCompletion,
        attempts: Attempts,
    ) -> None:
        self.calls = calls
        self.accounts = accounts
        self.once = once
        self.completion = completion
        self.attempts = attempts

    def request(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Request the token of a metered call; other calls need no token."""
        if call.metered_account is None:
            yield from self._claim(call, now)
            return
        decision, effects = self.accounts.acquire(
            call.metered_account, call.call_id, now
        )
        yield from effects
        yield from self._apply_token_decision(call, decision, 0, now)

    def on_tokens_decided(self, event: TokensDecided, now: float) -> Iterator[Effect]:
        """Apply a token decision; refund a token whose call has ended."""
        call = self.calls.by_call_id.get(event.ticket)
        if call is not None:
            if call.state == METERING:
                yield from self._apply_token_decision(
                    call, event.decision, event.retry_after_ms, now
                )
            return
        ended = self.calls.pop_undecided(event.ticket)
        if ended is not None and event.decision is TokenDecision.GRANTED:
            yield from self.accounts.refund(ended.account, now, event.ticket)

    def on_claim_decided(self, event: OnceDecided, now: float) -> Iterator[Effect]:
        """Apply a claim decision; release a key whose call has ended."""
        call = self.calls.by_call_id.get(event.ticket)
        if call is not None:
            if call.state == CLAIMING:
                yield from self._apply_once_decision(
                    call, event.decision, event.answer, now
                )
            return
        ended = self.calls.pop_undecided(event.ticket)
        if ended is None or ended.requested_claim is None:
            return
        if event.decision is OnceDecision.CLAIMED:
            yield from self.once.release(ended.requested_claim, now)

    def _apply_token_decision(
        self,
        call: PendingCall,
        decision: TokenDecision,
        retry_after_ms: int,
        now: float,
    ) -> Iterator[Effect]:
        if decision is TokenDecision.PENDING:
            return
        reason = _REASON_BY_TOKEN_DECISION.get(decision)
        if reason is None:
            call.has_token = True
            yield from self._claim(call, now)
            return
        yield from self.completion.refuse(
            call, reason, Outcome.NOT_RUN, now, retry_after_ms
        )
        self.calls.pop_undecided(call.call_id)

    def _claim(self, call: PendingCall, now: float) -> Iterator[Effect]:
        call.advance("granted")
        if not is_claim_needed(call.parent, call.route):
            call.advance("claimed")
            yield from self.attempts.send(call, now)
            return
        key = call.event.headers[IDEMPOTENCY_KEY]
        claim = OnceClaimKey(
            call.account, key, fingerprint(call.event), call.route.is_durable
        )
        call.requested_claim = claim
        decision, answer, effects = self.once.claim(claim, call.call_id, now)
        yield from effects
        yield from self._apply_once_decision(call, decision, answer, now)

    def _apply_once_decision(
        self,
        call: PendingCall,
        decision: OnceDecision,
        answer: StoredAnswer | None,
        now: float,
    ) -> Iterator[Effect]:
        if decision is OnceDecision.PENDING:
            return
        if decision is OnceDecision.CLAIMED:
            call.claim = call.requested_claim
            call.advance("claimed")
            yield from self.attempts.send(call, now)
            return
        if decision is OnceDecision.ANSWERED and answer is not None:
            yield from self.completion.replay_answer(call, answer, now)
        else:
            reason, outcome = _REFUSAL_BY_ONCE_DECISION[decision]
            yield from self.completion.refuse(call, reason, outcome, now)
        self.calls.pop_undecided(call.call_id)
