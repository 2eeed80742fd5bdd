"""Entry role: accepts calls from callers and sends them to backend servers."""

import math
import random
from collections.abc import Iterator

from result import Err

from knapweedlead.accounts import AccountsRole, TokensDecided, authenticate
from knapweedlead.calls._acceptance import CallAcceptance
from knapweedlead.calls._attempts import Attempts
from knapweedlead.calls._completion import CallCompletion, refuse
from knapweedlead.calls._guard import GuardRole
from knapweedlead.calls._headers import AUTHORIZATION
from knapweedlead.calls._pending import UNDER_WAY, PendingCall
from knapweedlead.calls._pending_calls import PendingCalls
from knapweedlead.calls._reservations import Reservations
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
    ShutdownRequested,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.requests import OnceDecided, OnceRole, Outcome, RefusalReason
from knapweedlead.retries import CallerRetryCredits, RetryPolicy
from knapweedlead.routing import Router

CALLER_RETRY_WINDOW_MS = 10_000
"""Milliseconds after a failure during which a caller's retries are limited."""
STOP_ANSWER_TIME = 30.0
"""Seconds for which a stopping daemon awaits the answers of accepted calls."""


class EntryRole(Role):
    """Authenticates, meters, routes and retries calls.

    Parameters
    ----------
    configuration : ConfigurationRole
        Active accounts, keys and routes.
    accounts : AccountsRole
        Rate limit tokens of the client accounts.
    once : OnceRole
        Claims on idempotency keys.
    guard : GuardRole
        Running calls of the local backend server, the parents of child calls.
    router : Router
        Chooses backend servers.
    retries : RetryPolicy
        Decides on retries.
    rng : random.Random
        Source of request IDs.
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
        self._answers_until = math.inf
        self.calls = PendingCalls()
        self.caller_retries = CallerRetryCredits(CALLER_RETRY_WINDOW_MS / 1000)
        self.acceptance = CallAcceptance(
            configuration, guard, retries, self.caller_retries, rng
        )
        self.completion = CallCompletion(
            self.calls, accounts, once, self.caller_retries
        )
        self.attempts = Attempts(
            configuration, self.calls, self.completion, router, retries
        )
        self.reservations = Reservations(
            self.calls, accounts, once, self.completion, self.attempts
        )

    @handles(CallReceived)
    def on_call(self, event: CallReceived, now: float) -> Iterator[Effect]:
        """Validate and authenticate a call, then request its token."""
        accepted = self.acceptance.accept(event, now)
        if isinstance(accepted, Err):
            yield from _refuse_request(event, accepted.err_value)
            return
        call = accepted.ok_value
        if call.parent is None and call.deadline > self._answers_until:
            yield from _refuse_request(event, RefusalReason.DRAINING)
            return
        self.calls.add(call)
        yield from self.reservations.request(call, now)

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Accept only callers' calls whose deadline is before the end of the stop.

        Child calls are accepted, since work has already been done for them.
        """
        self._answers_until = now + STOP_ANSWER_TIME
        yield from ()

    @handles(TokensDecided)
    def on_tokens_decided(self, event: TokensDecided, now: float) -> Iterator[Effect]:
        """Continue a call after the decision on its token."""
        yield from self.reservations.on_tokens_decided(event, now)

    @handles(OnceDecided)
    def on_once_decided(self, event: OnceDecided, now: float) -> Iterator[Effect]:
        """Continue a call after the decision on its idempotency key."""
        yield from self.reservations.on_claim_decided(event, now)

    @handles_message(CallAnswer)
    def on_answer(self, peer: str, answer: CallAnswer, now: float) -> Iterator[Effect]:
        """Forward the complete answer of an attempt in flight to the caller."""
        call = self.calls.find_in_flight(peer, answer)
        if call is None:
            yield _UNEXPECTED_ANSWER
        else:
            yield from self.attempts.on_answer(call, answer, now)

    @handles_message(CallRefusal)
    def on_refusal(
        self, peer: str, refusal: CallRefusal, now: float
    ) -> Iterator[Effect]:
        """Retry a refused call, or forward the refusal."""
        call = self.calls.find_in_flight(peer, refusal)
        if call is None:
            yield _UNEXPECTED_ANSWER
        else:
            yield from self.attempts.on_refusal(call, refusal, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Retry a call whose message was never written."""
        if not isinstance(event.message, CallRequest):
            return
        call = self.calls.find_in_flight(event.peer, event.message)
        if call is not None:
            yield from self.attempts.on_unsent(call, now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Fail the attempts that were sent over a lost link."""
        for call in self.calls.of_peer(event.peer):
            yield from self.attempts.fail(
                call, RefusalReason.LINK_LOST, Outcome.UNKNOWN, now
            )

    @handles(CallerGone)
    def on_caller_gone(self, event: CallerGone, now: float) -> Iterator[Effect]:
        """Cancel the call of a caller that closed its connection."""
        call = self.calls.by_exchange.get(event.exchange)
        if call is not None:
            yield from self._abandon(call, now)

    @handles(RunFailed)
    def on_run_failed(self, event: RunFailed, now: float) -> Iterator[Effect]:
        """Cancel the child calls of a run that failed or was cancelled."""
        for call in self.calls.of_parent(event.run):
            yield from self._abandon(call, now)

    def _abandon(self, call: PendingCall, now: float) -> Iterator[Effect]:
        """Abandon a call whose caller has gone.

        A call in flight that holds an idempotency key continues, so that its
        answer is stored for the caller's retry.
        """
        call.is_caller_gone = True
        if call.claim is not None and call.state == UNDER_WAY:
            return
        if call.state == UNDER_WAY:
            yield from self.attempts.cancel(call)
        yield from self.completion.abandon(call, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Expire calls whose deadline has passed, and send due retries."""
        for call in self.calls.expired(now):
            yield from self.attempts.expire(call, now)
        for call in self.calls.due_retries(now):
            yield from self.attempts.send(call, now)

    @handles(MembersChanged)
    def on_members_changed(self, event: MembersChanged, now: float) -> Iterator[Effect]:
        """Refresh the router after members joined, changed or left."""
        by_name = self.router.membership.by_name
        self.router.refresh(name for name in event.names if name not in by_name)
        return iter(())

    @handles(ConfigurationChanged)
    def on_configuration_changed(
        self, event: ConfigurationChanged, now: float
    ) -> Iterator[Effect]:
        """Refresh the router, and refuse waiting calls with an invalid key."""
        self.router.refresh()
        queued = [
            call
            for call in self.calls.by_call_id.values()
            if call.metered_account is not None and call.state != UNDER_WAY
        ]
        for call in queued:
            authorization = call.event.headers.get(AUTHORIZATION, "")
            account = authenticate(event.catalogue, authorization).account
            if account is None or account.name != call.account:
                reason = RefusalReason.INVALID_KEY
                yield from self.completion.refuse(call, reason, Outcome.NOT_RUN, now)


_UNEXPECTED_ANSWER = Count("knapweedlead.answers.dropped", (("reason", "unexpected"),))


def _refuse_request(event: CallReceived, reason: RefusalReason) -> Iterator[Effect]:
    """Refuse a request that did not become a pending call.

    A retry that exceeds the limit does not run, but the original request may
    have run. The reported outcome is therefore unknown.
    """
    if reason is RefusalReason.RETRIES_EXHAUSTED:
        return refuse(event, reason, Outcome.UNKNOWN, CALLER_RETRY_WINDOW_MS)
    return refuse(event, reason)
