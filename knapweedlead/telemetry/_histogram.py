"""Histograms aggregated in plain integers."""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from prometheus_client.core import HistogramMetricFamily, Metric

from knapweedlead.telemetry._specs import MetricSpec

BOUNDS_SECONDS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
"""Upper bounds of the buckets of a duration, in seconds."""

_LABELS = [*(str(bound) for bound in BOUNDS_SECONDS), "+Inf"]


class DurationHistogram:
    """Counts durations by bucket.

    Parameters
    ----------
    spec : MetricSpec
        The metric.
    """

    def __init__(self, spec: MetricSpec) -> None:
        self.spec = spec
        self.counts = [0] * len(_LABELS)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.sum += seconds

    def family(self) -> Metric:
        """Return the metric as the exposition writes it."""
        name = self.spec.name.replace(".", "_") + "_seconds"
        family = HistogramMetricFamily(name, self.spec.description)
        rising = accumulate(self.counts)
        buckets = [
            (label, float(count)) for label, count in zip(_LABELS, rising, strict=True)
        ]
        family.add_metric([], buckets, self.sum)
        return family


class HistogramCollector:
    """Collector of Prometheus' registry for the histograms.

    Parameters
    ----------
    histograms : iterable of DurationHistogram
        What to expose.
    """

    def __init__(self, histograms: Iterable[DurationHistogram]) -> None:
        self.histograms = list(histograms)

    def collect(self) -> Iterable[Metric]:
        """Return all histograms."""
        return [histogram.family() for histogram in self.histograms]
