"""Completion of pending calls: releases their resources, replies to callers."""

from collections.abc import Iterator

from knapweedlead.accounts import AccountsRole
from knapweedlead.calls._acceptance import child_key
from knapweedlead.calls._pending import CLAIMING, METERING, UNDER_WAY, PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.calls._problem import problem_reply
from knapweedlead.messages import CallAnswer
from knapweedlead.node import CallReceived, Count, Effect, ReplyToCaller
from knapweedlead.requests import (
    OnceRole,
    Outcome,
    RefusalReason,
    StoredAnswer,
)
from knapweedlead.retries import CallerRetryCredits

FIRST_FAILURE_STATUS = 500


class CallCompletion:
    """Completes calls; each pending call is completed here exactly once.

    Parameters
    ----------
    calls : PendingCalls
        Table of pending calls.
    accounts : AccountsRole
        Receives the tokens of calls that did not run.
    once : OnceRole
        Receives the outcome of calls that hold an idempotency key.
    caller_retries : CallerRetryCredits
        Receives the remaining credits of failed calls.
    """

    def __init__(
        self,
        calls: PendingCalls,
        accounts: AccountsRole,
        once: OnceRole,
        caller_retries: CallerRetryCredits,
    ) -> None:
        self.calls = calls
        self.accounts = accounts
        self.once = once
        self.caller_retries = caller_retries

    def answer(
        self, call: PendingCall, answer: CallAnswer, now: float
    ) -> Iterator[Effect]:
        """Store the answer of a claimed call and forward it to the caller."""
        is_failure = answer.status >= FIRST_FAILURE_STATUS
        if call.claim is not None:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            yield from self.once.complete(call.claim, stored, now)
        if is_failure:
            self._record_failure(call, now)
        elif call.retry_key is not None:
            self.caller_retries.record_success(call.retry_key)
        self._finish(call)
        yield Count("knapweedlead.calls.answered")
        yield ReplyToCaller(
            call.event.exchange, answer.status, answer.headers, answer.body
        )

    def replay_answer(
        self, call: PendingCall, stored: StoredAnswer, now: float
    ) -> Iterator[Effect]:
        """Reply with the stored answer of an earlier request with the same key."""
        self._finish(call)
        yield Count("knapweedlead.calls.answered_again")
        yield ReplyToCaller(
            call.event.exchange, stored.status, stored.headers, stored.body
        )

    def refuse(
        self,
        call: PendingCall,
        reason: RefusalReason,
        outcome: Outcome,
        now: float,
        retry_after_ms: int = 0,
    ) -> Iterator[Effect]:
        """Refuse a call; the outcome is unknown if any attempt may have run."""
        if call.may_have_run:
            outcome = Outcome.UNKNOWN
        yield from self._settle(call, outcome, now)
        if outcome is not Outcome.NOT_RUN:
            self._record_failure(call, now)
        self._finish(call)
        yield from refuse(call.event, reason, outcome, retry_after_ms)

    def abandon(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Complete a call without a reply, because its caller has gone."""
        may_have_run = call.may_have_run or call.state == UNDER_WAY
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        yield from self._settle(call, outcome, now)
        if may_have_run:
            self._record_failure(call, now)
        self._finish(call)
        yield Count("knapweedlead.calls.abandoned")

    def _settle(
        self, call: PendingCall, outcome: Outcome, now: float
    ) -> Iterator[Effect]:
        is_not_run = outcome is Outcome.NOT_RUN
        if call.has_token and is_not_run:
            yield from self.accounts.refund(call.account, now, call.call_id)
        if call.claim is not None and is_not_run:
            yield from self.once.release(call.claim, now)
        elif call.claim is not None:
            yield from self.once.mark_unknown(call.claim, now)

    def _finish(self, call: PendingCall) -> None:
        if call.state in (METERING, CLAIMING):
            self.calls.keep_undecided(call)
        self.calls.remove(call)
        call.advance("end")
        if call.parent is not None:
            call.parent.credits += call.credits
            call.credits = 0

    def _record_failure(self, call: PendingCall, now: float) -> None:
        """Record a call that may have run, so that its retries cost credits."""
        if call.parent is not None:
            call.parent.failed_children.add(child_key(call.event))
        elif call.retry_key is not None:
            self.caller_retries.record_failure(call.retry_key, call.credits, now)


def refuse(
    event: CallReceived,
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
) -> Iterator[Effect]:
    """Reply to a request with a refusal, and count it."""
    yield Count("knapweedlead.refusals", (("reason", reason.value),))
    yield problem_reply(event.exchange, reason, outcome, retry_after_ms)
