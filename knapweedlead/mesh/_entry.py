"""Entry: accepts calls of callers and of the local backend server and routes them."""

import heapq
import itertools
import random
from collections.abc import Callable, Collection, Iterable
from typing import Any

from knapweedlead.mesh._calls import AttemptTimes, Call, Failure, Reason, ServerAnswer
from knapweedlead.mesh._configuration import MeshConfiguration
from knapweedlead.mesh._entry_calls import (
    NO_TIMES,
    EntryCall,
    EntrySettings,
    Recorder,
    Replies,
)
from knapweedlead.mesh._freshness import Freshness
from knapweedlead.mesh._lending import TokenExchange
from knapweedlead.mesh._placement import Placement, Target
from knapweedlead.mesh._quarantine import RequestQuarantine
from knapweedlead.mesh._quotas import QuotaShares
from knapweedlead.mesh._refusals import rank_of, status_of
from knapweedlead.mesh._retry_budget import RetryBudget
from knapweedlead.mesh._shedding import Shedder
from knapweedlead.mesh._stop_schedule import StopSchedule

IMPORTANT_PRIORITY = 0
"""Route priority up to which calls may use the reserved tokens of an account."""
MAX_REROUTES = 3
"""Attempts at other servers after a guard refused a call. Such attempts need no retry
budget, since a refusal by a guard does not load any server."""
MIN_REMAINING = 0.005
"""Seconds to the deadline below which another attempt cannot finish in time."""
DEFAULT_RETRY_AFTER = 0.3
"""Retry-After in seconds if no better estimate exists; about the time in which the
queues of a full service drain."""
SHED_RETRY_MIN = 0.2
SHED_RETRY_SPREAD = 0.5
"""Retry-After of a shed call as a multiple of the target latency: long enough for
queues to drain, short enough for a useful answer, and spread so that callers do not
all retry at the same time."""
FAILURE_STATUS = 500
"""Status of an internal failure of a server; another server may succeed."""


