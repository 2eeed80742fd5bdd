"""Guard: decides which calls the local backend server receives."""

import math
from collections.abc import Callable, Iterable

from knapweedlead.admission import QUEUES, QueuedCall
from knapweedlead.mesh._calls import Failure, Reason, ServerAnswer
from knapweedlead.mesh._configuration import MeshConfiguration
from knapweedlead.mesh._demand import DemandModel
from knapweedlead.mesh._fleet_state import DepartedStart
from knapweedlead.mesh._quarantine import RequestQuarantine
from knapweedlead.mesh._reports import ServerReport
from knapweedlead.mesh._server_ends import ServerEnds
from knapweedlead.mesh._server_limits import ServerLimits
from knapweedlead.mesh._server_monitor import ServerMonitor
from knapweedlead.mesh._server_notices import NO_NOTICE, ServerNotice
from knapweedlead.mesh._tickets import GuardRecorder, Runner, ServerState, Ticket

MAX_QUEUE_WAIT = 0.3
"""Seconds of work that may be queued; calls behind a longer queue would miss
most target latencies."""
MIN_QUEUE = 4
"""Calls that may be queued regardless of the service time."""
REJECTION_PAUSE = 0.05
"""Seconds without new calls after the server rejected one while it was full."""


class Guard:
    """Runs, queues or refuses calls; at most `limit` of them run concurrently.

    Parameters
    ----------
    service, data_centre : str
        Service and location of the local backend server.
    runner : Runner
        Sends calls to the backend server.
    recorder : GuardRecorder
    on_change : callable
        Called whenever the backend server may have opened or closed for calls.
    started_at : float
        Start of this process.
    heartbeat_period : float
        Seconds between the heartbeats of the backend server.
    quarantine : RequestQuarantine
        Requests that are not sent to any server; shared with the entry.
    """

    def __init__(
        self,
        service: str,
        data_centre: str,
        runner: Runner,
        recorder: GuardRecorder,
        on_change: Callable[[], None],
        started_at: float,
        heartbeat_period: float,
        quarantine: RequestQuarantine,
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.runner = runner
        self.recorder = recorder
        self.on_change = on_change
        self.quarantine = quarantine
        self.ends = ServerEnds()
        self.monitor = ServerMonitor(service, heartbeat_period)
        self.limits = ServerLimits(self.monitor, started_at)
        self.queue = QUEUES.create("priority_fair")
        self.running_by_run: dict[int, Ticket] = {}
        self.queued_by_run: dict[int, Ticket] = {}
        self.demand = DemandModel(service)
        self._runs = 0
        self._paused_until = -math.inf

    # State of the backend server.

    def apply_report(
        self, report: ServerReport, now: float, age: float = math.inf
    ) -> bool:
        """Apply a heartbeat of the backend server; return whether it was new.

        See `ServerMonitor.apply_report`.
        """
        previous = self.monitor.server.report
        if not self.monitor.apply_report(report, now, age):
            return False
        self.limits.update(previous, now)
        self._confirm_end(now, report.start)
        self._changed(now)
        return True

    def record_leave(self, instance: str, now: float) -> bool:
        """Record that an instance deregisters.

        Return whether the latest report is from this instance.
        """
        is_known = self.monitor.server.record_leave(instance, now)
        self._changed(now)
        return is_known

    def record_departure(self, instance: str, born: int, now: float) -> bool:
        """Record that a start of the server leaves; return whether this was unknown."""
        report = self.monitor.server.report
        is_present = report is not None and report.start == (instance, born)
        if not is_present or self.monitor.is_leaving:
            return False
        return self.record_leave(instance, now)

    def apply_departures(self, departed: Iterable[DepartedStart], now: float) -> None:
        """Apply the starts of the server that have left, as the store has them."""
        if self.monitor.server.set_departed(departed):
            self._changed(now)

    def apply_configuration(
        self,
        configuration: MeshConfiguration,
        evacuated: frozenset[str],
        now: float,
    ) -> None:
        """Apply a configuration and the set of data centres that are out of service."""
        self.monitor.is_configured = True
        service = configuration.service_by_name.get(self.service)
        self.limits.cold_rate = math.inf if service is None else service.cold_rate
        self.monitor.set_evacuated(self.data_centre in evacuated, now)
        self._changed(now)

    def stop(self, now: float) -> None:
        """Refuse all new and queued calls."""
        self.monitor.is_stopping = True
        self._changed(now)

    def _changed(self, now: float) -> None:
        reason = self.monitor.closed_reason(now)
        if reason is not None:
            self._refuse_queued(reason)
        self.on_change()

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is, or may be, in a cold start."""
        return self.monitor.is_cold(now)

    @property
    def limit(self) -> int:
        """Number of calls that the backend server processes concurrently."""
        return self.monitor.limit

    @property
    def service_time(self) -> float:
        """Smoothed mean seconds per call."""
        return self.monitor.service_time

    @property
    def is_evacuated(self) -> bool:
        """Whether operators have taken the data centre out of service."""
        return self.monitor.is_evacuated

    @property
    def is_stopping(self) -> bool:
        """Whether the daemon is stopping and refuses new calls."""
        return self.monitor.is_stopping

    def state(self, now: float) -> ServerState:
        """Return the state of the backend server that is announced to entries."""
        monitor = self.monitor
        report = monitor.server.report
        return ServerState(
            instance="" if report is None else report.instance,
            service=self.service,
            is_open=monitor.closed_reason(now) is None,
            running=len(self.running_by_run),
            queued=len(self.queued_by_run),
            limit=monitor.limit,
            service_time=monitor.service_time if monitor.has_service_time else 0.0,
            is_cold=monitor.is_cold(now),
            failure_share=monitor.failure_share,
            rate_limit=monitor.rate_limit,
            born=0 if report is None else report.born,
            is_leaving=monitor.is_leaving,
        )

    # Calls.

    def offer(self, ticket: Ticket, now: float) -> None:
        """Run, queue or refuse a call."""
        failure = self._refusal_of(ticket, now)
        if failure is not None:
            self._report(ticket, failure)
            return
        self._runs += 1
        ticket.run = self._runs
        ticket.arrived_at = now
        if not self.queued_by_run and self._has_capacity(now):
            self._start(ticket, now)
            return
        self._enqueue(ticket, now)

    def _refusal_of(self, ticket: Ticket, now: float) -> Failure | None:
        reason = self.monitor.closed_reason(now)
        if reason is not None:
            return Failure(reason, False)
        if ticket.service != self.service:
            return Failure(Reason.NO_BACKEND_SERVER, False)
        if ticket.deadline <= now:
            return Failure(Reason.DEADLINE, False)
        seconds = self.quarantine.remaining(ticket.route, ticket.head, ticket.body, now)
        if seconds > 0.0:
            return Failure(Reason.QUARANTINED, False, retry_after=seconds)
        return None

    def _has_capacity(self, now: float) -> bool:
        if now < self._paused_until:
            return False
        return self.limits.has_capacity(len(self.running_by_run), now)

    def _queue_capacity(self) -> int:
        capacity = int(self.limits.throughput * MAX_QUEUE_WAIT)
        if self.limits.is_rate_limited:
            return max(1, capacity)
        return max(MIN_QUEUE, min(4 * self.monitor.concurrency, capacity))

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        if self.is_cold(now):
            self._refuse(ticket, Reason.COLD)
            return
        self.queued_by_run[ticket.run] = ticket
        queued = QueuedCall(
            run=ticket.run,
            account=ticket.account,
            route=ticket.route,
            priority=ticket.priority,
            weight=1.0,
            arrived_at=now,
            deadline=ticket.deadline,
        )
        dropped = self.queue.push(queued, self._queue_capacity(), now)
        if dropped is not None:
            reason = Reason.OVERLOADED
            if self.limits.is_rate_limited:
                reason = Reason.SERVER_RATE_LIMITED
            self._refuse(self.queued_by_run.pop(dropped.run), reason)

    def _refuse(self, ticket: Ticket, reason: Reason) -> None:
        throughput = max(self.limits.throughput, 1.0 / self.service_time)
        retry_after = len(self.queued_by_run) / throughput
        self._report(ticket, Failure(reason, False, retry_after=retry_after))

    def _refuse_queued(self, reason: Reason) -> None:
        tickets, self.queued_by_run = self.queued_by_run, {}
        self.queue.remove_where(lambda call: True)
        for ticket in tickets.values():
            self._refuse(ticket, reason)

    def _start(self, ticket: Ticket, now: float) -> None:
        report = self.monitor.server.report
        assert report is not None
        ticket.is_running = True
        ticket.started_at = now
        ticket.server_start = report.start
        self.running_by_run[ticket.run] = ticket
        self.demand.record_run(ticket.route)
        try:
            self.limits.record_start(now)
            self.recorder.attempt_started(ticket)
            self.runner.run(ticket, report.instance, ticket.deadline - now)
        except Exception as error:
            self.handle_fault(ticket, error)

    def _start_queued(self, now: float) -> None:
        while self.queued_by_run and self.monitor.closed_reason(now) is None:
            if not self._has_capacity(now):
                return
            queued = self.queue.pop(now)
            if queued is None:
                return
            ticket = self.queued_by_run.pop(queued.run)
            if ticket.deadline <= now:
                self._refuse(ticket, Reason.QUEUE_TIMEOUT)
            else:
                self._start(ticket, now)

    def _apply_notice(self, ticket: Ticket, notice: ServerNotice, now: float) -> None:
        """Apply what an answer states about the start of the server that sent it."""
        report = self.monitor.server.report
        if report is None or report.start != ticket.server_start:
            return
        if self.monitor.record_notice(notice, ticket.started_at, now):
            self.recorder.server_noticed(ticket, notice, self)
            self.limits.update(report, now)
            self._changed(now)

    def answered(
        self,
        ticket: Ticket,
        answer: ServerAnswer,
        now: float,
        notice: ServerNotice = NO_NOTICE,
    ) -> None:
        """Forward an answer of the backend server and start queued calls.

        The state that the notice leads to is announced before the answer is forwarded.
        """
        self._end(ticket)
        self._record_answer(now)
        self._record_completion(ticket, now)
        self.monitor.record_service_time(now - ticket.started_at)
        self.demand.record_slot_time(ticket.route, now - ticket.started_at)
        self.monitor.record_outcome(False)
        self._apply_notice(ticket, notice, now)
        self.recorder.attempt_answered(ticket, answer, now)
        ticket.sender.answered(ticket, answer)
        self._start_queued(now)

    def rejected(
        self,
        ticket: Ticket,
        retry_after: float,
        now: float,
        notice: ServerNotice = NO_NOTICE,
    ) -> None:
        """Report a call that the backend server declined to run.

        Pauses the queue if the server was at or close to its limit.
        """
        self._end(ticket)
        self._record_answer(now)
        self.monitor.record_outcome(True)
        if len(self.running_by_run) >= self.limit - 1:
            self._paused_until = now + REJECTION_PAUSE
        self._apply_notice(ticket, notice, now)
        failure = Failure(Reason.REJECTED, False, True, retry_after)
        self._report(ticket, failure)
        self._start_queued(now)

    def misdirected(self, ticket: Ticket, now: float) -> None:
        """Report a call that another instance at the server's address declined."""
        self._end(ticket)
        self.monitor.record_unreachable(ticket.started_at)
        self._confirm_end(now)
        self._report(ticket, Failure(Reason.UNREACHABLE, False))
        self._changed(now)

    def failed(self, ticket: Ticket, failure: Failure, now: float) -> None:
        """Report a call without a complete answer and start queued calls."""
        self._end(ticket)
        if failure.reason is Reason.UNREACHABLE and not ticket.is_cancelled:
            self.monitor.record_unreachable(now)
            self._changed(now)
        elif not ticket.is_cancelled and failure.reason is not Reason.DEADLINE:
            self.monitor.record_outcome(True)
            if failure.reason is Reason.FAILED:
                self.ends.record_lost(ticket, now)
        self._report(ticket, failure)
        self._start_queued(now)

    @property
    def has_lost_runs(self) -> bool:
        """Whether runs were lost to a server that may have ended."""
        return self.ends.has_lost_runs

    def record_refused_connection(self, now: float) -> None:
        """Record that the server's address refused a connection."""
        self._confirm_end(now)

    def _confirm_end(self, now: float, present: tuple[str, int] | None = None) -> None:
        """Report the end of the server if runs were lost to it."""
        end = self.ends.confirm(now, present)
        if end is not None:
            quarantined = self.quarantine.report_end(end, now)
            self.recorder.server_ended(end, quarantined)

    def _record_completion(self, ticket: Ticket, now: float) -> None:
        self.ends.record_answer(ticket, now)
        if self.quarantine.has_suspects:
            self.quarantine.report_completion(
                ticket.route, ticket.head, ticket.body, ticket.started_at, now
            )

    def handle_fault(self, ticket: Ticket, error: Exception) -> None:
        """End a call in whose handling an exception was raised, as unknown."""
        self.recorder.fault("run", error)
        self._end(ticket)
        ticket.sender.failed(ticket, Failure(Reason.FAULT, True, True))

    def _record_answer(self, now: float) -> None:
        if self.monitor.record_answer(now):
            self._changed(now)

    def _check_stall(self, now: float) -> None:
        if not self.running_by_run:
            return
        oldest = next(iter(self.running_by_run.values()))
        running = len(self.running_by_run)
        if self.monitor.update_stalled(running, oldest.started_at, now):
            self._changed(now)

    def _report(self, ticket: Ticket, failure: Failure) -> None:
        self.recorder.attempt_failed(ticket, failure, self)
        ticket.sender.failed(ticket, failure)

    def _end(self, ticket: Ticket) -> None:
        if self.running_by_run.pop(ticket.run, None) is not None:
            self.demand.record_end(ticket.route)

    def cancel(self, ticket: Ticket, now: float) -> None:
        """Cancel a call whose result is no longer needed.

        A running call that is not idempotent is left to finish, since an
        interruption could leave its effect incomplete.
        """
        ticket.is_cancelled = True
        if not ticket.is_running:
            self.queued_by_run.pop(ticket.run, None)
            self.queue.remove(ticket.run)
        elif ticket.is_idempotent and ticket.run in self.running_by_run:
            self.runner.cancel(ticket)

    def tick(self, now: float) -> None:
        """Refuse queued calls past their deadline; start others if capacity is free."""
        expired = [run for run, t in self.queued_by_run.items() if t.deadline <= now]
        for run in expired:
            self.queue.remove(run)
            self._refuse(self.queued_by_run.pop(run), Reason.QUEUE_TIMEOUT)
        self._check_stall(now)
        self.demand.sample(now)
        self._start_queued(now)

    @property
    def is_idle(self) -> bool:
        """Whether no call is running or queued."""
        return not self.running_by_run and not self.queued_by_run
