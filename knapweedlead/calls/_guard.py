"""Guard role: admits calls to the own backend server."""

import math
import random
from collections.abc import Iterable, Iterator

from knapweedlead.admission import AdmissionControl
from knapweedlead.calls._guard_answers import answer_of, refusal_of
from knapweedlead.calls._guard_books import GuardBooks, RunState
from knapweedlead.calls._guard_checks import CatalogueChecks
from knapweedlead.calls._guard_starts import StartSigns
from knapweedlead.calls._guard_work import GuardWork
from knapweedlead.calls._headers import PARENT
from knapweedlead.calls._running import RunningCall
from knapweedlead.configuration import ConfigurationChanged, ConfigurationRole
from knapweedlead.messages import CallCancel, CallRequest, LoadReport
from knapweedlead.node import (
    CallReceived,
    Count,
    Effect,
    Identity,
    LinkDown,
    LogEvent,
    Observe,
    Role,
    RunAnswered,
    RunFailed,
    ShutdownRequested,
    Started,
    Tick,
    Woken,
    handles,
    handles_message,
)
from knapweedlead.requests import Outcome, RefusalReason
from knapweedlead.settings import AdmissionSettings, BackendServerSettings

SERVICE_TIME = "knapweedlead.guard.service_time"
DUPLICATES = "knapweedlead.guard.duplicates"

OVERLOAD_STATUSES = frozenset({429, 503})
"""Answers with which a backend server sheds load itself."""

BACKLOG_SECONDS = 0.1
"""Time after a pause in which messages count as received before it."""


LEAVE_NOTICE = 2.0
"""Seconds after the shutdown request for which calls are still taken on."""


