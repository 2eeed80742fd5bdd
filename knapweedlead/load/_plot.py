"""Plot of a load report: goodput and latency over time."""

from pathlib import Path

import matplotlib

from knapweedlead.load._report import LoadReportDocument

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

FIGURE_INCHES = (9.0, 9.0)


def plot_report(report: LoadReportDocument, path: str | Path) -> None:
    """Plot goodput by priority, goodput by account and latency to an image file."""
    figure, (by_priority, by_account, latency) = pyplot.subplots(
        3, 1, sharex=True, figsize=FIGURE_INCHES
    )
    times = [bucket.start_s for bucket in report.buckets]
    priorities = sorted({s.priority for s in report.streams})
    for priority in priorities:
        values = [b.goodput_by_priority.get(priority, 0.0) for b in report.buckets]
        by_priority.plot(times, values, label=f"priority {priority}")
    for account in sorted({s.client_account for s in report.streams}):
        values = [b.goodput_by_client_account.get(account, 0.0) for b in report.buckets]
        by_account.plot(times, values, label=account)
    latency.plot(times, [b.p50_ms for b in report.buckets], label="p50")
    latency.plot(times, [b.p99_ms for b in report.buckets], label="p99")
    by_priority.set_ylabel("goodput, calls/s")
    by_account.set_ylabel("goodput, calls/s")
    latency.set_ylabel("latency, ms")
    latency.set_xlabel("arrival time, s")
    for axes in (by_priority, by_account, latency):
        axes.legend(loc="upper right")
        axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
