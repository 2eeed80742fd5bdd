"""What a daemon knows about the slots."""

from knapweedlead.ownership._record import SlotRecord, free_record


class SlotDirectory:
    """The newest known record of each slot.

    Parameters
    ----------
    number_of_slots : int
        How many slots the fleet has.
    """

    def __init__(self, number_of_slots: int) -> None:
        self.number_of_slots = number_of_slots
        self.record_by_slot = {i: free_record(i) for i in range(number_of_slots)}
        self.changed_at_by_slot: dict[int, float] = {}
        """When this daemon first saw the present revision in the store."""
        self._revision_by_slot: dict[int, int] = {}

    def learn(self, record: SlotRecord) -> bool:
        """Take up a record if it is newer; return whether it was."""
        known = self.record_by_slot.get(record.slot)
        if known is None or record.age <= known.age:
            return False
        self.record_by_slot[record.slot] = record
        return True

    def observe(self, record: SlotRecord, revision: int, now: float) -> None:
        """Take up a record as read from the store."""
        slot = record.slot
        if self._revision_by_slot.get(slot) != revision:
            self._revision_by_slot[slot] = revision
            self.changed_at_by_slot[slot] = now
        self.learn(record)

    def unchanged_for(self, slot: int, now: float) -> float:
        """Return for how many seconds the store's record has not changed."""
        return now - self.changed_at_by_slot.get(slot, now)
