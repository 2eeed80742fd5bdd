"""Scheduling of a guard's calls from acceptance to answer or refusal."""

from collections.abc import Callable, Iterator

from knapweedlead.admission import AdmissionControl, CallMeasurement, QueuedCall
from knapweedlead.calls._guard_answers import refusal_of, run_of
from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.calls._guard_call_table import GuardCallState, GuardCallTable
from knapweedlead.messages import LoadReport
from knapweedlead.node import CancelRun, Effect, Observe
from knapweedlead.requests import Outcome, RefusalReason

QUEUE_WAIT = "knapweedlead.guard.queue_wait"

LOST_RUN_SECONDS = 5.0
"""Seconds after its deadline from which the result of a run is no longer awaited."""

RETRY_AFTER_MS = 1000
"""Retry delay in a refusal due to load, in milliseconds."""


class GuardScheduler:
    """Queues, starts, ends and refuses calls as the admission control decides.

    Parameters
    ----------
    control : AdmissionControl
        Decides which calls run.
    call_table : GuardCallTable
        The accepted calls.
    """

    def __init__(self, control: AdmissionControl, call_table: GuardCallTable) -> None:
        self.control = control
        self.call_table = call_table
        self.is_draining = False

    def load_report(self, now: float) -> LoadReport:
        """Return the load report to be sent in answers and refusals."""
        control = self.control
        return LoadReport(
            limit=control.limit,
            in_flight=control.in_flight,
            queued=control.queued,
            refused_priority=control.refused_priorities.threshold(now),
            is_cold=control.is_cold,
            is_draining=self.is_draining,
        )

    def admit(self, call: GuardCall, weight: float, now: float) -> Iterator[Effect]:
        """Queue a call, and refuse the call that the queue displaces, if any."""
        displaced = self.control.offer(_queued(call, weight), now)
        if displaced is not None:
            is_cold = self.control.is_cold
            reason = RefusalReason.COLD if is_cold else RefusalReason.OVERLOADED
            refused = self.call_table.by_run[displaced.run]
            yield from self.refuse(refused, reason, now, RETRY_AFTER_MS)
        yield from self.start_next(now)

    def start_next(self, now: float) -> Iterator[Effect]:
        """Start queued calls while slots are free.

        Calls that are likely to miss their deadline are refused.
        """
        while (queued := self.control.dequeue(now)) is not None:
            call = self.call_table.by_run[queued.run]
            if self.control.is_worth_starting(queued, now):
                self.call_table.start(call, now)
                self.control.record_started(queued, now)
                yield Observe(QUEUE_WAIT, now - call.arrived_at)
                yield run_of(call, now)
                continue
            self.control.release(queued.run)
            yield from self.refuse(call, _queue_refusal_reason(call, now), now)

    def end(
        self, call: GuardCall, is_failure: bool, is_whole: bool, now: float
    ) -> GuardCallState:
        """Free the slot of a call that ran, and report its times.

        The call's self time ends at its first child call.
        """
        state = self.call_table.close(call, now)
        child_at = state.first_child_at
        own_end = now if child_at is None else child_at
        measurement = CallMeasurement(
            route=call.request.route,
            self_s=own_end - call.started_at,
            total_s=now - call.started_at,
            has_children=child_at is not None,
            is_failure=is_failure and child_at is None and not state.is_cancelled,
            is_answered=is_whole,
            is_sampled=state.is_stalled,
        )
        self.control.end(call.run, measurement, now)
        return state

    def refuse(
        self,
        call: GuardCall,
        reason: RefusalReason,
        now: float,
        retry_after_ms: int = 0,
    ) -> Iterator[Effect]:
        """Refuse a call that was not sent to the backend server."""
        self.call_table.close(call, now)
        load = self.load_report(now)
        yield from refusal_of(call, Outcome.NOT_RUN, reason, retry_after_ms, load)

    def drop(
        self,
        condition: Callable[[GuardCall], bool],
        reason: RefusalReason,
        now: float,
    ) -> Iterator[Effect]:
        """Remove the queued calls that satisfy a condition, and refuse them."""
        by_run = self.call_table.by_run
        dropped = self.control.drop_where(lambda queued: condition(by_run[queued.run]))
        for queued in dropped:
            yield from self.refuse(by_run[queued.run], reason, now)

    def cancel(self, call: GuardCall, now: float) -> Iterator[Effect]:
        """Refuse a queued call, or cancel the run of a running one."""
        if call.run not in self.call_table.running_by_run:
            self.control.drop(call.run)
            yield from self.refuse(call, RefusalReason.CANCELLED, now)
            return
        state = self.call_table.state_by_run[call.run]
        if not state.is_cancelled:
            state.is_cancelled = True
            yield CancelRun(call.run)

    def expire(self, now: float) -> Iterator[Effect]:
        """Refuse queued calls and cancel running ones whose deadline has passed."""
        yield from self.drop(
            lambda call: call.deadline <= now, RefusalReason.DEADLINE_EXCEEDED, now
        )
        late = [call for call, _ in self.call_table.running() if call.deadline <= now]
        for call in late:
            yield from self.cancel(call, now)

    def release_lost(self, now: float) -> Iterator[Effect]:
        """End the runs whose result is missing long after their deadline.

        A run is cancelled at its deadline, and its result reported at once; it is
        missing if handling it failed.
        """
        lost = [
            call
            for call, _ in self.call_table.running()
            if now >= call.deadline + LOST_RUN_SECONDS
        ]
        for call in lost:
            self.end(call, True, False, now)
            reason, load = RefusalReason.DEADLINE_EXCEEDED, self.load_report(now)
            yield from refusal_of(call, Outcome.UNKNOWN, reason, 0, load)

    def record_stalled(self, now: float) -> None:
        """Report each stalled run once, before it ends.

        Runs that made a child call are skipped, as they wait for other servers.
        """
        for call, state in self.call_table.running():
            if state.is_stalled or state.first_child_at is not None:
                continue
            if self.control.is_stalled(call.request.route, now - call.started_at):
                state.is_stalled = True
                self.control.record_stalled(call.started_at, now)


def _queued(call: GuardCall, weight: float) -> QueuedCall:
    request = call.request
    return QueuedCall(
        run=call.run,
        account=request.account,
        route=request.route,
        priority=request.priority,
        weight=weight,
        arrived_at=call.arrived_at,
        deadline=call.deadline,
    )


def _queue_refusal_reason(call: GuardCall, now: float) -> RefusalReason:
    if call.deadline <= now:
        return RefusalReason.DEADLINE_EXCEEDED
    return RefusalReason.QUEUE_TIMEOUT
