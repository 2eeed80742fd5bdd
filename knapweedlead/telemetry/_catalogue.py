"""Closed list of the metrics of a daemon and of the values of their labels."""

import enum

import attrs

from knapweedlead.ownership import Takeover
from knapweedlead.platform import StoreOperation
from knapweedlead.requests import RefusalReason, RetryReason


class MetricKind(enum.Enum):
    """How a metric is counted."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen
class LabelSpec:
    """A label of a metric.

    Parameters
    ----------
    name : str
        Name of the attribute.
    values : tuple of str
        All values; empty where `source` bounds them.
    source : str
        What bounds the values where they are not listed here.
    """

    name: str
    values: tuple[str, ...] = ()
    source: str = ""


@attrs.frozen
class MetricSpec:
    """A metric.

    Parameters
    ----------
    name : str
        By OpenTelemetry's conventions.
    kind : MetricKind
        Counter, histogram or gauge.
    unit : str
        Unit in UCUM, with annotations in braces.
    description : str
        One sentence for operators.
    labels : tuple of LabelSpec
        Attributes of each measurement.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    labels: tuple[LabelSpec, ...] = ()


MAX_LABEL_SETS = 256
"""Sets of label values kept for each metric."""

OVERFLOW = "knapweedlead.metrics.overflow"

_REFUSAL_REASON = LabelSpec("reason", tuple(reason.value for reason in RefusalReason))
_RETRY_REASON = LabelSpec("reason", tuple(reason.value for reason in RetryReason))
_TAKEOVER = LabelSpec("by", tuple(takeover.value for takeover in Takeover))
_DROP_REASON = LabelSpec("reason", ("unexpected", "digest"))
_OPERATOR_REASON = LabelSpec(
    "reason",
    (
        *("missing_credential", "unknown_kind", "malformed_json", "too_large"),
        *("wrong_revision", "compacted_revision", "timeout"),
    ),
)
_LINK_STEP = LabelSpec(
    "step", ("link.open", "link.accept", "link.read", "messages.decode")
)
_OPERATION = LabelSpec(
    "operation", tuple(cls.__name__ for cls in StoreOperation.__subclasses__())
)
_STORE_OUTCOME = LabelSpec(
    "outcome", ("ok", "unavailable", "unknown_outcome", "conflict", "compacted")
)
_TAKEOVER = LabelSpec("by", tuple(takeover.value for takeover in Takeover))
_ACCOUNT = LabelSpec("client_account", source="client accounts in force")
_MESSAGE = LabelSpec("message", source="message classes of the codec")
_DIRECTION = LabelSpec("direction", ("transmit", "receive"))
_PURPOSE = LabelSpec("purpose", ("call", "control"))
_MEMBER_STATE = LabelSpec("state", source="states of a member")

