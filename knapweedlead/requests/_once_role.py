"""Role that keeps once records."""

import attrs

from knapweedlead.node import Effect, Role
from knapweedlead.requests._once import OnceClaimKey, OnceDecision, StoredAnswer


@attrs.define
class _Record:
    fingerprint: bytes
    decision: OnceDecision
    answer: StoredAnswer | None = None


class OnceRole(Role):
    """Keeps once records in this daemon alone."""

    def __init__(self) -> None:
        self._record_by_key: dict[tuple[str, str], _Record] = {}

    def claim(
        self, key: OnceClaimKey, ticket: int, now: float
    ) -> tuple[OnceDecision, StoredAnswer | None, list[Effect]]:
        """Claim a key before its request is sent on."""
        record = self._record_by_key.get((key.account, key.idempotency_key))
        if record is None:
            fresh = _Record(key.fingerprint, OnceDecision.IN_PROGRESS)
            self._record_by_key[key.account, key.idempotency_key] = fresh
            return OnceDecision.CLAIMED, None, []
        if record.fingerprint != key.fingerprint:
            return OnceDecision.MISMATCH, None, []
        return record.decision, record.answer, []

    def complete(
        self, key: OnceClaimKey, answer: StoredAnswer, now: float
    ) -> list[Effect]:
        """Store the whole answer of a claimed request."""
        record = self._record_by_key[key.account, key.idempotency_key]
        record.decision = OnceDecision.ANSWERED
        record.answer = answer
        return []

    def release(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Give up a claim whose request certainly did not run."""
        self._record_by_key.pop((key.account, key.idempotency_key), None)
        return []

    def mark_unknown(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Record that a claimed request may have run without an answer."""
        record = self._record_by_key[key.account, key.idempotency_key]
        record.decision = OnceDecision.UNKNOWN
        return []
