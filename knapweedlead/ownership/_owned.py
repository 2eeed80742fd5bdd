"""Authority of an owner, and the promise of a backup."""

import attrs

from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import CLOCK_MARGIN, OwnershipTimes


@attrs.define
class OwnedSlot:
    """A slot that this daemon owns.

    Parameters
    ----------
    record : SlotRecord
        As last confirmed by the store.
    renewed_at : float
        When the last confirmed renewal was sent.
    acts_from : float
        Time before which nothing may be done.
    promised_at : float or None
        When the heartbeat of the last promise was sent; None while the backup
        has been sent none, and so cannot take over.
    heard_at : float
        When the backup last answered.
    appointed_at : float
        When the store confirmed the backup.
    released_at : float or None
        When the daemon gave the slot up; it never acts for it again.
    """

    record: SlotRecord
    renewed_at: float
    acts_from: float
    promised_at: float | None = None
    heard_at: float = 0.0
    appointed_at: float = 0.0
    released_at: float | None = None

    def may_act(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether the daemon may act for the slot."""
        if self.released_at is not None or now < self.acts_from:
            return False
        if now >= self.renewed_at + times.lapse_s:
            return False
        promised_at = self.promised_at
        return promised_at is None or now < promised_at + times.promise_s


@attrs.define
class Guard:
    """A slot for which this daemon is the backup.

    Parameters
    ----------
    slot, epoch, appointment : int
        The appointment in the store under which it may take over.
    peer : str
        Link address of the owner.
    promised_at : float
        When the last promise was given.
    is_released : bool
        Whether the owner has said that it stopped.
    is_unresolved : bool
        Whether a takeover was sent to the store and its result is not known.
    """

    slot: int
    epoch: int
    appointment: int
    peer: str
    promised_at: float
    is_released: bool = False
    is_unresolved: bool = False
    next_attempt: float = 0.0

    def is_lapsed(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether the owner has certainly stopped."""
        return self.is_released or now >= self.lapses_at(times)

    def lapses_at(self, times: OwnershipTimes) -> float:
        """Return when the promise has lapsed on every clock."""
        return self.promised_at + times.promise_s * CLOCK_MARGIN

    def matches(self, record: SlotRecord, name: str, incarnation: int) -> bool:
        """Return whether the store still names this daemon under the appointment."""
        return (
            record.backup == name
            and record.backup_incarnation == incarnation
            and record.epoch == self.epoch
            and record.appointment == self.appointment
        )
