"""Work of a guard: its calls from being taken on to their answer or refusal."""

from collections.abc import Callable, Iterator

from knapweedlead.admission import AdmissionControl, CallMeasurement, QueuedCall
from knapweedlead.calls._guard_answers import refusal_of, run_of
from knapweedlead.calls._guard_books import GuardBooks, RunState
from knapweedlead.calls._running import RunningCall
from knapweedlead.messages import LoadReport
from knapweedlead.node import CancelRun, Effect, Observe
from knapweedlead.requests import Outcome, RefusalReason

QUEUE_WAIT = "knapweedlead.guard.queue_wait"

RETRY_AFTER_MS = 1000
"""What a refusal for load tells a caller to wait, in milliseconds."""


class GuardWork:
    """Starts, ends and refuses calls as the admission control decides.

    Parameters
    ----------
    control : AdmissionControl
        Decides which calls run.
    books : GuardBooks
        The calls taken on.
    """

    def __init__(self, control: AdmissionControl, books: GuardBooks) -> None:
        self.control = control
        self.books = books
        self.is_draining = False

    def load_report(self, now: float) -> LoadReport:
        """Return the state told to entries."""
        control = self.control
        return LoadReport(
            limit=control.limit,
            in_flight=control.in_flight,
            queued=control.queued,
            refused_priority=control.refused_priorities.threshold(now),
            is_cold=control.is_cold,
            is_draining=self.is_draining,
        )

    def admit(self, call: RunningCall, weight: float, now: float) -> Iterator[Effect]:
        """Let a call wait for a slot; one call may give way to it."""
        displaced = self.control.offer(_queued(call, weight), now)
        if displaced is not None:
            is_cold = self.control.is_cold
            reason = RefusalReason.COLD if is_cold else RefusalReason.OVERLOADED
            refused = self.books.by_run[displaced.run]
            yield from self.refuse(refused, reason, now, RETRY_AFTER_MS)
        yield from self.start_next(now)

    def start_next(self, now: float) -> Iterator[Effect]:
        """Start the waiting calls for which there are slots."""
        while (queued := self.control.dequeue(now)) is not None:
            call = self.books.by_run[queued.run]
            if self.control.is_worth_starting(queued, now):
                self.books.start(call, now)
                self.control.record_started(queued, now)
                yield Observe(QUEUE_WAIT, now - call.arrived_at)
                yield run_of(call, now)
                continue
            self.control.release(queued.run)
            yield from self.refuse(call, _reason_of_wait(call, now), now)

    def end(
        self, call: RunningCall, is_failure: bool, is_whole: bool, now: float
    ) -> RunState:
        """Free the slot of a call that ran."""
        state = self.books.close(call, now)
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
        call: RunningCall,
        reason: RefusalReason,
        now: float,
        retry_after_ms: int = 0,
    ) -> Iterator[Effect]:
        """Refuse a call of which the backend server has seen nothing."""
        self.books.close(call, now)
        load = self.load_report(now)
        yield from refusal_of(call, Outcome.NOT_RUN, reason, retry_after_ms, load)

    def drop(
        self,
        condition: Callable[[RunningCall], bool],
        reason: RefusalReason,
        now: float,
    ) -> Iterator[Effect]:
        """Refuse the waiting calls that satisfy a condition."""
        by_run = self.books.by_run
        dropped = self.control.drop_where(lambda queued: condition(by_run[queued.run]))
        for queued in dropped:
            yield from self.refuse(by_run[queued.run], reason, now)

    def cancel(self, call: RunningCall, now: float) -> Iterator[Effect]:
        """Drop a waiting call, or close the connection of a running one."""
        if call.run not in self.books.running_by_run:
            self.control.drop_where(lambda queued: queued.run == call.run)
            yield from self.refuse(call, RefusalReason.CANCELLED, now)
            return
        state = self.books.state_by_run[call.run]
        if not state.is_cancelled:
            state.is_cancelled = True
            yield CancelRun(call.run)

    def expire(self, now: float) -> Iterator[Effect]:
        """Drop and cancel the calls whose deadline has passed."""
        yield from self.drop(
            lambda call: call.deadline <= now, RefusalReason.DEADLINE_EXCEEDED, now
        )
        late = [call for call, _ in self.books.running() if call.deadline <= now]
        for call in late:
            yield from self.cancel(call, now)

    def note_stalled(self, now: float) -> None:
        """Count each run that is far too slow once, without awaiting its end."""
        for call, state in self.books.running():
            if state.is_stalled or state.first_child_at is not None:
                continue
            if self.control.is_stalled(call.request.route, now - call.started_at):
                state.is_stalled = True
                self.control.record_stalled(call.started_at, now)


def _queued(call: RunningCall, weight: float) -> QueuedCall:
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


def _reason_of_wait(call: RunningCall, now: float) -> RefusalReason:
    if call.deadline <= now:
        return RefusalReason.DEADLINE_EXCEEDED
    return RefusalReason.QUEUE_TIMEOUT
