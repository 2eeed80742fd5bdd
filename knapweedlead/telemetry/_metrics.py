"""Metrics of a daemon, counted in plain integers and exported on each scrape.

Recording through an OpenTelemetry SDK instrument takes several microseconds, and each
call records several measurements. The data path therefore updates dictionaries, which
observable instruments read when the endpoint is scraped.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from knapweedlead.node import Count, Observe
from knapweedlead.telemetry._catalogue import (
    MAX_LABEL_SETS,
    METRICS,
    SPEC_BY_NAME,
)
from knapweedlead.telemetry._counters import OVERFLOW
from knapweedlead.telemetry._histogram import DurationHistogram, HistogramCollector
from knapweedlead.telemetry._specs import MetricKind, MetricSpec

Labels = tuple[tuple[str, str], ...]

_SERVICE = "knapweedlead"


@attrs.frozen
class Reading:
    """Value of a gauge, or of a counter kept outside `Metrics`, at a scrape.

    Parameters
    ----------
    name : str
        Metric name.
    value : float
        Value in the unit of the metric.
    labels : tuple of (str, str)
        Label names and values.
    """

    name: str
    value: float
    labels: Labels = ()


class Metrics:
    """Aggregates `Count` and `Observe` effects and renders the metrics as text.

    Parameters
    ----------
    instance_id : str
        Member name of the daemon, exported as ``service.instance.id``.
    read_gauges : callable
        Returns the current readings of all gauges; called once per scrape.
    """

    def __init__(
        self,
        instance_id: str = "",
        read_gauges: Callable[[], Iterable[Reading]] = tuple,
    ) -> None:
        self.instance_id = instance_id
        self.read_gauges = read_gauges
        self.total_by_name_and_labels: Counter[tuple[str, Labels]] = Counter()
        self.histogram_by_name = {
            spec.name: DurationHistogram(spec)
            for spec in METRICS
            if spec.kind is MetricKind.HISTOGRAM
        }
        self._observations_by_name: dict[str, list[Observation]] = {}
        self._provider: MeterProvider | None = None
        self._registry = CollectorRegistry()

    def count(self, effect: Count) -> None:
        """Add the effect's amount to its counter.

        An effect with an unknown name or label, or beyond the limit of label sets, is
        counted as a discarded measurement instead.
        """
        key = effect.name, effect.labels
        if key not in self.total_by_name_and_labels and not self._is_allowed(*key):
            key = OVERFLOW, ()
        self.total_by_name_and_labels[key] += effect.amount

    def observe(self, effect: Observe) -> None:
        """Record a duration; an unknown name is counted as a discarded measurement."""
        histogram = self.histogram_by_name.get(effect.name)
        if histogram is None:
            self.total_by_name_and_labels[OVERFLOW, ()] += 1
        else:
            histogram.record(effect.value)

    def _is_allowed(self, name: str, labels: Labels) -> bool:
        """Return whether a new label set is allowed and within `MAX_LABEL_SETS`."""
        spec = SPEC_BY_NAME.get(name)
        if spec is None or tuple(key for key, _ in labels) != _label_names(spec):
            return False
        pairs = zip(spec.labels, labels, strict=True)
        if any(
            label.values and value not in label.values for label, (_, value) in pairs
        ):
            return False
        kept = sum(kept == name for kept, _ in self.total_by_name_and_labels)
        return kept < MAX_LABEL_SETS

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self._provider is None:
            self._provider = self._create_provider()
        self._observations_by_name = {}
        for (name, labels), total in self.total_by_name_and_labels.items():
            self._add_observation(Reading(name, total, labels))
        for reading in self.read_gauges():
            self._add_observation(reading)
        return generate_latest(self._registry)

    def _add_observation(self, reading: Reading) -> None:
        observations = self._observations_by_name.setdefault(reading.name, [])
        if len(observations) < MAX_LABEL_SETS:
            observations.append(Observation(reading.value, dict(reading.labels)))

    def _create_provider(self) -> MeterProvider:
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        attributes = {"service.name": _SERVICE, "service.instance.id": self.instance_id}
        provider = MeterProvider([reader], Resource(attributes), shutdown_on_exit=False)
        meter = provider.get_meter(_SERVICE)
        create_by_kind: dict[MetricKind, Any] = {
            MetricKind.COUNTER: meter.create_observable_counter,
            MetricKind.GAUGE: meter.create_observable_gauge,
        }
        for spec in METRICS:
            if spec.kind in create_by_kind:
                create_by_kind[spec.kind](
                    spec.name,
                    callbacks=[partial(self._get_observations, spec.name)],
                    unit=spec.unit,
                    description=spec.description,
                )
        self._registry.register(
            HistogramCollector(self.histogram_by_name.values())  # type: ignore[arg-type]
        )
        return provider

    def _get_observations(
        self, name: str, options: CallbackOptions
    ) -> list[Observation]:
        return self._observations_by_name.get(name, [])


def _label_names(spec: MetricSpec) -> tuple[str, ...]:
    return tuple(label.name for label in spec.labels)
