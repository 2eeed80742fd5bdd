"""State of the slots that a daemon owns or backs up."""

import attrs

from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import CLOCK_MARGIN, OwnershipTimes


@attrs.define
class OwnedSlot:
    """A slot that this daemon owns.

    Parameters
    ----------
    record : SlotRecord
        Record as last confirmed by the store.
    renewed_at : float
        When the last confirmed renewal was sent.
    may_act_from : float
        Time before which the daemon may not act for the slot.
    promised_at : float or None
        When the heartbeat of the last promise was sent; None while no heartbeat
        has been sent to the backup, which therefore cannot take over.
    responded_at : float
        When the last promise of the backup arrived, or when the first heartbeat was
        sent to the backup.
    appointed_at : float
        When the store confirmed the backup.
    released_at : float or None
        When the daemon released the slot, after which `may_act` returns False; None
        before.
    """

    record: SlotRecord
    renewed_at: float
    may_act_from: float
    promised_at: float | None = None
    responded_at: float = 0.0
    appointed_at: float = 0.0
    released_at: float | None = None

    def may_act(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether the daemon may act for the slot.

        True from `may_act_from` until the slot is released, the last renewal is
        `lapse_s` old or the last promise is `promise_s` old.
        """
        if self.released_at is not None or now < self.may_act_from:
            return False
        if now >= self.renewed_at + times.lapse_s:
            return False
        promised_at = self.promised_at
        return promised_at is None or now < promised_at + times.promise_s


@attrs.define
class BackupSlot:
    """A slot for which this daemon is the backup.

    Parameters
    ----------
    slot, epoch, appointment : int
        The slot, its epoch and `SlotRecord.appointment` of the appointment under
        which this daemon may take over.
    peer : str
        Link address of the owner.
    promised_at : float
        When the last promise was made.
    is_released : bool
        Whether the owner has announced that it stopped acting.
    is_unresolved : bool
        Whether a takeover was sent to the store and its result is unknown.
    """

    slot: int
    epoch: int
    appointment: int
    peer: str
    promised_at: float
    is_released: bool = False
    is_unresolved: bool = False
    next_attempt: float = 0.0

    def has_owner_stopped(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether the owner has released the slot or lost its authority."""
        return self.is_released or now >= self.promise_expires_at(times)

    def promise_expires_at(self, times: OwnershipTimes) -> float:
        """Return the time by which the promise has expired on the owner's clock too.

        Includes a margin for the difference in rate between the two clocks.
        """
        return self.promised_at + times.promise_s * CLOCK_MARGIN

    def matches(self, record: SlotRecord, name: str, incarnation: int) -> bool:
        """Return whether a record names this daemon under the same appointment."""
        return (
            record.backup == name
            and record.backup_incarnation == incarnation
            and record.epoch == self.epoch
            and record.appointment == self.appointment
        )
