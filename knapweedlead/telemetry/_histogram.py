"""Histograms aggregated in plain integer counters."""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from prometheus_client.core import HistogramMetricFamily, Metric

from knapweedlead.telemetry._specs import MetricSpec

BOUNDS_SECONDS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
"""Upper bounds of the buckets, in seconds."""

_BUCKET_LABELS = [*(str(bound) for bound in BOUNDS_SECONDS), "+Inf"]


class DurationHistogram:
    """Histogram of durations.

    Parameters
    ----------
    spec : MetricSpec
        Name and description of the metric.
    """

    def __init__(self, spec: MetricSpec) -> None:
        self.spec = spec
        self.counts = [0] * len(_BUCKET_LABELS)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Record a duration in seconds."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.sum += seconds

    def to_metric_family(self) -> Metric:
        """Return the histogram as a Prometheus metric family."""
        name = self.spec.name.replace(".", "_") + "_seconds"
        family = HistogramMetricFamily(name, self.spec.description)
        cumulative = accumulate(self.counts)
        buckets = [
            (label, float(count))
            for label, count in zip(_BUCKET_LABELS, cumulative, strict=True)
        ]
        family.add_metric([], buckets, self.sum)
        return family


class HistogramCollector:
    """Prometheus collector that exposes duration histograms.

    Parameters
    ----------
    histograms : iterable of DurationHistogram
        Histograms to expose.
    """

    def __init__(self, histograms: Iterable[DurationHistogram]) -> None:
        self.histograms = list(histograms)

    def collect(self) -> Iterable[Metric]:
        """Return a metric family for each histogram."""
        return [histogram.to_metric_family() for histogram in self.histograms]