_COUNTERS = (
    MetricSpec(
        "knapweedlead.calls.answered",
        MetricKind.COUNTER,
        "{call}",
        "Calls of callers answered in whole.",
    ),
    MetricSpec(
        "knapweedlead.calls.answered_again",
        MetricKind.COUNTER,
        "{call}",
        "Repeated idempotency keys answered from the record of the first call.",
    ),
    MetricSpec(
        "knapweedlead.calls.abandoned",
        MetricKind.COUNTER,
        "{call}",
        "Calls whose caller left before the answer.",
    ),
    MetricSpec(
        "knapweedlead.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Requests refused to callers.",
        (_REFUSAL_REASON,),
    ),
    MetricSpec(
        "knapweedlead.guard.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Attempts refused by the guard of this backend server.",
        (_REFUSAL_REASON,),
    ),
    MetricSpec(
        "knapweedlead.guard.duplicates",
        MetricKind.COUNTER,
        "{message}",
        "Repeated call messages that were not run again.",
    ),
    MetricSpec(
        "knapweedlead.retries",
        MetricKind.COUNTER,
        "{retry}",
        "Attempts after the first.",
        (_RETRY_REASON,),
    ),
    MetricSpec(
        "knapweedlead.answers.dropped",
        MetricKind.COUNTER,
        "{answer}",
        "Late, crossed, repeated or broken answers that reached no caller.",
        (_DROP_REASON,),
    ),
    MetricSpec(
        "knapweedlead.slots.acquired",
        MetricKind.COUNTER,
        "{slot}",
        "Slots taken over, by the evidence for it.",
        (_TAKEOVER,),
    ),
    MetricSpec(
        "knapweedlead.slots.write_failures",
        MetricKind.COUNTER,
        "{call}",
        "Writes of slot records that failed.",
    ),
    MetricSpec(
        "knapweedlead.tokens.outdated_requests",
        MetricKind.COUNTER,
        "{message}",
        "Requests for tokens that came out of order and were passed over.",
    ),
    MetricSpec(
        "knapweedlead.once.untrusted",
        MetricKind.COUNTER,
        "{claim}",
        "Claims refused because the records before a takeover are not known.",
    ),
    MetricSpec(
        "knapweedlead.operator.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Requests refused by the operator API.",
        (_OPERATOR_REASON,),
    ),
    MetricSpec(
        "knapweedlead.store.calls",
        MetricKind.COUNTER,
        "{call}",
        "Calls to the platform's store.",
        (_OPERATION, _STORE_OUTCOME),
    ),
    MetricSpec(
        "knapweedlead.link.errors",
        MetricKind.COUNTER,
        "{error}",
        "Links that failed, and input on them that was refused.",
        (_LINK_STEP,),
    ),
    MetricSpec(
        "knapweedlead.link.messages",
        MetricKind.COUNTER,
        "{message}",
        "Messages on links.",
        (_DIRECTION, _MESSAGE),
    ),
    MetricSpec(
        "knapweedlead.link.io",
        MetricKind.COUNTER,
        "By",
        "Bytes of messages on links, for calls and for control.",
        (_DIRECTION, _PURPOSE),
    ),
    MetricSpec(
        "knapweedlead.membership.syncs",
        MetricKind.COUNTER,
        "{exchange}",
        "Full exchanges of the member table that this daemon asked for.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pushes",
        MetricKind.COUNTER,
        "{message}",
        "Changes of configuration passed on to another daemon.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pulls",
        MetricKind.COUNTER,
        "{message}",
        "Requests to a daemon for a higher revision.",
    ),
    MetricSpec(
        "knapweedlead.configuration.refused",
        MetricKind.COUNTER,
        "{message}",
        "Catalogues and changes that did not validate.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pushes",
        MetricKind.COUNTER,
        "{message}",
        "Changes of the catalogue pushed to other daemons.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pulls",
        MetricKind.COUNTER,
        "{message}",
        "Catalogues asked of other daemons to repair a gap.",
    ),
    MetricSpec(
        "knapweedlead.configuration.refused",
        MetricKind.COUNTER,
        "{catalogue}",
        "Catalogues that did not validate.",
    ),
    MetricSpec(
        "knapweedlead.membership.syncs",
        MetricKind.COUNTER,
        "{message}",
        "Exchanges of whole member tables that this daemon began.",
    ),
    MetricSpec(
        "knapweedlead.slots.acquired",
        MetricKind.COUNTER,
        "{slot}",
        "Slots taken over.",
        (_TAKEOVER,),
    ),
    MetricSpec(
        "knapweedlead.slots.write_failures",
        MetricKind.COUNTER,
        "{write}",
        "Writes of slot records that failed or whose outcome is unknown.",
    ),
    MetricSpec(
        "knapweedlead.tokens.outdated_requests",
        MetricKind.COUNTER,
        "{message}",
        "Requests for tokens from an earlier epoch of a slot.",
    ),
    MetricSpec(
        "knapweedlead.messages.unhandled",
        MetricKind.COUNTER,
        "{message}",
        "Messages that no role takes.",
    ),
    MetricSpec(
        "knapweedlead.events.failed",
        MetricKind.COUNTER,
        "{event}",
        "Events whose handling raised an exception.",
    ),
    MetricSpec(
        OVERFLOW,
        MetricKind.COUNTER,
        "{measurement}",
        "Measurements with an unknown name, or beyond the bound on label values.",
    ),
    MetricSpec(
        "process.cpu.time",
        MetricKind.COUNTER,
        "s",
        "Processor time of the daemon.",
    ),
)

_HISTOGRAMS = (
    MetricSpec(
        "knapweedlead.guard.service_time",
        MetricKind.HISTOGRAM,
        "s",
        "Time that the backend server took for a run.",
    ),
    MetricSpec(
        "knapweedlead.guard.queue_wait",
        MetricKind.HISTOGRAM,
        "s",
        "Time that a call waited for a slot.",
    ),
)

_GAUGES = (
    MetricSpec(
        "knapweedlead.guard.limit",
        MetricKind.GAUGE,
        "{call}",
        "Concurrency limit in force.",
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
        "1 while the backend server is in its cold start.",
    ),
    MetricSpec(
        "knapweedlead.guard.draining",
        MetricKind.GAUGE,
        "1",
        "1 while the backend server takes no new work.",
    ),
    MetricSpec(
        "knapweedlead.tokens",
        MetricKind.GAUGE,
        "{token}",
        "Unspent tokens that this daemon holds for a client account.",
        (_ACCOUNT,),
    ),
    MetricSpec(
        "knapweedlead.slots.owned",
        MetricKind.GAUGE,
        "{slot}",
        "Slots whose owner this daemon is.",
    ),
    MetricSpec(
        "knapweedlead.configuration.revision",
        MetricKind.GAUGE,
        "{revision}",
        "Configuration revision in force.",
    ),
    MetricSpec(
        "knapweedlead.members",
        MetricKind.GAUGE,
        "{member}",
        "Members known to this daemon.",
        (_MEMBER_STATE,),
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
        "Requests of callers without an answer.",
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

METRICS = (*_COUNTERS, *_HISTOGRAMS, *_GAUGES)

SPEC_BY_NAME = {spec.name: spec for spec in METRICS}
