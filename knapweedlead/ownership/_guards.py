"""Slots for which a daemon is the backup."""

from knapweedlead.node import Identity
from knapweedlead.ownership._messages import Appointment
from knapweedlead.ownership._owned import Guard
from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import OwnershipTimes


class Guards:
    """Promises that this daemon has given as a backup.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    times : OwnershipTimes
        Times of the slots.
    """

    def __init__(self, identity: Identity, times: OwnershipTimes) -> None:
        self.identity = identity
        self.times = times
        self.by_slot: dict[int, Guard] = {}

    def promise(
        self, peer: str, named: Appointment, is_claiming: bool, now: float
    ) -> bool:
        """Promise not to take over; False where that is no longer certain."""
        guard = self._guard_of(peer, named, now)
        if guard is None or guard.is_released or guard.is_unresolved or is_claiming:
            return False
        guard.promised_at = now
        return True

    def hand_over(self, peer: str, named: Appointment, now: float) -> bool:
        """Note that an owner has stopped; return whether the slot may be taken."""
        guard = self._guard_of(peer, named, now)
        if guard is None:
            return False
        guard.is_released = True
        return True

    def _guard_of(self, peer: str, named: Appointment, now: float) -> Guard | None:
        """Return the guard of an appointment; None where a later one is known."""
        guard = self.by_slot.get(named.slot)
        order = named.epoch, named.number
        if guard is None or (guard.epoch, guard.appointment) < order:
            guard = Guard(named.slot, named.epoch, named.number, peer, now)
            self.by_slot[named.slot] = guard
        return guard if (guard.epoch, guard.appointment) == order else None

    def settle(self, record: SlotRecord, is_own: bool) -> None:
        """Compare a guard with a record that was read."""
        guard = self.by_slot.get(record.slot)
        if guard is None:
            return
        guard.is_unresolved = False
        identity = self.identity
        if not is_own and not guard.matches(
            record, identity.name, identity.incarnation
        ):
            del self.by_slot[record.slot]

    def set_unresolved(self, slot: int, is_unresolved: bool) -> None:
        """Note whether a takeover is on its way to the store."""
        guard = self.by_slot.get(slot)
        if guard is not None:
            guard.is_unresolved = is_unresolved

    def lapsed_slots(self, now: float) -> list[int]:
        """Return the slots whose owners have certainly stopped."""
        return [
            slot
            for slot, guard in self.by_slot.items()
            if guard.is_lapsed(now, self.times)
        ]
