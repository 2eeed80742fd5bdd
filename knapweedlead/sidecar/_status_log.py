"""Periodic log lines about the state of the daemon."""

import math
from collections import Counter
from typing import Protocol

from knapweedlead.mesh import Entry, Guard
from knapweedlead.sidecar._fleet_tracker import FleetTracker
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._traffic import LinkTraffic

TOTALS_PERIOD = 10.0
"""Seconds between log lines with totals."""
LIMITED_PERIOD = 1.0
"""Seconds between log lines while the backend server limits its rate."""


class StatusHost(Protocol):
    """The parts of a daemon that the status log describes."""

    entry: Entry
    guard: Guard
    links: Links
    fleet: FleetTracker
    traffic: LinkTraffic
    recorder: MeshRecorder


def log_totals(host: StatusHost, now: float) -> None:
    """Log calls, limits, links, and the age of the configuration's confirmation."""
    guard = host.guard
    host.recorder.log(
        "totals",
        calls=len(host.entry.call_by_number),
        running=len(guard.running_by_run),
        waiting=len(guard.queued_by_run),
        limit=guard.limit,
        service_time_ms=round(guard.service_time * 1000, 1),
        links=host.links.up_count,
        unconfirmed_ms=int((now - host.fleet.freshness.confirmed_at) * 1000),
        link_bytes=_labelled(host.traffic.bytes_sent),
        **host.recorder.totals("store.calls", "calls.refused"),
    )


def log_limited(host: StatusHost, now: float) -> None:
    """Log the calls of the last second while the backend server limits its rate."""
    guard = host.guard
    if guard.monitor.rate_limit == math.inf:
        return
    host.recorder.log(
        "server_limited",
        rate_limit=guard.monitor.rate_limit,
        started=guard.limits.started_within(LIMITED_PERIOD, now),
        running=len(guard.running_by_run),
        waiting=len(guard.queued_by_run),
    )


def _labelled(counts: Counter[str]) -> str:
    """Return counts by label as one field of a log line."""
    return " ".join(f"{label}:{count}" for label, count in sorted(counts.items()))
