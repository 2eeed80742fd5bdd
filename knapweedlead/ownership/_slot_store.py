"""Store calls about slots that are under way."""

from collections.abc import Iterator

from knapweedlead.node import Effect, StoreCall, StoreCalls
from knapweedlead.ownership._record import SLOTS_PREFIX, encode_record, key_of
from knapweedlead.ownership._writes import SlotWrite
from knapweedlead.store import CompareAndSwap, Get, List

RETRY_SECONDS = 0.5
"""Seconds between two readings of one slot."""


class SlotStore:
    """Numbers store calls, one at a time for each slot.

    Parameters
    ----------
    store_calls : StoreCalls
        Allots numbers to store calls.
    """

    def __init__(self, store_calls: StoreCalls) -> None:
        self.store_calls = store_calls
        self.listing = 0
        self._next_read_by_slot: dict[int, float] = {}
        self._slot_by_call: dict[int, int] = {}
        self._write_by_call: dict[int, SlotWrite] = {}
        self._last_write_by_slot: dict[int, SlotWrite] = {}

    def list(self) -> Effect:
        """Read all slots."""
        self.listing = self.store_calls.next()
        return StoreCall(self.listing, List(SLOTS_PREFIX))

    def read(self, slot: int, now: float, pause: float = 0.0) -> Iterator[Effect]:
        """Read a slot unless that was done lately."""
        if now < self._next_read_by_slot.get(slot, now) or self.is_busy(slot):
            return
        self._next_read_by_slot[slot] = now + max(RETRY_SECONDS, pause)
        call = self.store_calls.next()
        self._slot_by_call[call] = slot
        yield StoreCall(call, Get(key_of(slot)))

    def read_at_once(self, slot: int, now: float) -> Iterator[Effect]:
        """Read a slot even if that was done lately."""
        self._next_read_by_slot.pop(slot, None)
        yield from self.read(slot, now)

    def write(self, write: SlotWrite, revision: int) -> Effect:
        """Write a slot's record.

        A record that is sent again keeps the time of its first sending.
        """
        slot = write.record.slot
        earlier = self._last_write_by_slot.get(slot)
        if earlier is not None and earlier.record == write.record:
            write = earlier
        self._last_write_by_slot[slot] = write
        call = self.store_calls.next()
        self._write_by_call[call] = write
        value = encode_record(write.record)
        return StoreCall(call, CompareAndSwap(key_of(slot), value, revision))

    def is_busy(self, slot: int) -> bool:
        """Return whether a call about a slot is under way."""
        return slot in self._slot_by_call.values() or self.is_writing(slot)

    def is_writing(self, slot: int) -> bool:
        """Return whether a write to a slot is under way."""
        writes = self._write_by_call.values()
        return any(write.record.slot == slot for write in writes)

    def pop_read(self, call: int) -> int | None:
        """Return the slot of a reading that was answered."""
        return self._slot_by_call.pop(call, None)

    def pop_write(self, call: int) -> SlotWrite | None:
        """Return a write that was answered."""
        return self._write_by_call.pop(call, None)

    def last_write(self, slot: int) -> SlotWrite | None:
        """Return the last write to a slot, answered or not."""
        return self._last_write_by_slot.get(slot)
