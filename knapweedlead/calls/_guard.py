"""Guard role: admits calls to the local backend server."""

import math
import random
from collections.abc import Iterable, Iterator

from knapweedlead.admission import AdmissionControl
from knapweedlead.calls._guard_answers import answer_of, refusal_of
from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.calls._guard_call_table import GuardCallState, GuardCallTable
from knapweedlead.calls._guard_checks import CatalogueChecks
from knapweedlead.calls._guard_scheduler import GuardScheduler
from knapweedlead.calls._headers import PARENT
from knapweedlead.calls._restart_detector import RestartDetector
from knapweedlead.configuration import (
    Catalogue,
    ConfigurationChanged,
    ConfigurationRole,
)
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
"""Statuses that count as load shedding by the backend server."""

BACKLOG_SECONDS = 0.1
"""Seconds after a pause during which handled messages may date from the pause."""


DRAIN_NOTICE_SECONDS = 2.0
"""Seconds after the shutdown request during which calls are still accepted."""


class GuardRole(Role):
    """Admits, queues or refuses calls for the local backend server.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    backend_server : BackendServerSettings
        Limits of the backend server.
    admission : AdmissionSettings
        Names of the admission policies.
    configuration : ConfigurationRole
        Current catalogue with its accounts, data centres and backend servers.
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
        self._call_table = GuardCallTable(rng)
        self._scheduler = GuardScheduler(self.control, self._call_table)
        self._restart_detector = RestartDetector()
        self._checks: CatalogueChecks | None = None
        self._applied: Catalogue | None = None
        self._logged_state = self.control.cold_start.state
        self._woken_at: float | None = None
        self._pause = 0.0
        self._refuses_from = math.inf

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping; load reports carry this flag."""
        return self._scheduler.is_draining

    @property
    def is_idle(self) -> bool:
        """Whether no call is running or queued."""
        return not self._call_table.by_run

    def parent_of(self, token: str) -> GuardCall | None:
        """Return the running call to which a parent token was issued, or None."""
        return self._call_table.find_by_token(token)

    def load_report(self, now: float) -> LoadReport:
        """Return the load report to be sent in answers and refusals."""
        return self._scheduler.load_report(now)

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Begin the configured cold start."""
        self.control.fire("start_seen", now)
        yield from self._log_state()

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Announce the drain, and refuse new calls after a notice period.

        Calls from entries that have not received the announcement yet are
        accepted, so that no request fails when several members stop together.
        """
        self._scheduler.is_draining = True
        self._refuses_from = now + DRAIN_NOTICE_SECONDS
        self.control.fire("drain_requested", now)
        yield from self._finish_drain(now)

    @handles(ConfigurationChanged)
    def on_configuration(
        self, event: ConfigurationChanged, now: float
    ) -> Iterator[Effect]:
        """Apply a catalogue, and refuse queued calls that are no longer allowed."""
        yield from self._apply_catalogue(now)

    def _apply_catalogue(self, now: float) -> Iterator[Effect]:
        """Apply the current catalogue unless it is applied already."""
        catalogue = self.configuration.catalogue
        if catalogue is None or catalogue is self._applied:
            return
        checks = self._checks = CatalogueChecks.of(catalogue, self.identity)
        service = catalogue.services.get(self.identity.service)
        if service is not None and self.backend_server.cold_start_s > 0.0:
            self.control.cold_start.cold_slots = service.cold_slots
            self.control.cold_start.cold_start_s = service.cold_start_s
        if not checks.is_in_service:
            reason = RefusalReason.OUT_OF_SERVICE
            yield from self._scheduler.drop(lambda call: True, reason, now)
        reason = RefusalReason.INVALID_KEY
        yield from self._scheduler.drop(
            lambda call: checks.is_key_withdrawn(call.request), reason, now
        )
        self._applied = catalogue

    @handles_message(CallRequest)
    def on_request(
        self, peer: str, request: CallRequest, now: float
    ) -> Iterator[Effect]:
        """Run, queue or refuse a call; a duplicate message is only counted."""
        if self._call_table.is_duplicate(peer, request):
            yield Count(DUPLICATES)
            return
        call = self._call_table.open(peer, request, now, self._pause_delay(now))
        reason = self._reason_to_refuse(call, now)
        if reason is not None:
            yield from self._scheduler.refuse(call, reason, now)
            return
        yield from self._scheduler.admit(call, self._weight_of(request.account), now)

    def _reason_to_refuse(self, call: GuardCall, now: float) -> RefusalReason | None:
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

    def _pause_delay(self, now: float) -> float:
        """Return the seconds that a pause may have delayed a message received now."""
        if self._woken_at is None or now - self._woken_at > BACKLOG_SECONDS:
            return 0.0
        return self._pause

    @handles(CallReceived)
    def on_child_call(self, event: CallReceived, now: float) -> Iterable[Effect]:
        """Record the first child call of a running call."""
        parent = self._call_table.find_by_token(event.headers.get(PARENT, ""))
        if parent is not None:
            self._call_table.state_by_run[parent.run].record_child_call(now)
        return ()

    @handles(RunAnswered)
    def on_run_answered(self, event: RunAnswered, now: float) -> Iterator[Effect]:
        """Send the answer to the entry and start queued calls."""
        call = self._call_table.running_by_run.get(event.run)
        if self._restart_detector.observe_answer(event.headers):
            self.control.fire("start_seen", now)
        if call is not None:
            is_failure = event.status in OVERLOAD_STATUSES
            self._scheduler.end(call, is_failure, not is_failure, now)
            yield Observe(SERVICE_TIME, now - call.started_at)
            yield answer_of(call, event, self.load_report(now))
        yield from self._scheduler.start_next(now)
        yield from self._finish_drain(now)

    @handles(RunFailed)
    def on_run_failed(self, event: RunFailed, now: float) -> Iterator[Effect]:
        """Refuse a call whose run failed and start queued calls."""
        call = self._call_table.running_by_run.get(event.run)
        if not event.was_sent and self._restart_detector.observe_unreachable():
            self.control.fire("start_seen", now)
        if call is not None:
            is_late = call.deadline <= now
            state = self._scheduler.end(call, not is_late, False, now)
            reason = _failure_reason(event, state, is_late)
            outcome = Outcome.UNKNOWN if event.was_sent else Outcome.NOT_RUN
            yield from refusal_of(call, outcome, reason, 0, self.load_report(now))
        yield from self._scheduler.start_next(now)
        yield from self._finish_drain(now)

    @handles_message(CallCancel)
    def on_cancel(self, peer: str, cancel: CallCancel, now: float) -> Iterator[Effect]:
        """Cancel a call at the request of its entry."""
        call = self._call_table.find_by_attempt(peer, cancel)
        if call is not None:
            yield from self._scheduler.cancel(call, now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Refuse the queued calls of an entry whose link was lost.

        The entry fails these calls as well when the link is lost.
        """
        reason = RefusalReason.LINK_LOST
        yield from self._scheduler.drop(
            lambda call: call.sender == event.peer, reason, now
        )

    @handles(Woken)
    def on_woken(self, event: Woken, now: float) -> Iterator[Effect]:
        """Record the pause, and expire deadlines before other events are handled."""
        self._woken_at = now
        self._pause = event.pause
        yield from self._scheduler.expire(now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Expire deadlines, record stalled runs and advance the cold start."""
        yield from self._scheduler.expire(now)
        yield from self._scheduler.release_lost(now)
        yield from self._apply_catalogue(now)
        self._scheduler.record_stalled(now)
        self.control.cold_start.advance(now)
        yield from self._scheduler.start_next(now)
        yield from self._finish_drain(now)

    def _finish_drain(self, now: float) -> Iterator[Effect]:
        if now >= self._refuses_from and self.is_idle:
            self.control.fire("work_finished", now)
        yield from self._log_state()

    def _log_state(self) -> Iterator[Effect]:
        state = self.control.cold_start.state
        if state != self._logged_state:
            fields = (("from", self._logged_state), ("to", state))
            self._logged_state = state
            yield LogEvent("backend_server_state", fields)


def _failure_reason(
    event: RunFailed, state: GuardCallState, is_late: bool
) -> RefusalReason:
    if is_late:
        return RefusalReason.DEADLINE_EXCEEDED
    if state.is_cancelled:
        return RefusalReason.CANCELLED
    if event.was_sent:
        return RefusalReason.BACKEND_SERVER_FAILED
    return RefusalReason.BACKEND_SERVER_UNREACHABLE
