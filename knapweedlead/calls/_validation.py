"""Validation of callers' requests before tokens or idempotency keys are claimed."""

from knapweedlead.calls._headers import DEADLINE, IDEMPOTENCY_KEY, TRACEPARENT
from knapweedlead.configuration import Route
from knapweedlead.node import CallReceived
from knapweedlead.requests import RefusalReason

METHODS = frozenset({"DELETE", "GET", "OPTIONS", "PATCH", "POST", "PUT"})
"""HTTP methods that are forwarded."""

MAX_KEY_LENGTH = 255
"""Maximum length of an idempotency key, in characters."""

_MAX_DEADLINE_DIGITS = 10
_TRACE_FIELDS = 4
_MS_PER_S = 1000


def reason_to_refuse(
    event: CallReceived, route: Route, is_key_needed: bool
) -> RefusalReason | None:
    """Return why a request is invalid, or None if it is valid."""
    if event.method not in METHODS:
        return RefusalReason.MALFORMED_REQUEST
    if not _is_deadline(event.headers.get(DEADLINE)):
        return RefusalReason.MALFORMED_REQUEST
    key = event.headers.get(IDEMPOTENCY_KEY)
    if key is None and is_key_needed:
        return RefusalReason.MISSING_IDEMPOTENCY_KEY
    if key is not None and not _is_idempotency_key(key):
        return RefusalReason.MALFORMED_REQUEST
    return None


def deadline_of(event: CallReceived, route: Route, now: float) -> float:
    """Return the deadline of a valid request, in seconds on the clock of ``now``.

    The caller may shorten the timeout of the route but not extend it.
    """
    text = event.headers.get(DEADLINE)
    requested_ms = route.timeout_ms if text is None else int(text)
    return now + min(requested_ms, route.timeout_ms) / _MS_PER_S


def trace_of(event: CallReceived) -> str:
    """Return the trace ID of the ``traceparent`` header, or "" if there is none."""
    fields = event.headers.get(TRACEPARENT, "").split("-")
    return fields[1] if len(fields) >= _TRACE_FIELDS else ""


def _is_deadline(text: str | None) -> bool:
    if text is None:
        return True
    return text.isascii() and text.isdecimal() and len(text) <= _MAX_DEADLINE_DIGITS


def _is_idempotency_key(key: str) -> bool:
    is_sized = 0 < len(key) <= MAX_KEY_LENGTH
    return is_sized and key.isascii() and key.isprintable()
