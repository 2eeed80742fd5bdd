"""Ends pending calls: settles what they hold and replies to their callers."""

from collections.abc import Iterator

from knapweedlead.accounts import AccountsRole
from knapweedlead.calls._intake import child_key
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


class CallEndings:
    """Ends calls; every call that was taken in ends here, once.

    Parameters
    ----------
    calls : PendingCalls
        Calls taken in.
    accounts : AccountsRole
        Takes tokens back.
    once : OnceRole
        Takes the outcome of claimed calls.
    repeats : CallerRetryCredits
        Takes the credits of failed calls.
    """

    def __init__(
        self,
        calls: PendingCalls,
        accounts: AccountsRole,
        once: OnceRole,
        repeats: CallerRetryCredits,
    ) -> None:
        self.calls = calls
        self.accounts = accounts
        self.once = once
        self.repeats = repeats

    def answer(
        self, call: PendingCall, answer: CallAnswer, now: float
    ) -> Iterator[Effect]:
        """Pass a whole answer on."""
        is_failure = answer.status >= FIRST_FAILURE_STATUS
        if call.claim is not None:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            yield from self.once.complete(call.claim, stored, now)
        if is_failure:
            self._note_failure(call, now)
        elif call.repeat_key is not None:
            self.repeats.record_success(call.repeat_key)
        self._finish(call)
        yield Count("knapweedlead.calls.answered")
        yield ReplyToCaller(
            call.event.exchange, answer.status, answer.headers, answer.body
        )

    def answer_again(
        self, call: PendingCall, stored: StoredAnswer, now: float
    ) -> Iterator[Effect]:
        """Pass on the answer of an earlier request with the same key."""
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
        """Refuse a call; an earlier attempt that may have run makes it unknown."""
        if call.may_have_run:
            outcome = Outcome.UNKNOWN
        yield from self._settle(call, outcome, now)
        if outcome is not Outcome.NOT_RUN:
            self._note_failure(call, now)
        self._finish(call)
        yield from refuse(call.event, reason, outcome, retry_after_ms)

    def abandon(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Drop a call whose caller is gone."""
        may_have_run = call.may_have_run or call.state == UNDER_WAY
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        yield from self._settle(call, outcome, now)
        if may_have_run:
            self._note_failure(call, now)
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

    def _note_failure(self, call: PendingCall, now: float) -> None:
        """Remember a call that may have run, for its caller's repeats."""
        if call.parent is not None:
            call.parent.failed_children.add(child_key(call.event))
        elif call.repeat_key is not None:
            self.repeats.record_failure(call.repeat_key, call.credits, now)


def refuse(
    event: CallReceived,
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
) -> Iterator[Effect]:
    """Reply to a request with a refusal, and count it."""
    yield Count("knapweedlead.refusals", (("reason", reason.value),))
    yield problem_reply(event.exchange, reason, outcome, retry_after_ms)
