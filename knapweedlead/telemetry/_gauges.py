"""Histograms and gauges of a daemon."""

from knapweedlead.telemetry._labels import (
    ACCOUNT,
    MEMBER_STATE,
)
from knapweedlead.telemetry._specs import MetricKind, MetricSpec

HISTOGRAMS = (
    MetricSpec(
        "knapweedlead.guard.service_time",
        MetricKind.HISTOGRAM,
        "s",
        "Time that the backend server took to run a call.",
    ),
    MetricSpec(
        "knapweedlead.guard.queue_wait",
        MetricKind.HISTOGRAM,
        "s",
        "Time that a call waited for a slot.",
    ),
)

GAUGES = (
    MetricSpec(
        "knapweedlead.guard.limit",
        MetricKind.GAUGE,
        "{call}",
        "Current concurrency limit.",
    ),
    MetricSpec(
        "knapweedlead.guard.in_flight",
        MetricKind.GAUGE,
        "{call}",
        "Calls running on the backend server.",
    ),
    MetricSpec(
        "knapweedlead.guard.queued",
        MetricKind.GAUGE,
        "{call}",
        "Calls waiting for a slot.",
    ),
    MetricSpec(
        "knapweedlead.guard.cold",
        MetricKind.GAUGE,
        "1",
        "1 during a cold start of the backend server, otherwise 0.",
    ),
    MetricSpec(
        "knapweedlead.guard.draining",
        MetricKind.GAUGE,
        "1",
        "1 while the backend server accepts no new calls, otherwise 0.",
    ),
    MetricSpec(
        "knapweedlead.tokens",
        MetricKind.GAUGE,
        "{token}",
        "Unspent tokens that this daemon holds for a client account.",
        (ACCOUNT,),
    ),
    MetricSpec(
        "knapweedlead.slots.owned",
        MetricKind.GAUGE,
        "{slot}",
        "Slots owned by this daemon.",
    ),
    MetricSpec(
        "knapweedlead.configuration.revision",
        MetricKind.GAUGE,
        "{revision}",
        "Active configuration revision.",
    ),
    MetricSpec(
        "knapweedlead.members",
        MetricKind.GAUGE,
        "{member}",
        "Members known to this daemon.",
        (MEMBER_STATE,),
    ),
    MetricSpec(
        "knapweedlead.links",
        MetricKind.GAUGE,
        "{link}",
        "Open links.",
    ),
    MetricSpec(
        "knapweedlead.link.waiting",
        MetricKind.GAUGE,
        "{message}",
        "Messages waiting to be written to a link.",
    ),
    MetricSpec(
        "knapweedlead.caller.connections",
        MetricKind.GAUGE,
        "{connection}",
        "Open connections of callers.",
    ),
    MetricSpec(
        "knapweedlead.caller.exchanges",
        MetricKind.GAUGE,
        "{request}",
        "Requests of callers that have no response yet.",
    ),
    MetricSpec(
        "knapweedlead.backend_server.connections",
        MetricKind.GAUGE,
        "{connection}",
        "Open connections to the backend server.",
    ),
    MetricSpec(
        "process.memory.usage",
        MetricKind.GAUGE,
        "By",
        "Resident memory of the daemon.",
    ),
)
