"""Slots for which a daemon is the backup."""

from knapweedlead.node import Identity
from knapweedlead.ownership._messages import Appointment
from knapweedlead.ownership._owned import BackupSlot
from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import OwnershipTimes


class BackupSlots:
    """Slots for which this daemon is the backup, with its promises to their owners.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    times : OwnershipTimes
        Timing of slot ownership.
    """

    def __init__(self, identity: Identity, times: OwnershipTimes) -> None:
        self.identity = identity
        self.times = times
        self.by_slot: dict[int, BackupSlot] = {}

    def promise(
        self, peer: str, appointment: Appointment, is_claiming: bool, now: float
    ) -> bool:
        """Renew the promise not to take over; return False if none is possible."""
        backup_slot = self._for_appointment(peer, appointment, now)
        if (
            backup_slot is None
            or backup_slot.is_released
            or backup_slot.is_unresolved
            or is_claiming
        ):
            return False
        backup_slot.promised_at = now
        return True

    def record_handover(self, peer: str, appointment: Appointment, now: float) -> bool:
        """Record that an owner has stopped; False if a later appointment is known."""
        backup_slot = self._for_appointment(peer, appointment, now)
        if backup_slot is None:
            return False
        backup_slot.is_released = True
        return True

    def _for_appointment(
        self, peer: str, appointment: Appointment, now: float
    ) -> BackupSlot | None:
        """Find or add an appointment's slot; None if a later appointment is known."""
        backup_slot = self.by_slot.get(appointment.slot)
        order = appointment.epoch, appointment.number
        if backup_slot is None or (backup_slot.epoch, backup_slot.appointment) < order:
            backup_slot = BackupSlot(
                appointment.slot, appointment.epoch, appointment.number, peer, now
            )
            self.by_slot[appointment.slot] = backup_slot
        return (
            backup_slot
            if (backup_slot.epoch, backup_slot.appointment) == order
            else None
        )

    def reconcile(self, record: SlotRecord, is_owner: bool) -> None:
        """Clear `is_unresolved` and remove the slot if its appointment has ended.

        A slot that this daemon owns is retained.
        """
        backup_slot = self.by_slot.get(record.slot)
        if backup_slot is None:
            return
        backup_slot.is_unresolved = False
        identity = self.identity
        if not is_owner and not backup_slot.matches(
            record, identity.name, identity.incarnation
        ):
            del self.by_slot[record.slot]

    def set_unresolved(self, slot: int, is_unresolved: bool) -> None:
        """Set whether the result of a write to the slot's record is unknown."""
        backup_slot = self.by_slot.get(slot)
        if backup_slot is not None:
            backup_slot.is_unresolved = is_unresolved

    def slots_due_for_takeover(self, now: float) -> list[int]:
        """Return the slots whose owner has released the slot or lost its authority."""
        return [
            slot
            for slot, backup_slot in self.by_slot.items()
            if backup_slot.has_owner_stopped(now, self.times)
        ]
