"""Guard: decides which calls the backend server beside the daemon receives."""

import math
from collections.abc import Callable

from knapweedlead.admission import QUEUES, QueuedCall
from knapweedlead.mesh._calls import Failure, Reason, ServerAnswer
from knapweedlead.mesh._cold_gate import ColdGate
from knapweedlead.mesh._configuration import MeshConfiguration
from knapweedlead.mesh._demand import DemandModel
from knapweedlead.mesh._reports import BackendServer, ServerReport
from knapweedlead.mesh._tickets import GuardRecorder, Runner, ServerState, Ticket

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of the newest call in the mean service time; about 20 calls of memory."""
INITIAL_SERVICE_TIME = 0.05
"""Seconds assumed before the first call has ended."""
MAX_QUEUE_WAIT = 0.3
"""Seconds of work that may wait; more would end beyond most target latencies."""
MIN_QUEUE = 4
"""Calls that may wait whatever the service time."""
FAILURE_SMOOTHING = 0.06
"""Weight of the newest call in the share of calls that failed."""
SILENCE = 4.0
"""Seconds without a heartbeat after which a server that answers nothing counts as
gone; over two heartbeats and the second that an acknowledgement may take."""
STALL_TIME = 0.5
STALL_SERVICE_TIMES = 4.0
STALL_CALLS = 3
"""A server with that many calls counts as stalled when it has answered none for this
time and for so many mean service times; it gets no more until it is heard of."""
REJECTION_PAUSE = 0.05
"""Seconds without new calls after the server rejected one as too many."""


class Guard:
    """Runs, queues or refuses calls; at most `limit` of them run at once.

    Parameters
    ----------
    service, data_centre : str
        Of the backend server beside the daemon.
    runner : Runner
        Carries the calls.
    recorder : GuardRecorder
    on_change : callable
        Called after the backend server opened or closed.
    """

    def __init__(
        self,
        service: str,
        data_centre: str,
        runner: Runner,
        recorder: GuardRecorder,
        on_change: Callable[[], None],
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.runner = runner
        self.recorder = recorder
        self.on_change = on_change
        self.server = BackendServer()
        self.cold_gate = ColdGate()
        self.queue = QUEUES.create("priority_fair")
        self.running_by_run: dict[int, Ticket] = {}
        self.waiting_by_run: dict[int, Ticket] = {}
        self.demand = DemandModel()
        self.service_time = INITIAL_SERVICE_TIME
        self._has_timed = False
        self.failure_share = 0.0
        self.is_evacuated = False
        self.is_stopping = False
        self._configuration: MeshConfiguration | None = None
        self._runs = 0
        self._unreachable_at = -math.inf
        self._returned_at = -math.inf
        self._rejected_until = -math.inf
        self._answered_at = -math.inf
        self._is_stalled = False

    # What is known of the backend server.

    def take_report(self, report: ServerReport, now: float) -> bool:
        """Take a heartbeat of the backend server; return whether it was new."""
        before = self.server.report
        if not self.server.take(report, now):
            return False
        if before is None or before.instance != report.instance:
            self.failure_share = 0.0
            self._has_timed = False
        self._is_stalled = False
        self._changed(now)
        return True

    def take_leave(self, instance: str, now: float) -> bool:
        """Note that a start of the backend server leaves."""
        is_known = self.server.leave(instance)
        self._changed(now)
        return is_known

    def take_configuration(
        self,
        configuration: MeshConfiguration,
        evacuated: frozenset[str],
        now: float,
    ) -> None:
        """Take a configuration and the data centres that are out."""
        self._configuration = configuration
        is_evacuated = self.data_centre in evacuated
        if self.is_evacuated and not is_evacuated:
            self._returned_at = now
        self.is_evacuated = is_evacuated
        self._changed(now)

    def stop(self, now: float) -> None:
        """Take no new calls from other daemons."""
        self.is_stopping = True
        self._changed(now)

    def _changed(self, now: float) -> None:
        reason = self._closed_reason(now)
        if reason is not None:
            self._refuse_waiting(reason)
        self.on_change()

    def _closed_reason(self, now: float) -> Reason | None:
        """Return why the backend server takes no calls, or None."""
        server = self.server
        if self.is_stopping:
            return Reason.DRAINING
        if self.is_evacuated:
            return Reason.OUT_OF_SERVICE
        if server.report is None or self._configuration is None:
            return Reason.NO_BACKEND_SERVER
        if server.has_left:
            return Reason.DRAINING
        if server.heard_at <= self._unreachable_at:
            return Reason.UNREACHABLE
        if server.report.service != self.service:
            return Reason.NO_BACKEND_SERVER
        if now - max(server.heard_at, self._answered_at) > SILENCE:
            return Reason.UNREACHABLE
        return Reason.UNREACHABLE if self._is_stalled else None

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is, or may be, in a cold start.

        After its data centre was taken back it counts as cold until it has
        reported its state.
        """
        return self.server.is_cold(now) or self.server.heard_at <= self._returned_at

    @property
    def limit(self) -> int:
        """Calls that the backend server takes at once."""
        report = self.server.report
        return 0 if report is None else report.slots

    def state(self, now: float) -> ServerState:
        """Return what entries are to know."""
        report = self.server.report
        return ServerState(
            instance="" if report is None else report.instance,
            service=self.service,
            is_open=self._closed_reason(now) is None,
            running=len(self.running_by_run),
            queued=len(self.waiting_by_run),
            limit=self.limit,
            service_time=self.service_time if self._has_timed else 0.0,
            is_cold=self.is_cold(now),
            failure_share=self.failure_share,
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
        if not self.waiting_by_run and self._has_room(now):
            self._start(ticket, now)
            return
        self._enqueue(ticket, now)

    def _refusal_of(self, ticket: Ticket, now: float) -> Failure | None:
        reason = self._closed_reason(now)
        if reason is not None:
            return Failure(reason, False)
        if ticket.service != self.service:
            return Failure(Reason.NO_BACKEND_SERVER, False)
        if ticket.deadline <= now:
            return Failure(Reason.DEADLINE, False)
        return None

    def _has_room(self, now: float) -> bool:
        if now < self._rejected_until or len(self.running_by_run) >= self.limit:
            return False
        return not self.is_cold(now) or self.cold_gate.has_room(self._cold_rate, now)

    @property
    def _cold_rate(self) -> float:
        assert self._configuration is not None
        service = self._configuration.service_by_name.get(self.service)
        return math.inf if service is None else service.cold_rate

    def _queue_capacity(self) -> int:
        wanted = self.limit * MAX_QUEUE_WAIT / self.service_time
        return max(MIN_QUEUE, min(4 * self.limit, int(wanted)))

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        if self.is_cold(now):
            self._refuse(ticket, Reason.COLD)
            return
        self.waiting_by_run[ticket.run] = ticket
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
            self._refuse(self.waiting_by_run.pop(dropped.run), Reason.OVERLOADED)

    def _refuse(self, ticket: Ticket, reason: Reason) -> None:
        retry_after = self.service_time * len(self.waiting_by_run) / max(1, self.limit)
        self._report(ticket, Failure(reason, False, retry_after=retry_after))

    def _refuse_waiting(self, reason: Reason) -> None:
        waiting, self.waiting_by_run = self.waiting_by_run, {}
        self.queue.remove_where(lambda call: True)
        for ticket in waiting.values():
            self._refuse(ticket, reason)

    def _start(self, ticket: Ticket, now: float) -> None:
        report = self.server.report
        assert report is not None
        ticket.is_running = True
        ticket.started_at = now
        self.running_by_run[ticket.run] = ticket
        self.cold_gate.note_start(now)
        self.demand.note_run(ticket.route)
        self.runner.run(ticket, report.instance, ticket.deadline - now)

    def _start_waiting(self, now: float) -> None:
        while self.waiting_by_run and self._closed_reason(now) is None:
            if not self._has_room(now):
                return
            queued = self.queue.pop(now)
            if queued is None:
                return
            ticket = self.waiting_by_run.pop(queued.run)
            if ticket.deadline <= now:
                self._refuse(ticket, Reason.QUEUE_TIMEOUT)
            else:
                self._start(ticket, now)

    def answered(self, ticket: Ticket, answer: ServerAnswer, now: float) -> None:
        """Pass an answer of the backend server on and start the next call."""
        self._end(ticket)
        self._heard(now)
        self._note_time(now - ticket.started_at)
        self.demand.note_hold(ticket.route, now - ticket.started_at)
        self._note_outcome(False)
        self.recorder.attempt_answered(ticket, answer, now)
        ticket.sender.answered(ticket, answer)
        self._start_waiting(now)

    def rejected(self, ticket: Ticket, retry_after: float, now: float) -> None:
        """Report a call that the backend server declined to run."""
        self._end(ticket)
        self._heard(now)
        self._note_outcome(True)
        if len(self.running_by_run) >= self.limit - 1:
            self._rejected_until = now + REJECTION_PAUSE
        failure = Failure(Reason.REJECTED, False, True, retry_after)
        self._report(ticket, failure)
        self._start_waiting(now)

    def misdirected(self, ticket: Ticket, now: float) -> None:
        """Report a call that another start of the server at its address declined."""
        self._end(ticket)
        self._unreachable_at = max(self._unreachable_at, ticket.started_at)
        self._report(ticket, Failure(Reason.UNREACHABLE, False))
        self._changed(now)

    def failed(self, ticket: Ticket, failure: Failure, now: float) -> None:
        """Report a call without a whole answer and start the next one."""
        self._end(ticket)
        if failure.reason is Reason.UNREACHABLE and not ticket.is_cancelled:
            self._unreachable_at = now
            self._changed(now)
        elif not ticket.is_cancelled and failure.reason is not Reason.DEADLINE:
            self._note_outcome(True)
        self._report(ticket, failure)
        self._start_waiting(now)

    def _heard(self, now: float) -> None:
        self._answered_at = now
        if self._is_stalled:
            self._is_stalled = False
            self._changed(now)

    def _note_stall(self, now: float) -> None:
        if self._is_stalled or len(self.running_by_run) < STALL_CALLS:
            return
        patience = max(STALL_TIME, STALL_SERVICE_TIMES * self.service_time)
        heard_at = max(self._answered_at, self.server.heard_at)
        oldest = next(iter(self.running_by_run.values())).started_at
        if now - max(heard_at, oldest) > patience:
            self._is_stalled = True
            self._changed(now)

    def _note_time(self, elapsed: float) -> None:
        if not self._has_timed:
            self._has_timed = True
            self.service_time = elapsed
        self.service_time += SERVICE_TIME_SMOOTHING * (elapsed - self.service_time)

    def _report(self, ticket: Ticket, failure: Failure) -> None:
        self.recorder.attempt_failed(ticket, failure, self)
        ticket.sender.failed(ticket, failure)

    def _end(self, ticket: Ticket) -> None:
        if self.running_by_run.pop(ticket.run, None) is not None:
            self.demand.note_end(ticket.route)

    def _note_outcome(self, is_failure: bool) -> None:
        self.failure_share += FAILURE_SMOOTHING * (is_failure - self.failure_share)

    def cancel(self, ticket: Ticket, now: float) -> None:
        """Drop a call that nobody waits for.

        A call that must not be repeated and has been sent is left to end, so that
        its effect is not cut in half.
        """
        ticket.is_cancelled = True
        if not ticket.is_running:
            self.waiting_by_run.pop(ticket.run, None)
            self.queue.remove_where(lambda call: call.run == ticket.run)
        elif ticket.is_idempotent and ticket.run in self.running_by_run:
            self.runner.cancel(ticket)

    def tick(self, now: float) -> None:
        """Drop waiting calls whose time is over and start those that fit."""
        expired = [run for run, t in self.waiting_by_run.items() if t.deadline <= now]
        if expired:
            runs = set(expired)
            self.queue.remove_where(lambda call: call.run in runs)
            for run in expired:
                self._refuse(self.waiting_by_run.pop(run), Reason.QUEUE_TIMEOUT)
        self._note_stall(now)
        self.demand.sample(now)
        self._start_waiting(now)

    @property
    def is_idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self.running_by_run and not self.waiting_by_run
