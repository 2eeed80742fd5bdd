"""Counters and log lines of the daemon; their volume is bounded under any load."""

import os
import sys
import traceback
import zlib
from collections import Counter
from typing import Any

import attrs

from knapweedlead.mesh import (
    EntryCall,
    Failure,
    Guard,
    Quarantined,
    Reason,
    ServerAnswer,
    ServerEnd,
    ServerNotice,
    StorePurpose,
    Ticket,
)
from knapweedlead.sidecar._clock import read_time_of_day

SAMPLE_INTERVAL = 64
"""One in `SAMPLE_INTERVAL` successful calls is logged, the same calls on each
daemon."""
LINES_PER_SECOND = 40
"""Maximum for each kind of event; further lines are dropped and counted."""
MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes buffered while the reader of the standard output is slow."""
TRACEBACK_FRAMES = 4
"""Innermost functions of a traceback that are logged."""
MAX_SUSPECTS = 20
"""Requests that are named in the line about the end of a server."""
LATENCY_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histogram's buckets, in seconds."""

_MS_PER_S = 1000.0


class LineWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Buffer a line for the next flush; drop it if the buffer is full."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line.encode("utf-8", "replace") + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]


@attrs.define
class _LineBudget:
    second: int = 0
    lines: int = 0
    dropped: int = 0


