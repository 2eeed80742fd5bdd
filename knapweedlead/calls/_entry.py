"""Entry role: takes calls from callers and has them run."""

import random
from collections.abc import Iterator

from result import Err

from knapweedlead.accounts import AccountsRole, TokensDecided, authenticate
from knapweedlead.calls._attempts import Attempts
from knapweedlead.calls._clearance import Clearance
from knapweedlead.calls._endings import CallEndings, refuse
from knapweedlead.calls._guard import GuardRole
from knapweedlead.calls._headers import AUTHORIZATION
from knapweedlead.calls._intake import CallIntake
from knapweedlead.calls._pending import UNDER_WAY, PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.configuration import ConfigurationChanged, ConfigurationRole
from knapweedlead.membership import MembersChanged
from knapweedlead.messages import CallAnswer, CallRefusal, CallRequest
from knapweedlead.node import (
    CallerGone,
    CallReceived,
    Count,
    Effect,
    LinkDown,
    Role,
    RunFailed,
    SendFailed,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.requests import OnceDecided, OnceRole, Outcome, RefusalReason
from knapweedlead.retries import CallerRetryCredits, RetryPolicy
from knapweedlead.routing import Router

REPEAT_WINDOW_MS = 10_000
"""Milliseconds for which the repeats of a failed request are counted."""


class EntryRole(Role):
    """Authenticates, meters, routes and retries calls.

    Parameters
    ----------
    configuration : ConfigurationRole
        Accounts, keys and routes in force.
    accounts : AccountsRole
        Tokens of the client accounts.
    once : OnceRole
        Once records.
    guard : GuardRole
        Running calls of the own backend server, parents of child calls.
    router : Router
        Chooses backend servers.
    retries : RetryPolicy
        Decides on retries.
    rng : random.Random
        Source of request ids.
    """

    def __init__(
        self,
        configuration: ConfigurationRole,
        accounts: AccountsRole,
        once: OnceRole,
        guard: GuardRole,
        router: Router,
        retries: RetryPolicy,
        rng: random.Random,
    ) -> None:
        self.configuration = configuration
        self.router = router
        self.calls = PendingCalls()
        self.repeats = CallerRetryCredits(REPEAT_WINDOW_MS / 1000)
        self.intake = CallIntake(configuration, guard, retries, self.repeats, rng)
        self.endings = CallEndings(self.calls, accounts, once, self.repeats)
        self.attempts = Attempts(
            configuration, self.calls, self.endings, router, retries
        )
        self.clearance = Clearance(
            self.calls, accounts, once, self.endings, self.attempts
        )

    @handles(CallReceived)
    def on_call(self, event: CallReceived, now: float) -> Iterator[Effect]:
        """Authenticate a call and ask for its token."""
        taken = self.intake.take(event, now)
        if isinstance(taken, Err):
            yield from _refuse_untaken(event, taken.err_value)
            return
        call = taken.ok_value
        self.calls.add(call)
        yield from self.clearance.ask(call, now)

    @handles(TokensDecided)
    def on_tokens_decided(self, event: TokensDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose token was asked for."""
        yield from self.clearance.take_tokens(event, now)

    @handles(OnceDecided)
    def on_once_decided(self, event: OnceDecided, now: float) -> Iterator[Effect]:
        """Go on with a call whose once record was asked for."""
        yield from self.clearance.take_claim(event, now)

    @handles_message(CallAnswer)
    def on_answer(self, peer: str, answer: CallAnswer, now: float) -> Iterator[Effect]:
        """Pass the whole answer of an attempt under way to the caller."""
        call = self.calls.under_way(peer, answer)
        if call is None:
            yield _DROPPED
        else:
            yield from self.attempts.take_answer(call, answer, now)

    @handles_message(CallRefusal)
    def on_refusal(
        self, peer: str, refusal: CallRefusal, now: float
    ) -> Iterator[Effect]:
        """Try a refused call again, or pass the refusal on."""
        call = self.calls.under_way(peer, refusal)
        if call is None:
            yield _DROPPED
        else:
            yield from self.attempts.take_refusal(call, refusal, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Try a call again whose message was never written."""
        if not isinstance(event.message, CallRequest):
            return
        call = self.calls.under_way(event.peer, event.message)
        if call is not None:
            yield from self.attempts.take_unsent(call, now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Give up the attempts that were sent over a lost link."""
        for call in self.calls.of_peer(event.peer):
            yield from self.attempts.fail(
                call, RefusalReason.LINK_LOST, Outcome.UNKNOWN, now
            )

    @handles(CallerGone)
    def on_caller_gone(self, event: CallerGone, now: float) -> Iterator[Effect]:
        """Cancel the work of a caller that closed its connection."""
        call = self.calls.by_exchange.get(event.exchange)
        if call is not None:
            yield from self._abandon(call, now)

    @handles(RunFailed)
    def on_run_failed(self, event: RunFailed, now: float) -> Iterator[Effect]:
        """Cancel the child calls of a run that was lost or cancelled."""
        for call in self.calls.of_parent(event.run):
            yield from self._abandon(call, now)

    def _abandon(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Drop a call nobody waits for; a claimed one that was sent goes on.

        Its answer is recorded, so that the caller's repeat receives it.
        """
        call.is_caller_gone = True
        if call.claim is not None and call.state == UNDER_WAY:
            return
        if call.state == UNDER_WAY:
            yield from self.attempts.give_up(call)
        yield from self.endings.abandon(call, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Refuse calls whose deadline has passed, and send due retries."""
        for call in self.calls.expired(now):
            yield from self.attempts.expire(call, now)
        for call in self.calls.due_retries(now):
            yield from self.attempts.send(call, now)

    @handles(MembersChanged)
    def on_members_changed(self, event: MembersChanged, now: float) -> Iterator[Effect]:
        """Arrange the servers anew."""
        by_name = self.router.membership.by_name
        self.router.refresh(name for name in event.names if name not in by_name)
        return iter(())

    @handles(ConfigurationChanged)
    def on_configuration_changed(
        self, event: ConfigurationChanged, now: float
    ) -> Iterator[Effect]:
        """Refuse the calls still queued here whose key no longer works."""
        self.router.refresh()
        queued = [
            call
            for call in self.calls.by_call_id.values()
            if call.metered is not None and call.state != UNDER_WAY
        ]
        for call in queued:
            authorization = call.event.headers.get(AUTHORIZATION, "")
            account = authenticate(event.catalogue, authorization).account
            if account is None or account.name != call.account:
                reason = RefusalReason.INVALID_KEY
                yield from self.endings.refuse(call, reason, Outcome.NOT_RUN, now)


_DROPPED = Count("knapweedlead.answers.dropped", (("reason", "unexpected"),))


def _refuse_untaken(event: CallReceived, reason: RefusalReason) -> Iterator[Effect]:
    """Refuse a request that was not taken in.

    A repeat too many was not run itself, but the request that it repeats may
    have been.
    """
    if reason is RefusalReason.RETRIES_EXHAUSTED:
        return refuse(event, reason, Outcome.UNKNOWN, REPEAT_WINDOW_MS)
    return refuse(event, reason)
