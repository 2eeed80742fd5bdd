"""Outcomes and reasons of refused requests, and at-most-once execution.

A once record stores the state of an idempotency key. The owner of the key's slot
stores the record and grants the key to at most one call.
"""

from knapweedlead.requests._once import (
    OnceClaimKey,
    OnceDecided,
    OnceDecision,
    StoredAnswer,
)
from knapweedlead.requests._once_role import OnceRole
from knapweedlead.requests._reasons import (
    Outcome,
    RefusalReason,
    RetryReason,
    outcomes_of_reason,
    status_of_reason,
)

__all__ = [
    "OnceClaimKey",
    "OnceDecided",
    "OnceDecision",
    "OnceRole",
    "Outcome",
    "RefusalReason",
    "RetryReason",
    "StoredAnswer",
    "outcomes_of_reason",
    "status_of_reason",
]