class MeshRecorder:
    """Counters by name and label, latencies by route, and log lines.

    Parameters
    ----------
    daemon : str
        Name of the daemon, written in each line.
    writer : LineWriter or None
        Writes to the standard output if None.
    """

    def __init__(self, daemon: str, writer: LineWriter | None = None) -> None:
        self.daemon = daemon
        self.writer = writer or LineWriter(sys.stdout.fileno())
        self.count_by_name: Counter[tuple[str, str]] = Counter()
        self.latencies_by_route: dict[str, list[int]] = {}
        self.latency_sum_by_route: Counter[str] = Counter()
        self._budget_by_event: dict[str, _LineBudget] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add `amount` to the counter with this name and label."""
        self.count_by_name[name, label] += amount

    def set_count(self, name: str, label: str, total: int) -> None:
        """Set a counter that is kept elsewhere."""
        self.count_by_name[name, label] = total

    def log(self, event: str, **fields: Any) -> None:
        """Write a line, unless `LINES_PER_SECOND` is reached for this event."""
        now = read_time_of_day()
        budget = self._budget_by_event.setdefault(event, _LineBudget())
        if budget.second != int(now):
            dropped, budget.dropped = budget.dropped, 0
            budget.second = int(now)
            budget.lines = 0
            if dropped:
                self._write(now, event, {"lines_dropped": dropped})
        if budget.lines >= LINES_PER_SECOND:
            budget.dropped += 1
            self.count("log.lines_dropped", event)
            return
        budget.lines += 1
        self._write(now, event, fields)

    def _write(self, now: float, event: str, fields: dict[str, Any]) -> None:
        pairs = " ".join(
            f"{name}={_format_value(value)}" for name, value in fields.items()
        )
        self.writer.write(f"time={now:.3f} daemon={self.daemon} event={event} {pairs}")

    def bad_input(self, source: str, detail: str) -> None:
        """Record malformed input and the interface that received it."""
        self.count("bad_input", source)
        self.log("bad_input", door=source, detail=detail)

    def fault(self, step: str, error: BaseException) -> None:
        """Record an unexpected exception and the functions that it passed through."""
        frames = traceback.extract_tb(error.__traceback__)[-TRACEBACK_FRAMES:]
        where = ",".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.count("faults", step)
        self.log("fault", step=step, error=repr(error), where=where)

    def slow_step(self, step: str, took: float, late: float) -> None:
        """Record a step that occupied the event loop, or that began late.

        Parameters
        ----------
        step : str
        took, late : float
            Duration of the step, and delay of its start, in seconds.
        """
        self.count("loop.slow_steps", step)
        self.log(
            "slow_step",
            step=step,
            took_ms=int(took * _MS_PER_S),
            late_ms=int(late * _MS_PER_S),
        )

    # Calls at the entry.

    def sent(self, call: EntryCall, now: float) -> None:
        """Log the start of an attempt, if the call is sampled."""
        assert call.target is not None
        if is_sampled(call.call.request_id):
            state = call.target.state
            self.log(
                "call_sent",
                request=call.call.request_id,
                route=call.route.name,
                service=call.service,
                to=call.target.name,
                load=call.target.load,
                limit=state.limit,
                service_time_ms=round(state.service_time * _MS_PER_S, 1),
                remaining_ms=int((call.deadline - now) * _MS_PER_S),
            )

    def ended(self, call: EntryCall, status: int, now: float) -> None:
        """Record a call that a backend server answered, and its latency.

        A call is logged if its status is 400 or more, if it exceeded its target
        latency, or if it is sampled.
        """
        elapsed = now - call.arrived_at
        self.count("calls.answered", str(status))
        buckets = self.latencies_by_route.setdefault(
            call.route.name, [0] * (len(LATENCY_BOUNDS) + 1)
        )
        buckets[_bucket_index(elapsed)] += 1
        self.latency_sum_by_route[call.route.name] += elapsed  # type: ignore[assignment]
        is_late = elapsed > call.route.target_latency
        if is_late:
            self.count("calls.late", call.route.name)
        if status >= 400 or is_late or is_sampled(call.call.request_id):
            self.log(
                "call_answered",
                request=call.call.request_id,
                route=call.route.name,
                status=status,
                by="" if call.target is None else call.target.name,
                attempts=call.attempts,
                reroutes=call.reroutes,
                elapsed_ms=int(elapsed * _MS_PER_S),
                attempt_ms=int((now - call.sent_at) * _MS_PER_S),
                waited_ms=int(call.times.waited * _MS_PER_S),
                ran_ms=int(call.times.ran * _MS_PER_S),
                target_ms=int(call.route.target_latency * _MS_PER_S),
            )

    def refused(
        self, request_id: str, reason: Reason, status: int, call: EntryCall | None
    ) -> None:
        """Record a refusal, or a failure that was produced by the daemon itself."""
        self.count("calls.refused", reason.value)
        fields: dict[str, Any] = {}
        if call is not None:
            fields = {
                "route": call.route.name,
                "service": call.service,
                "to": "" if call.target is None else call.target.name,
                "attempts": call.attempts,
                "reroutes": call.reroutes,
                "account": call.account_name,
            }
        self.log(
            "call_refused",
            request=request_id,
            reason=reason.value,
            status=status,
            **fields,
        )

    def retried(self, call: EntryCall, failure: Failure) -> None:
        """Record a retry and the failure that caused it."""
        self.count("calls.repeated", failure.reason.value)
        self.log(
            "call_repeated",
            request=call.call.request_id,
            reason=failure.reason.value,
            failed_at="" if call.target is None else call.target.name,
            attempts=call.attempts,
        )

    # Calls at the guard.

    def attempt_started(self, ticket: Ticket) -> None:
        """Count a call that was sent to the backend server."""
        self.count("attempts.started")

    def server_noticed(
        self, ticket: Ticket, notice: ServerNotice, guard: Guard
    ) -> None:
        """Log a change of what the backend server states about itself."""
        instance, born = ticket.server_start
        self.log(
            "server_notice",
            request=ticket.request_id,
            instance=instance,
            born=born,
            rate_limit=notice.rate_limit,
            is_leaving=notice.is_leaving,
            running=len(guard.running_by_run),
            waiting=len(guard.queued_by_run),
        )

    def server_ended(self, end: ServerEnd, quarantined: list[Quarantined]) -> None:
        """Record that the backend server ended, and what is quarantined therefore."""
        self.count("backend_server.ends")
        self.log(
            "backend_server_ended",
            instance=end.instance,
            born=end.born,
            runs=len(end.runs),
            suspects=",".join(run.fingerprint.hex() for run in end.runs[:MAX_SUSPECTS]),
        )
        self.requests_quarantined(quarantined, "")

    def requests_quarantined(self, requests: list[Quarantined], source: str) -> None:
        """Log requests that are not sent to any server from now on."""
        for request in requests:
            self.log(
                "request_quarantined",
                fingerprint=request.fingerprint.hex(),
                seconds=round(request.seconds),
                source=source,
            )

    def attempt_failed(self, ticket: Ticket, failure: Failure, guard: Guard) -> None:
        """Record an attempt without an answer; a cancelled attempt is only counted."""
        self.count("attempts.failed", failure.reason.value)
        if failure.reason is Reason.CANCELLED:
            return
        report = guard.monitor.server.report
        self.log(
            "attempt_failed",
            request=ticket.request_id,
            route=ticket.route,
            reason=failure.reason.value,
            may_have_run=failure.may_have_run,
            was_sent=failure.was_sent,
            instance="" if report is None else report.instance,
            running=len(guard.running_by_run),
            waiting=len(guard.queued_by_run),
            limit=guard.limit,
            service_time_ms=round(guard.service_time * _MS_PER_S, 1),
        )

    def attempt_answered(
        self, ticket: Ticket, answer: ServerAnswer, now: float
    ) -> None:
        """Log an attempt that the backend server answered, if the call is sampled."""
        if is_sampled(ticket.request_id):
            self.log(
                "attempt_answered",
                request=ticket.request_id,
                route=ticket.route,
                status=answer.status,
                waited_ms=int((ticket.started_at - ticket.arrived_at) * _MS_PER_S),
                ran_ms=int((now - ticket.started_at) * _MS_PER_S),
            )

    def record_store_call(
        self, purpose: StorePurpose, outcome: str, elapsed: float
    ) -> None:
        """Count a call to the store by purpose and outcome."""
        self.count("store.calls", f"{purpose.value},{outcome}")

    def totals(self, *names: str) -> dict[str, str]:
        """Return counters as fields of a log line.

        The field of ``store.calls`` is ``calls_store``, with the counts of all labels.
        """
        return {
            name.partition(".")[2] + "_" + name.partition(".")[0]: ",".join(
                f"{label}:{count}"
                for (known, label), count in sorted(self.count_by_name.items())
                if known == name
            )
            for name in names
        }

    def render(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format."""
        lines = [
            f'{_metric_name(name)}_total{{label="{label}"}} {count}'
            for (name, label), count in sorted(self.count_by_name.items())
        ]
        for route, buckets in sorted(self.latencies_by_route.items()):
            total = 0
            for bound, count in zip((*LATENCY_BOUNDS, "+Inf"), buckets, strict=True):
                total += count
                lines.append(
                    f"knapweedlead_call_duration_seconds_bucket"
                    f'{{route="{route}",le="{bound}"}} {total}'
                )
            lines.append(
                f'knapweedlead_call_duration_seconds_sum{{route="{route}"}} '
                f"{self.latency_sum_by_route[route]:.6f}"
            )
            lines.append(
                f'knapweedlead_call_duration_seconds_count{{route="{route}"}} {total}'
            )
        return ("\n".join(lines) + "\n").encode()


def is_sampled(request_id: str) -> bool:
    """Return whether a successful call is logged; all daemons log the same calls."""
    return zlib.crc32(request_id.encode()) % SAMPLE_INTERVAL == 0


def _bucket_index(elapsed: float) -> int:
    for index, bound in enumerate(LATENCY_BOUNDS):
        if elapsed <= bound:
            return index
    return len(LATENCY_BOUNDS)


def _metric_name(name: str) -> str:
    return "knapweedlead_" + name.replace(".", "_")


def _format_value(value: Any) -> str:
    text = str(value)
    if not text or any(c in text for c in ' "=\n'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
