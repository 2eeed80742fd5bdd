"""Labels of the metrics and their allowed values."""

from knapweedlead.ownership import Takeover
from knapweedlead.requests import RefusalReason, RetryReason
from knapweedlead.store import StoreOperation
from knapweedlead.telemetry._specs import LabelSpec

REFUSAL_REASON = LabelSpec("reason", tuple(reason.value for reason in RefusalReason))
RETRY_REASON = LabelSpec("reason", tuple(reason.value for reason in RetryReason))
TAKEOVER = LabelSpec("by", tuple(takeover.value for takeover in Takeover))
DROP_REASON = LabelSpec("reason", ("unexpected", "digest"))
OPERATOR_REASON = LabelSpec(
    "reason",
    (
        *("missing_credential", "unknown_kind", "malformed_json", "too_large"),
        *("wrong_revision", "compacted_revision", "timeout"),
    ),
)
LINK_STEP = LabelSpec(
    "step", ("link.open", "link.accept", "link.read", "messages.decode")
)
OPERATION = LabelSpec(
    "operation", tuple(cls.__name__ for cls in StoreOperation.__subclasses__())
)
STORE_OUTCOME = LabelSpec(
    "outcome", ("ok", "unavailable", "unknown_outcome", "conflict", "compacted")
)
ACCOUNT = LabelSpec("client_account", source="active client accounts")
MESSAGE = LabelSpec("message", source="message classes of the codec")
DIRECTION = LabelSpec("direction", ("transmit", "receive"))
PURPOSE = LabelSpec("purpose", ("call", "control"))
MEMBER_STATE = LabelSpec("state", source="states of a member")
