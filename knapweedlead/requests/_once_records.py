"""Once records of one slot, with limits on age and answer size."""

import math
from collections.abc import Iterator

import attrs

from knapweedlead.requests._once_keys import key_creation_time
from knapweedlead.requests._once_messages import NO_ANSWER, Claimant, RecordState

IN_PROGRESS = "in_progress"
ANSWERED = "answered"
UNKNOWN = "unknown"
RELEASED = "released"

RETENTION_SECONDS = 3600.0
"""Seconds for which the record of a key with a creation time is kept."""

UNTIMED_RETENTION_SECONDS = 86_400.0
"""Seconds for which the record of a key without a creation time is kept."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum total size of the stored answers of one slot, in bytes."""

MAX_FUTURE_SECONDS = 60.0
"""Maximum seconds a creation time may lie in the future; a later time is ignored."""

RecordKey = tuple[str, str]


@attrs.define
class Record:
    """A once record with its age.

    Parameters
    ----------
    state : RecordState
        Identity, claimant, state and answer.
    created_at : float
        Time when the record was stored here, in monotonic seconds.
    number : int
        Sequence number of its last copy.
    key_time : float or None
        Creation time of the key in Unix seconds; None if absent or not credible.
    """

    state: RecordState
    created_at: float
    number: int = 0
    key_time: float | None = None

    @property
    def claimant(self) -> Claimant:
        """Call that claimed the key."""
        return self.state.claimant

    def end(self, state: str) -> None:
        """Set the state and remove the answer."""
        self.state = attrs.evolve(self.state, state=state, answer=NO_ANSWER)


def record_key(state: RecordState) -> RecordKey:
    """Return the key of a record: client account and idempotency key."""
    return state.account, state.idempotency_key


class Records:
    """The once records of one slot.

    Attributes
    ----------
    horizon : float
        Keys created up to this Unix time may belong to evicted records.
    trusted_from : float
        Keys created before this Unix time may have been used although they
        have no record.
    """

    def __init__(self) -> None:
        self.by_key: dict[RecordKey, Record] = {}
        self.horizon = -math.inf
        self.trusted_from = -math.inf
        self.untimed_trusted_from = -math.inf
        """Monotonic time from which keys without a time or record are certainly new."""
        self._answer_bytes = 0

    def put(
        self, state: RecordState, number: int, now: float, wall_time: float
    ) -> Record:
        """Add a record, or replace the state of a stored one, and return it."""
        key = record_key(state)
        record = self.by_key.get(key)
        if record is None:
            key_time = credible_key_time(state.idempotency_key, wall_time)
            record = Record(state, now, number, key_time)
            self.by_key[key] = record
        else:
            self._answer_bytes -= len(record.state.answer.body)
            record.state = state
            record.number = number
        self._answer_bytes += len(state.answer.body)
        return record

    def remove(self, key: RecordKey) -> None:
        """Remove a record; a key without a record is ignored."""
        record = self.by_key.pop(key, None)
        if record is not None:
            self._answer_bytes -= len(record.state.answer.body)

    def is_certainly_new(
        self, idempotency_key: str, now: float, wall_time: float
    ) -> bool:
        """Return whether a key without a record was certainly never used."""
        key_time = credible_key_time(idempotency_key, wall_time)
        if key_time is None:
            return now >= self.untimed_trusted_from
        return key_time > self.horizon and key_time >= self.trusted_from

    def distrust_older_keys(self, now: float, wall_time: float, margin: float) -> None:
        """Count only keys created at least `margin` seconds after now as new.

        Keys without a creation time count as new again after
        `UNTIMED_RETENTION_SECONDS`.
        """
        self.trusted_from = wall_time + margin
        self.untimed_trusted_from = now + UNTIMED_RETENTION_SECONDS

    def evict(self, now: float) -> Iterator[Record]:
        """Remove answers above the byte limit, then remove and yield expired records.

        Answers are removed from the oldest records first, and the state of these
        records becomes unknown.
        """
        for record in self.by_key.values():
            if self._answer_bytes <= MAX_ANSWER_BYTES:
                break
            if record.state.answer.status:
                self._answer_bytes -= len(record.state.answer.body)
                record.end(UNKNOWN)
        for key in self._expired_keys(now):
            record = self.by_key[key]
            self.remove(key)
            if record.key_time is not None:
                self.horizon = max(self.horizon, record.key_time)
            yield record

    def _expired_keys(self, now: float) -> list[RecordKey]:
        return [
            key
            for key, record in self.by_key.items()
            if now >= record.created_at + _retention(record)
        ]


def _retention(record: Record) -> float:
    return UNTIMED_RETENTION_SECONDS if record.key_time is None else RETENTION_SECONDS


def credible_key_time(idempotency_key: str, wall_time: float) -> float | None:
    """Return the creation time of a key, or None if absent or far in the future."""
    key_time = key_creation_time(idempotency_key)
    if key_time is None or key_time > wall_time + MAX_FUTURE_SECONDS:
        return None
    return key_time
