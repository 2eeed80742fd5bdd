"""Call handling: the entry role for callers, the guard role for backend servers."""

from knapweedlead.calls._entry import STOP_ANSWER_TIME, EntryRole
from knapweedlead.calls._guard import GuardRole
from knapweedlead.calls._headers import (
    AUTHORIZATION,
    DEADLINE,
    IDEMPOTENCY_KEY,
    PARENT,
    TRACEPARENT,
)
from knapweedlead.calls._problem import problem_reply

__all__ = [
    "AUTHORIZATION",
    "DEADLINE",
    "EntryRole",
    "GuardRole",
    "IDEMPOTENCY_KEY",
    "PARENT",
    "STOP_ANSWER_TIME",
    "TRACEPARENT",
    "problem_reply",
]
