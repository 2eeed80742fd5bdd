"""Report of a load run: totals and time series."""

import itertools
from collections import Counter
from typing import Any

import attrs
import numpy

from knapweedlead.load._plan import LoadPlan, StreamPlan
from knapweedlead.load._records import OUTCOME_ANSWERED, CallRecord
from knapweedlead.operators import render_table

_MS_PER_S = 1000
BUCKET_SECONDS = 1.0


@attrs.frozen
class StreamSummary:
    """Totals of one stream; latency percentiles cover answered calls only."""

    stream: str
    client_account: str
    priority: int
    offered: int
    answered: int
    goodput_per_s: float
    served_share: float
    retries: int
    cuts: int
    p50_ms: float
    p99_ms: float
    refusals_by_reason: dict[str, int]


@attrs.frozen
class TimeBucket:
    """Goodput and latency of the calls that arrived in one second of the run."""

    start_s: float
    goodput_by_priority: dict[int, float]
    goodput_by_client_account: dict[str, float]
    p50_ms: float
    p99_ms: float


@attrs.frozen
class LoadReportDocument:
    """Report of a load run.

    Parameters
    ----------
    duration_s : float
        Time during which calls arrived, in seconds.
    streams : tuple of StreamSummary
        Totals by stream.
    worst_client_account : str
        Account with the lowest share of answered calls.
    worst_served_share : float
        Share of answered calls of that account.
    buckets : tuple of TimeBucket
        Time series.
    """

    duration_s: float
    streams: tuple[StreamSummary, ...]
    worst_client_account: str
    worst_served_share: float
    buckets: tuple[TimeBucket, ...]

    def to_document(self) -> dict[str, Any]:
        """Return the report as a JSON-compatible document."""
        return attrs.asdict(self)


def build_report(plan: LoadPlan, records: list[CallRecord]) -> LoadReportDocument:
    """Return the report of a run from its records."""
    by_stream: dict[str, list[CallRecord]] = {s.name: [] for s in plan.streams}
    for record in records:
        by_stream[record.stream].append(record)
    shares = _served_share_by_account(plan, by_stream)
    worst = min(shares, key=lambda account: shares[account], default="")
    return LoadReportDocument(
        duration_s=plan.duration_s,
        streams=tuple(
            _summarize_stream(plan, s, by_stream[s.name]) for s in plan.streams
        ),
        worst_client_account=worst,
        worst_served_share=shares.get(worst, 0.0),
        buckets=tuple(_time_buckets(plan, records)),
    )


def _summarize_stream(
    plan: LoadPlan, stream: StreamPlan, records: list[CallRecord]
) -> StreamSummary:
    answered = [record for record in records if record.outcome == OUTCOME_ANSWERED]
    reasons = Counter(r.outcome for r in records if r.outcome != OUTCOME_ANSWERED)
    return StreamSummary(
        stream=stream.name,
        client_account=stream.client_account,
        priority=stream.priority,
        offered=len(records),
        answered=len(answered),
        goodput_per_s=len(answered) / plan.duration_s,
        served_share=len(answered) / len(records) if records else 1.0,
        retries=sum(record.retries for record in records),
        cuts=sum(record.cuts for record in records),
        p50_ms=_percentile_ms(answered, 50),
        p99_ms=_percentile_ms(answered, 99),
        refusals_by_reason=dict(reasons.most_common()),
    )


def _served_share_by_account(
    plan: LoadPlan, by_stream: dict[str, list[CallRecord]]
) -> dict[str, float]:
    offered: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for stream in plan.streams:
        records = by_stream[stream.name]
        offered[stream.client_account] += len(records)
        good = sum(1 for record in records if record.outcome == OUTCOME_ANSWERED)
        answered[stream.client_account] += good
    return {name: answered[name] / count for name, count in offered.items() if count}


def _time_buckets(plan: LoadPlan, records: list[CallRecord]) -> list[TimeBucket]:
    stream_by_name = {stream.name: stream for stream in plan.streams}

    def bucket_number(record: CallRecord) -> int:
        return int(record.started_at // BUCKET_SECONDS)

    groups = itertools.groupby(sorted(records, key=bucket_number), bucket_number)
    return [
        _time_bucket(number, list(group), stream_by_name) for number, group in groups
    ]


def _time_bucket(
    number: int, records: list[CallRecord], stream_by_name: dict[str, StreamPlan]
) -> TimeBucket:
    answered = [record for record in records if record.outcome == OUTCOME_ANSWERED]
    streams = [stream_by_name[record.stream] for record in answered]
    by_priority = Counter(stream.priority for stream in streams)
    by_account = Counter(stream.client_account for stream in streams)
    return TimeBucket(
        start_s=number * BUCKET_SECONDS,
        goodput_by_priority={k: n / BUCKET_SECONDS for k, n in by_priority.items()},
        goodput_by_client_account={
            k: n / BUCKET_SECONDS for k, n in by_account.items()
        },
        p50_ms=_percentile_ms(answered, 50),
        p99_ms=_percentile_ms(answered, 99),
    )


def _percentile_ms(records: list[CallRecord], percent: float) -> float:
    if not records:
        return 0.0
    latencies = [record.latency for record in records]
    return round(float(numpy.percentile(latencies, percent)) * _MS_PER_S, 3)


def render_report(report: LoadReportDocument) -> str:
    """Return the totals as a plain-text table."""
    rows = [
        [
            s.stream,
            s.client_account,
            s.priority,
            s.offered,
            s.answered,
            f"{s.goodput_per_s:.1f}",
            f"{s.served_share:.1%}",
            s.retries,
            s.cuts,
            f"{s.p50_ms:.1f}",
            f"{s.p99_ms:.1f}",
            " ".join(f"{k}={n}" for k, n in s.refusals_by_reason.items()) or "-",
        ]
        for s in report.streams
    ]
    columns = ["stream", "account", "prio", "offered", "answered", "good/s"]
    columns += ["served", "retries", "cut", "p50 ms", "p99 ms", "refused or failed"]
    worst = (
        f"worst-served account: {report.worst_client_account} "
        f"({report.worst_served_share:.1%} of its calls answered)"
    )
    return render_table(columns, rows) + "\n" + worst
