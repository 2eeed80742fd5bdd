"""Directory of the latest known slot records."""

from knapweedlead.ownership._record import SlotRecord, free_record
from knapweedlead.positions import StorePosition


class SlotDirectory:
    """Latest known record of each slot.

    Parameters
    ----------
    number_of_slots : int
        Number of slots in the fleet.
    """

    def __init__(self, number_of_slots: int) -> None:
        self.number_of_slots = number_of_slots
        self.record_by_slot = {i: free_record(i) for i in range(number_of_slots)}
        self.changed_at_by_slot: dict[int, float] = {}
        """When this daemon first read the current position from the store."""
        self._position_by_slot: dict[int, StorePosition] = {}

    def update(self, record: SlotRecord) -> bool:
        """Replace the known record if `record` is newer; return whether it is."""
        known = self.record_by_slot.get(record.slot)
        if known is None or record.age <= known.age:
            return False
        self.record_by_slot[record.slot] = record
        return True

    def update_from_store(
        self, record: SlotRecord, position: StorePosition, now: float
    ) -> None:
        """Apply a record that was read from the store."""
        slot = record.slot
        if self._position_by_slot.get(slot) != position:
            self._position_by_slot[slot] = position
            self.changed_at_by_slot[slot] = now
        self.update(record)

    def unchanged_for(self, slot: int, now: float) -> float:
        """Return the seconds for which the record in the store has not changed."""
        return now - self.changed_at_by_slot.get(slot, now)
