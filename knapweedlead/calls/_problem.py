"""RFC 9457 problem documents for refusals."""

import json

from knapweedlead.node import ReplyToCaller
from knapweedlead.requests import Outcome, RefusalReason, status_of_reason

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:knapweedlead:refusal:"

_MS_PER_S = 1000


def problem_reply(
    exchange: int,
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
) -> ReplyToCaller:
    """Return the HTTP reply that refuses a request.

    ``retry-after`` is rounded up to whole seconds; 0 omits the header.
    """
    status = status_of_reason(reason)
    document = {
        "type": TYPE_PREFIX + reason.value,
        "title": reason.value.replace("_", " "),
        "status": status,
        "reason": reason.value,
        "outcome": outcome.value,
    }
    headers = {"content-type": CONTENT_TYPE}
    if retry_after_ms > 0:
        headers["retry-after"] = str(-(-retry_after_ms // _MS_PER_S))
    body = json.dumps(document, separators=(",", ":")).encode()
    return ReplyToCaller(exchange, status, headers, body)