class Entry:
    """Authenticates and meters calls, chooses their servers and retries them.

    Parameters
    ----------
    settings : EntrySettings
    targets_by_service : dict of str to list of Target
        Updated in place when members join or leave the fleet.
    placement : Placement
    quotas : QuotaShares
    token_exchange : TokenExchange
    freshness : Freshness
    shedder : Shedder
    quarantine : RequestQuarantine
        Requests that are not sent to any server; shared with the guard.
    on_child_call : callable
        Called with the names of the route and of the service of each call of the local
        backend server.
    replies : Replies
    recorder : Recorder
    rng : random.Random

    Attributes
    ----------
    configuration : MeshConfiguration or None
        The newest configuration that could be decoded.
    stop_schedule : StopSchedule or None
        Set once the daemon stops as planned.
    unreadable_since : float or None
        Time at which this configuration was last known to be the newest in the store,
        if the newest one cannot be decoded; None if it can.
    """

    def __init__(
        self,
        settings: EntrySettings,
        targets_by_service: dict[str, list[Target]],
        placement: Placement,
        quotas: QuotaShares,
        token_exchange: TokenExchange,
        freshness: Freshness,
        shedder: Shedder,
        quarantine: RequestQuarantine,
        on_child_call: Callable[[str, str], None],
        replies: Replies,
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.targets_by_service = targets_by_service
        self.placement = placement
        self.quotas = quotas
        self.token_exchange = token_exchange
        self.freshness = freshness
        self.shedder = shedder
        self.quarantine = quarantine
        self.on_child_call = on_child_call
        self.replies = replies
        self.recorder = recorder
        self.rng = rng
        self.retry_budget = RetryBudget(settings.repeat_share, settings.repeat_cap)
        self.configuration: MeshConfiguration | None = None
        self.stop_schedule: StopSchedule | None = None
        self.unreadable_since: float | None = None
        self.call_by_number: dict[int, EntryCall] = {}
        self._numbers = itertools.count(1)
        self._deadlines: list[tuple[float, int]] = []

    def update_settings(self, settings: EntrySettings) -> None:
        """Apply changed settings to later calls."""
        self.settings = settings
        self.retry_budget.share = settings.repeat_share
        self.retry_budget.cap = settings.repeat_cap

    # Admission of calls.

    def accept(self, exchange: Any, call: Call, now: float) -> EntryCall | None:
        """Accept or refuse a call; the outcome is delivered through `replies`.

        Returns
        -------
        EntryCall or None
            None if the call was refused before it was metered.
        """
        configuration = self.configuration
        if configuration is None:
            self._refuse(exchange, call, Reason.NO_CONFIGURATION)
            return None
        route = configuration.route_of(call.host, call.path)
        if route is None:
            self._refuse(exchange, call, Reason.UNKNOWN_ROUTE)
            return None
        if not route.is_usable:
            self._refuse(exchange, call, Reason.INVALID_CONFIGURATION)
            return None
        account = None
        if configuration.needs_keys and not route.is_public:
            account = configuration.account_by_key.get(call.key or "")
            if account is None:
                self._refuse(exchange, call, Reason.INVALID_KEY)
                return None
            if not account.is_usable:
                self._refuse(exchange, call, Reason.INVALID_CONFIGURATION)
                return None
            if not self._accepts_keys(now):
                self._refuse(exchange, call, Reason.STALE_CONFIGURATION, 1.0)
                return None
        deadline = now + min(call.caller_timeout, route.timeout)
        schedule = self.stop_schedule
        if schedule is not None and not schedule.accepts(deadline, now):
            self._refuse(exchange, call, Reason.STOPPING)
            return None
        entry_call = EntryCall(
            exchange=exchange,
            call=call,
            route=route,
            service=route.choose_service(self.rng),
            account=account,
            priority=rank_of(route, account),
            arrived_at=now,
            deadline=deadline,
            number=next(self._numbers),
        )
        self.call_by_number[entry_call.number] = entry_call
        heapq.heappush(self._deadlines, (entry_call.deadline, entry_call.number))
        self._meter(entry_call, now)
        return entry_call

    def _accepts_keys(self, now: float) -> bool:
        """Return whether the withdrawal of a key would have become known."""
        limit = self.settings.max_staleness
        since = self.unreadable_since
        is_readable = since is None or now - since <= limit
        return is_readable and self.freshness.is_fresh(now, limit)

    def _meter(self, call: EntryCall, now: float) -> None:
        """Acquire a token for a call, from another daemon if there is none locally."""
        account = call.account
        is_important = call.route.priority <= IMPORTANT_PRIORITY
        if account is None or self.quotas.try_acquire(account, now, is_important):
            self._start(call, now)
            return
        is_requested = self.token_exchange.request(
            account,
            lambda is_granted, at: self._on_token_decided(call, is_granted, at),
            now,
            is_important,
        )
        if not is_requested:
            self._on_token_decided(call, False, now)

    def _on_token_decided(self, call: EntryCall, is_granted: bool, now: float) -> None:
        account = call.account
        assert account is not None
        if call.is_done:
            if is_granted:
                self.quotas.refund(account, now)
        elif is_granted:
            self._start(call, now)
        else:
            retry_after = self.quotas.retry_after(account, now)
            failure = Failure(Reason.RATE_EXCEEDED, False, retry_after=retry_after)
            self._fail(call, failure, now)

    def _start(self, call: EntryCall, now: float) -> None:
        """Shed a call that has its token, or send its first attempt."""
        call.has_token = call.account is not None
        if call.is_child:
            self.on_child_call(call.route.name, call.service)
        elif not self.shedder.admit(call.route.name, call.priority):
            self._shed(call, now)
            return
        self.retry_budget.record_first_attempt(call.service)
        self._send(call, now)

    def _refuse(
        self,
        exchange: Any,
        call: Call,
        reason: Reason,
        retry_after: float = DEFAULT_RETRY_AFTER,
    ) -> None:
        status = status_of(Failure(reason, False), False, False)
        self.recorder.refused(call.request_id, reason, status, None)
        self.replies.refuse(exchange, status, reason, retry_after)

    def _shed(self, call: EntryCall, now: float) -> None:
        """Refuse a call because a service that its route uses is at capacity."""
        spread = SHED_RETRY_MIN + SHED_RETRY_SPREAD * self.rng.random()
        retry_after = spread * call.route.target_latency
        self._fail(call, Failure(Reason.SHED, False, retry_after=retry_after), now)

    # Attempts.

    def _send(self, call: EntryCall, now: float) -> None:
        if self.quarantine.has_suspects and self._is_quarantined(call, now):
            return
        targets = self.targets_by_service.get(call.service, ())
        target = self.placement.choose(targets, self.rng, call.tried)
        if target is None:
            failure = call.last_failure or Failure(Reason.NO_BACKEND_SERVER, False)
            self._fail(call, failure, now)
            return
        call.target = target
        call.sent_at = now
        target.load += 1
        call.tried.add(target.name)
        self.recorder.sent(call, now)
        target.channel.send_call(call, call.deadline - now)

    def _is_quarantined(self, call: EntryCall, now: float) -> bool:
        """Fail a call whose request ends backend servers; return whether it does."""
        seconds = self.quarantine.remaining(
            call.route.name, call.call.head, call.call.body, now
        )
        if seconds > 0.0:
            failure = Failure(Reason.QUARANTINED, False, retry_after=seconds)
            self._fail(call, failure, now)
        return seconds > 0.0

    def answered(
        self,
        number: int,
        answer: ServerAnswer,
        now: float,
        times: AttemptTimes = NO_TIMES,
    ) -> None:
        """Forward the answer of a backend server, or retry the call after a failure.

        Answers to abandoned attempts are accepted like answers to the latest attempt.

        Parameters
        ----------
        number : int
        answer : ServerAnswer
        now : float
        times : AttemptTimes
            Time in the queue and at the server, for the log.
        """
        call = self.call_by_number.get(number)
        if call is None:
            return
        call.times = times
        call.attempts += 1
        if answer.status == FAILURE_STATUS and self._acquire_retry(call, now):
            call.may_have_run = True
            call.last_failure = Failure(Reason.FAILED, True, True)
            self._retry(call, call.last_failure, now)
            return
        self.replies.answer(call.exchange, answer)
        self._finish(call)
        self.recorder.ended(call, answer.status, now)

    def failed(
        self,
        number: int,
        failure: Failure,
        now: float,
        target: Target | None = None,
    ) -> None:
        """Send a call to another server after a failed attempt, or fail the call.

        Parameters
        ----------
        number : int
        failure : Failure
        now : float
        target : Target or None
            Target of the failed attempt. The failure is ignored if the call has
            since been sent to another target.
        """
        call = self.call_by_number.get(number)
        if call is None or (target is not None and call.target is not target):
            return
        call.last_failure = failure
        call.may_have_run |= failure.may_have_run
        if failure.was_sent:
            call.attempts += 1
        if not failure.may_have_run and not failure.was_sent:
            if call.reroutes < MAX_REROUTES and call.deadline - now > MIN_REMAINING:
                call.reroutes += 1
                self._send(call, now)
                return
        elif self._acquire_retry(call, now, failure):
            self._retry(call, failure, now)
            return
        self._fail(call, failure, now)

    def _acquire_retry(
        self, call: EntryCall, now: float, failure: Failure | None = None
    ) -> bool:
        """Return whether a retry is allowed; if so, charge it to the retry budget."""
        is_safe = call.route.is_idempotent or (
            failure is not None and not call.may_have_run
        )
        if not is_safe or call.attempts >= call.route.max_attempts:
            return False
        if call.deadline - now <= MIN_REMAINING:
            return False
        targets = self.targets_by_service.get(call.service, ())
        if not any(t.is_open and t.name not in call.tried for t in targets):
            return False
        return self.retry_budget.try_acquire(call.service)

    def _retry(self, call: EntryCall, failure: Failure, now: float) -> None:
        self.recorder.retried(call, failure)
        self._send(call, now)

    # Outcomes.

    def _fail(self, call: EntryCall, failure: Failure, now: float) -> None:
        status = status_of(failure, call.may_have_run, call.deadline <= now)
        if not call.may_have_run and call.has_token and call.account is not None:
            self.quotas.refund(call.account, now)
        retry_after = failure.retry_after
        if retry_after <= 0.0:
            retry_after = DEFAULT_RETRY_AFTER * (1.0 + self.rng.random())
        self.replies.refuse(call.exchange, status, failure.reason, retry_after)
        self._finish(call)
        self.recorder.refused(call.call.request_id, failure.reason, status, call)

    def _finish(self, call: EntryCall) -> None:
        call.is_done = True
        if call.on_done is not None:
            call.on_done(call.exchange)
        self.call_by_number.pop(call.number, None)

    def abandon(self, number: int) -> None:
        """Cancel a call whose caller has disconnected."""
        call = self.call_by_number.get(number)
        if call is None:
            return
        self._finish(call)
        if call.target is not None:
            call.target.channel.cancel_call(call)

    def expire(self, now: float) -> None:
        """Fail the calls whose deadline has passed and cancel their attempts."""
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            _, number = heapq.heappop(deadlines)
            call = self.call_by_number.get(number)
            if call is None:
                continue
            call.may_have_run = True
            self._fail(call, Failure(Reason.DEADLINE, True), now)
            if call.target is not None:
                call.target.channel.cancel_call(call)

    def target_lost(
        self, target: Target, now: float, awaited: Collection[int] = ()
    ) -> None:
        """Fail the attempts in flight at a daemon whose link was lost.

        Parameters
        ----------
        target : Target
        now : float
        awaited : collection of int
            Numbers of the calls whose answers may still arrive on another connection.
        """
        calls = self.call_by_number.values()
        lost = [call.number for call in calls if call.target is target]
        self.attempts_lost([n for n in lost if n not in awaited], target, now)

    def attempts_lost(self, numbers: Iterable[int], target: Target, now: float) -> None:
        """Fail attempts at a target whose answers can no longer arrive."""
        failure = Failure(Reason.LINK_LOST, True, True)
        for number in numbers:
            self.failed(number, failure, now, target)

    def unretryable_at(self, target: Target) -> set[int]:
        """Return the numbers of the calls at a target that are not idempotent."""
        return {
            call.number
            for call in self.call_by_number.values()
            if call.target is target and not call.route.is_idempotent
        }

    def target_suspected(self, target: Target, now: float) -> None:
        """Retry the calls in flight at an unresponsive daemon, using other servers.

        Calls that are not idempotent, or whose retry is not allowed, keep waiting for
        the daemon.
        """
        failure = Failure(Reason.LINK_LOST, True, True)
        pending = [
            call
            for call in self.call_by_number.values()
            if call.target is target and call.route.is_idempotent
        ]
        for call in pending:
            call.attempts += 1
            if not self._acquire_retry(call, now):
                call.attempts -= 1
                continue
            call.may_have_run = True
            target.channel.cancel_call(call)
            self._retry(call, failure, now)

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self.call_by_number
