"""Outcomes, refusal reasons and retry reasons."""

import enum


class Outcome(enum.Enum):
    """Whether a refused request may have run."""

    NOT_RUN = "not_run"
    """No backend server received the request."""
    UNKNOWN = "unknown"
    """The request may have run, completely or in part."""


class RefusalReason(enum.Enum):
    """Why a request was refused; each value is a problem type and a metric label."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNKNOWN_ROUTE = "unknown_route"
    MISSING_KEY = "missing_key"
    INVALID_KEY = "invalid_key"
    INVALID_PARENT = "invalid_parent"
    RATE_EXCEEDED = "rate_exceeded"
    RATE_UNAVAILABLE = "rate_unavailable"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    IDEMPOTENCY_IN_PROGRESS = "idempotency_in_progress"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    IDEMPOTENCY_UNKNOWN = "idempotency_unknown"
    IDEMPOTENCY_UNAVAILABLE = "idempotency_unavailable"
    CONFIGURATION_UNKNOWN = "configuration_unknown"
    CONFIGURATION_STALE = "configuration_stale"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    COLD = "cold"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out_of_service"
    NO_BACKEND_SERVER = "no_backend_server"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    HOP_LIMIT = "hop_limit"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CANCELLED = "cancelled"
    LINK_LOST = "link_lost"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    BACKEND_SERVER_UNREACHABLE = "backend_server_unreachable"
    BROKEN_ANSWER = "broken_answer"


class RetryReason(enum.Enum):
    """Why a call was retried; each value is a metric label."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    LINK_LOST = "link_lost"
    FAILED = "failed"
    BROKEN_ANSWER = "broken_answer"


_STATUS_BY_REASON = {
    RefusalReason.MALFORMED_REQUEST: 400,
    RefusalReason.REQUEST_TOO_LARGE: 413,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.MISSING_KEY: 401,
    RefusalReason.INVALID_KEY: 401,
    RefusalReason.INVALID_PARENT: 403,
    RefusalReason.RATE_EXCEEDED: 429,
    RefusalReason.MISSING_IDEMPOTENCY_KEY: 400,
    RefusalReason.IDEMPOTENCY_IN_PROGRESS: 409,
    RefusalReason.IDEMPOTENCY_MISMATCH: 422,
    RefusalReason.IDEMPOTENCY_UNKNOWN: 409,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.HOP_LIMIT: 508,
    RefusalReason.LINK_LOST: 502,
    RefusalReason.BACKEND_SERVER_FAILED: 502,
    RefusalReason.BROKEN_ANSWER: 502,
}

_STATUS_DEFAULT = 503


def status_of_reason(reason: RefusalReason) -> int:
    """Return the HTTP status of a refusal; 503 unless the reason has its own."""
    return _STATUS_BY_REASON.get(reason, _STATUS_DEFAULT)


_ALWAYS_NOT_RUN = frozenset(
    {
        RefusalReason.MALFORMED_REQUEST,
        RefusalReason.REQUEST_TOO_LARGE,
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.MISSING_KEY,
        RefusalReason.INVALID_PARENT,
        RefusalReason.RATE_EXCEEDED,
        RefusalReason.RATE_UNAVAILABLE,
        RefusalReason.MISSING_IDEMPOTENCY_KEY,
        RefusalReason.IDEMPOTENCY_MISMATCH,
        RefusalReason.HOP_LIMIT,
    }
)

_ALWAYS_UNKNOWN = frozenset(
    {
        RefusalReason.IDEMPOTENCY_IN_PROGRESS,
        RefusalReason.IDEMPOTENCY_UNKNOWN,
        RefusalReason.IDEMPOTENCY_UNAVAILABLE,
        RefusalReason.RETRIES_EXHAUSTED,
        RefusalReason.BACKEND_SERVER_FAILED,
        RefusalReason.BROKEN_ANSWER,
    }
)


def outcomes_of_reason(reason: RefusalReason) -> frozenset[Outcome]:
    """Return the possible outcomes of a refusal with this reason."""
    if reason in _ALWAYS_NOT_RUN:
        return frozenset({Outcome.NOT_RUN})
    if reason in _ALWAYS_UNKNOWN:
        return frozenset({Outcome.UNKNOWN})
    return frozenset(Outcome)
