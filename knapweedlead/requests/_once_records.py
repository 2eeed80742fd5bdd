"""Once records of one slot, bounded in bytes and in time."""

import math
from collections.abc import Iterator

import attrs

from knapweedlead.requests._once_keys import minted_at
from knapweedlead.requests._once_messages import NO_ANSWER, Claimant, RecordState

IN_PROGRESS = "in_progress"
ANSWERED = "answered"
UNKNOWN = "unknown"
RELEASED = "released"

RETENTION_SECONDS = 3600.0
"""Seconds for which a record of a key with a time is kept."""

UNTIMED_RETENTION_SECONDS = 86_400.0
"""Seconds for which a record of a key without a time is kept."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Bytes of answers that one slot keeps."""

MAX_FUTURE_SECONDS = 60.0
"""A key minted further ahead than this counts as one without a time."""

RecordKey = tuple[str, str]


@attrs.define
class Record:
    """A record with its age.

    Parameters
    ----------
    state : RecordState
        What is kept.
    created_at : float
        Seconds, monotonic.
    number : int
        Number of the last copy.
    minted : float or None
        Unix time in the key, where it is believed.
    """

    state: RecordState
    created_at: float
    number: int = 0
    minted: float | None = None

    @property
    def claimant(self) -> Claimant:
        """Return the call that claimed the key."""
        return self.state.claimant

    def end(self, state: str) -> None:
        """Set another state, without an answer."""
        self.state = attrs.evolve(self.state, state=state, answer=NO_ANSWER)


def record_key(state: RecordState) -> RecordKey:
    """Return what names a record."""
    return state.account, state.idempotency_key


class Records:
    """The records of one slot.

    Attributes
    ----------
    horizon : float
        Unix time until which minted keys may belong to forgotten records.
    trusted_from : float
        Unix time from which minted keys without a record are certainly new.
    """

    def __init__(self) -> None:
        self.by_key: dict[RecordKey, Record] = {}
        self.horizon = -math.inf
        self.trusted_from = -math.inf
        self.untimed_trusted_at = -math.inf
        """Monotonic time from which keys without a time are certainly new."""
        self._answer_bytes = 0

    def put(self, state: RecordState, number: int, now: float, wall: float) -> Record:
        """Store a record or its next state."""
        key = record_key(state)
        record = self.by_key.get(key)
        if record is None:
            minted = believed_time(state.idempotency_key, wall)
            record = Record(state, now, number, minted)
            self.by_key[key] = record
        else:
            self._answer_bytes -= len(record.state.answer.body)
            record.state = state
            record.number = number
        self._answer_bytes += len(state.answer.body)
        return record

    def remove(self, key: RecordKey) -> None:
        """Remove a record whose request did not run."""
        record = self.by_key.pop(key, None)
        if record is not None:
            self._answer_bytes -= len(record.state.answer.body)

    def is_certainly_new(self, idempotency_key: str, now: float, wall: float) -> bool:
        """Return whether a key without a record was never used."""
        minted = believed_time(idempotency_key, wall)
        if minted is None:
            return now >= self.untimed_trusted_at
        return minted > self.horizon and minted >= self.trusted_from

    def distrust(self, now: float, wall: float, margin: float) -> None:
        """Trust only keys minted from now on, give or take the margin."""
        self.trusted_from = wall + margin
        self.untimed_trusted_at = now + UNTIMED_RETENTION_SECONDS

    def forget(self, now: float) -> Iterator[Record]:
        """Drop answers over the limit of bytes, and records out of their time."""
        for record in self.by_key.values():
            if self._answer_bytes <= MAX_ANSWER_BYTES:
                break
            if record.state.answer.status:
                self._answer_bytes -= len(record.state.answer.body)
                record.end(UNKNOWN)
        for key in self._outdated(now):
            record = self.by_key[key]
            self.remove(key)
            if record.minted is not None:
                self.horizon = max(self.horizon, record.minted)
            yield record

    def _outdated(self, now: float) -> list[RecordKey]:
        return [
            key
            for key, record in self.by_key.items()
            if now >= record.created_at + _retention(record)
        ]


def _retention(record: Record) -> float:
    return UNTIMED_RETENTION_SECONDS if record.minted is None else RETENTION_SECONDS


def believed_time(idempotency_key: str, wall: float) -> float | None:
    """Return the Unix time in a key, unless it lies ahead of the present."""
    minted = minted_at(idempotency_key)
    if minted is None or minted > wall + MAX_FUTURE_SECONDS:
        return None
    return minted
