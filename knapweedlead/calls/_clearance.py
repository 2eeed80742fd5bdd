"""What a call needs before it is sent: a token, and for some a claim."""

from collections.abc import Iterator

from knapweedlead.accounts import AccountsRole, TokenDecision, TokensDecided
from knapweedlead.calls._attempts import Attempts
from knapweedlead.calls._endings import CallEndings
from knapweedlead.calls._headers import IDEMPOTENCY_KEY
from knapweedlead.calls._intake import fingerprint, is_claim_needed
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


class Clearance:
    """Asks for the token and the claim of each call, and acts on the decisions.

    Parameters
    ----------
    calls : PendingCalls
        Calls taken in.
    accounts : AccountsRole
        Tokens of the client accounts.
    once : OnceRole
        Once records.
    endings : CallEndings
        Ends calls that are not cleared.
    attempts : Attempts
        Sends calls that are.
    """

    def __init__(
        self,
        calls: PendingCalls,
        accounts: AccountsRole,
        once: OnceRole,
        endings: CallEndings,
        attempts: Attempts,
    ) -> None:
        self.calls = calls
        self.accounts = accounts
        self.once = once
        self.endings = endings
        self.attempts = attempts

    def ask(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Ask for the token of a call, where it needs one."""
        if call.metered is None:
            yield from self._claim(call, now)
            return
        decision, effects = self.accounts.acquire(call.metered, call.call_id, now)
        yield from effects
        yield from self._on_tokens(call, decision, 0, now)

    def take_tokens(self, event: TokensDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose token was asked for."""
        call = self.calls.by_call_id.get(event.ticket)
        if call is not None:
            if call.state == METERING:
                yield from self._on_tokens(
                    call, event.decision, event.retry_after_ms, now
                )
            return
        ended = self.calls.pop_undecided(event.ticket)
        if ended is not None and event.decision is TokenDecision.GRANTED:
            yield from self.accounts.refund(ended.account, now, event.ticket)

    def take_claim(self, event: OnceDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose once record was asked for."""
        call = self.calls.by_call_id.get(event.ticket)
        if call is not None:
            if call.state == CLAIMING:
                yield from self._on_once(call, event.decision, event.answer, now)
            return
        ended = self.calls.pop_undecided(event.ticket)
        if ended is None or ended.asked_claim is None:
            return
        if event.decision is OnceDecision.CLAIMED:
            yield from self.once.release(ended.asked_claim, now)

    def _on_tokens(
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
        yield from self.endings.refuse(
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
        call.asked_claim = claim
        decision, answer, effects = self.once.claim(claim, call.call_id, now)
        yield from effects
        yield from self._on_once(call, decision, answer, now)

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
            call.claim = call.asked_claim
            call.advance("claimed")
            yield from self.attempts.send(call, now)
            return
        if decision is OnceDecision.ANSWERED and answer is not None:
            yield from self.endings.answer_again(call, answer, now)
        else:
            reason, outcome = _REFUSAL_BY_ONCE_DECISION[decision]
            yield from self.endings.refuse(call, reason, outcome, now)
        self.calls.pop_undecided(call.call_id)
