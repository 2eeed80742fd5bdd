"""Logging: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str) -> None:
    """Write events of `level` and above to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(**fields: Any) -> Any:
    """Return a logger that adds `fields` to every line."""
    return structlog.get_logger().bind(**fields)
