"""Logging and metrics."""

from knapweedlead.telemetry._catalogue import METRICS
from knapweedlead.telemetry._logs import configure_logs, get_logger
from knapweedlead.telemetry._metrics import Metrics, Reading
from knapweedlead.telemetry._specs import LabelSpec, MetricKind, MetricSpec

__all__ = [
    "METRICS",
    "LabelSpec",
    "MetricKind",
    "MetricSpec",
    "Metrics",
    "Reading",
    "configure_logs",
    "get_logger",
]
