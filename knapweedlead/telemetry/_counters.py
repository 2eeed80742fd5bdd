"""Counters of a daemon."""

from knapweedlead.telemetry._labels import (
    DIRECTION,
    DROP_REASON,
    LINK_STEP,
    MESSAGE,
    OPERATION,
    OPERATOR_REASON,
    PURPOSE,
    REFUSAL_REASON,
    RETRY_REASON,
    STORE_OUTCOME,
    TAKEOVER,
)
from knapweedlead.telemetry._specs import MetricKind, MetricSpec

OVERFLOW = "knapweedlead.metrics.overflow"
"""Name of the counter of discarded measurements."""

COUNTERS = (
    MetricSpec(
        "knapweedlead.calls.answered",
        MetricKind.COUNTER,
        "{call}",
        "Calls answered with a complete response.",
    ),
    MetricSpec(
        "knapweedlead.calls.answered_again",
        MetricKind.COUNTER,
        "{call}",
        "Calls with a repeated idempotency key answered with the stored answer.",
    ),
    MetricSpec(
        "knapweedlead.calls.abandoned",
        MetricKind.COUNTER,
        "{call}",
        "Calls whose caller disconnected before the answer.",
    ),
    MetricSpec(
        "knapweedlead.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Requests of callers that were refused.",
        (REFUSAL_REASON,),
    ),
    MetricSpec(
        "knapweedlead.guard.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Attempts refused by the guard of the local backend server.",
        (REFUSAL_REASON,),
    ),
    MetricSpec(
        "knapweedlead.guard.duplicates",
        MetricKind.COUNTER,
        "{message}",
        "Duplicate call messages that were not run again.",
    ),
    MetricSpec(
        "knapweedlead.retries",
        MetricKind.COUNTER,
        "{retry}",
        "Attempts after the first.",
        (RETRY_REASON,),
    ),
    MetricSpec(
        "knapweedlead.answers.dropped",
        MetricKind.COUNTER,
        "{answer}",
        "Late, mismatched, duplicate or corrupt answers that reached no caller.",
        (DROP_REASON,),
    ),
    MetricSpec(
        "knapweedlead.slots.acquired",
        MetricKind.COUNTER,
        "{slot}",
        "Slots acquired by this daemon, by the evidence for the takeover.",
        (TAKEOVER,),
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
        "Token requests that arrived out of order and were ignored.",
    ),
    MetricSpec(
        "knapweedlead.once.untrusted",
        MetricKind.COUNTER,
        "{claim}",
        "Claims refused because the records from before a takeover are not available.",
    ),
    MetricSpec(
        "knapweedlead.operator.refusals",
        MetricKind.COUNTER,
        "{refusal}",
        "Requests refused by the operator API.",
        (OPERATOR_REASON,),
    ),
    MetricSpec(
        "knapweedlead.store.calls",
        MetricKind.COUNTER,
        "{call}",
        "Calls to the platform's store.",
        (OPERATION, STORE_OUTCOME),
    ),
    MetricSpec(
        "knapweedlead.link.errors",
        MetricKind.COUNTER,
        "{error}",
        "Failed links and rejected input on links.",
        (LINK_STEP,),
    ),
    MetricSpec(
        "knapweedlead.link.messages",
        MetricKind.COUNTER,
        "{message}",
        "Messages sent and received on links.",
        (DIRECTION, MESSAGE),
    ),
    MetricSpec(
        "knapweedlead.link.io",
        MetricKind.COUNTER,
        "By",
        "Bytes of messages on links, by direction and purpose.",
        (DIRECTION, PURPOSE),
    ),
    MetricSpec(
        "knapweedlead.membership.rejected",
        MetricKind.COUNTER,
        "{record}",
        "Records of members from peers that cannot be used; the log line "
        "`member_rejected` tells why.",
    ),
    MetricSpec(
        "knapweedlead.membership.syncs",
        MetricKind.COUNTER,
        "{exchange}",
        "Full exchanges of the member table that this daemon requested.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pushes",
        MetricKind.COUNTER,
        "{message}",
        "Configuration changes forwarded to another daemon.",
    ),
    MetricSpec(
        "knapweedlead.configuration.pulls",
        MetricKind.COUNTER,
        "{message}",
        "Requests to another daemon for a higher revision.",
    ),
    MetricSpec(
        "knapweedlead.configuration.refused",
        MetricKind.COUNTER,
        "{message}",
        "Catalogues and changes that failed validation.",
    ),
    MetricSpec(
        "knapweedlead.configuration.restored",
        MetricKind.COUNTER,
        "{write}",
        "Writes of the applied catalogue over an older one in the store.",
    ),
    MetricSpec(
        "knapweedlead.messages.unhandled",
        MetricKind.COUNTER,
        "{message}",
        "Messages that no role handles.",
    ),
    MetricSpec(
        "knapweedlead.events.failed",
        MetricKind.COUNTER,
        "{event}",
        "Handlers that raised an exception.",
    ),
    MetricSpec(
        OVERFLOW,
        MetricKind.COUNTER,
        "{measurement}",
        "Discarded measurements: unknown name or labels, or too many label sets.",
    ),
    MetricSpec(
        "process.cpu.time",
        MetricKind.COUNTER,
        "s",
        "CPU time of the daemon.",
    ),
)
