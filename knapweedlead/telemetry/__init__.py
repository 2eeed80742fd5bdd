"""Logs and metrics."""

from knapweedlead.telemetry._logs import configure_logs, get_logger
from knapweedlead.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logs", "get_logger"]