class GuardRole(Role):
    """Admits, queues or refuses calls for the backend server beside the daemon.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    backend_server : BackendServerSettings
        Limits of the backend server.
    admission : AdmissionSettings
        Names of the policies.
    configuration : ConfigurationRole
        Statements on accounts, data centres and backend servers.
    rng : random.Random
        Source of parent tokens.
    """

    def __init__(
        self,
        identity: Identity,
        backend_server: BackendServerSettings,
        admission: AdmissionSettings,
        configuration: ConfigurationRole,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.backend_server = backend_server
        self.admission = admission
        self.configuration = configuration
        self.rng = rng
        self.control = AdmissionControl(
            slots=min(backend_server.slots, backend_server.connections),
            cold_slots=backend_server.cold_slots,
            cold_start_s=backend_server.cold_start_s,
            limiter=admission.limiter,
            queue=admission.queue,
            cold_start=admission.cold_start,
        )
        self._books = GuardBooks(rng)
        self._work = GuardWork(self.control, self._books)
        self._starts = StartSigns()
        self._checks: CatalogueChecks | None = None
        self._logged_state = self.control.cold_start.state
        self._woken_at: float | None = None
        self._pause = 0.0
        self._refuses_from = math.inf

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping and entries are told to stay away."""
        return self._work.is_draining

    @property
    def is_idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self._books.by_run

    def parent_of(self, token: str) -> RunningCall | None:
        """Return the running call that a child call's token names."""
        return self._books.of_token(token)

    def load_report(self, now: float) -> LoadReport:
        """Return the state told to entries."""
        return self._work.load_report(now)

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Begin the announced cold start."""
        self.control.fire("start_seen", now)
        yield from self._log_state()

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Tell entries to stay away, and soon take no new calls.

        Calls that entries sent before they could know are still taken on, so
        that a stop makes no request fail while other members stop as well.
        """
        self._work.is_draining = True
        self._refuses_from = now + LEAVE_NOTICE
        self.control.fire("drain_requested", now)
        yield from self._note_idle(now)

    @handles(ConfigurationChanged)
    def on_configuration(
        self, event: ConfigurationChanged, now: float
    ) -> Iterator[Effect]:
        """Drop the waiting calls that the new catalogue no longer lets run."""
        catalogue = event.catalogue
        checks = self._checks = CatalogueChecks.of(catalogue, self.identity)
        service = catalogue.services.get(self.identity.service)
        if service is not None and self.backend_server.cold_start_s > 0.0:
            self.control.cold_start.cold_slots = service.cold_slots
            self.control.cold_start.cold_start_s = service.cold_start_s
        if not checks.is_in_service:
            reason = RefusalReason.OUT_OF_SERVICE
            yield from self._work.drop(lambda call: True, reason, now)
        reason = RefusalReason.INVALID_KEY
        yield from self._work.drop(
            lambda call: checks.is_withdrawn(call.request), reason, now
        )

    @handles_message(CallRequest)
    def on_request(
        self, peer: str, request: CallRequest, now: float
    ) -> Iterator[Effect]:
        """Run, queue or refuse a call; a repeated message changes nothing."""
        if self._books.is_known(peer, request):
            yield Count(DUPLICATES)
            return
        call = self._books.open(peer, request, now, self._lateness(now))
        reason = self._reason_to_refuse(call, now)
        if reason is not None:
            yield from self._work.refuse(call, reason, now)
            return
        yield from self._work.admit(call, self._weight_of(request.account), now)

    def _reason_to_refuse(self, call: RunningCall, now: float) -> RefusalReason | None:
        if now >= self._refuses_from:
            return RefusalReason.DRAINING
        if self._checks is None:
            return RefusalReason.CONFIGURATION_UNKNOWN
        if not self.configuration.is_fresh(now):
            return RefusalReason.CONFIGURATION_STALE
        reason = self._checks.reason_to_refuse(call.request)
        if reason is None and call.deadline <= now:
            return RefusalReason.DEADLINE_EXCEEDED
        return reason

    def _weight_of(self, name: str) -> float:
        catalogue = self.configuration.catalogue
        account = None if catalogue is None else catalogue.client_accounts.get(name)
        return 1.0 if account is None else account.weight

    def _lateness(self, now: float) -> float:
        """Return how long a message may have waited during a pause."""
        if self._woken_at is None or now - self._woken_at > BACKLOG_SECONDS:
            return 0.0
        return self._pause

    @handles(CallReceived)
    def on_child_call(self, event: CallReceived, now: float) -> Iterable[Effect]:
        """Note when a running call made its first child call."""
        parent = self._books.of_token(event.headers.get(PARENT, ""))
        if parent is not None:
            self._books.state_by_run[parent.run].note_child(now)
        return ()

    @handles(RunAnswered)
    def on_run_answered(self, event: RunAnswered, now: float) -> Iterator[Effect]:
        """Send the whole answer back and start the next call."""
        call = self._books.running_by_run.get(event.run)
        if self._starts.is_start_in_answer(event.headers):
            self.control.fire("start_seen", now)
        if call is not None:
            is_failure = event.status in OVERLOAD_STATUSES
            self._work.end(call, is_failure, not is_failure, now)
            yield Observe(SERVICE_TIME, now - call.started_at)
            yield answer_of(call, event, self.load_report(now))
        yield from self._work.start_next(now)
        yield from self._note_idle(now)

    @handles(RunFailed)
    def on_run_failed(self, event: RunFailed, now: float) -> Iterator[Effect]:
        """Report a run without a whole answer and start the next call."""
        call = self._books.running_by_run.get(event.run)
        if not event.was_sent and self._starts.is_start_expected():
            self.control.fire("start_seen", now)
        if call is not None:
            is_late = call.deadline <= now
            state = self._work.end(call, not is_late, False, now)
            reason = _reason_of_failure(event, state, is_late)
            outcome = Outcome.UNKNOWN if event.was_sent else Outcome.NOT_RUN
            yield from refusal_of(call, outcome, reason, 0, self.load_report(now))
        yield from self._work.start_next(now)
        yield from self._note_idle(now)

    @handles_message(CallCancel)
    def on_cancel(self, peer: str, cancel: CallCancel, now: float) -> Iterator[Effect]:
        """Cancel a call that its sender no longer wants."""
        call = self._books.of_exchange(peer, cancel)
        if call is not None:
            yield from self._work.cancel(call, now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Drop the waiting calls of a sender that has given them up."""
        reason = RefusalReason.LINK_LOST
        yield from self._work.drop(lambda call: call.sender == event.peer, reason, now)

    @handles(Woken)
    def on_woken(self, event: Woken, now: float) -> Iterator[Effect]:
        """Act on the deadlines that passed during a pause before anything else."""
        self._woken_at = now
        self._pause = event.pause
        yield from self._work.expire(now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Act on deadlines, slow runs and the end of a cold start."""
        yield from self._work.expire(now)
        self._work.note_stalled(now)
        self.control.cold_start.advance(now)
        yield from self._work.start_next(now)
        yield from self._note_idle(now)

    def _note_idle(self, now: float) -> Iterator[Effect]:
        if now >= self._refuses_from and self.is_idle:
            self.control.fire("work_finished", now)
        yield from self._log_state()

    def _log_state(self) -> Iterator[Effect]:
        state = self.control.cold_start.state
        if state != self._logged_state:
            fields = (("from", self._logged_state), ("to", state))
            self._logged_state = state
            yield LogEvent("backend_server_state", fields)


def _reason_of_failure(
    event: RunFailed, state: RunState, is_late: bool
) -> RefusalReason:
    if is_late:
        return RefusalReason.DEADLINE_EXCEEDED
    if state.is_cancelled:
        return RefusalReason.CANCELLED
    if event.was_sent:
        return RefusalReason.BACKEND_SERVER_FAILED
    return RefusalReason.BACKEND_SERVER_UNREACHABLE
