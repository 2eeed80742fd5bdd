"""Creation of store calls for slots and tracking of those calls in flight."""

from collections.abc import Iterator

from knapweedlead.node import Effect, StoreCall, StoreCallIds
from knapweedlead.ownership._record import SLOTS_PREFIX, encode_record, store_key
from knapweedlead.ownership._writes import SlotWrite
from knapweedlead.positions import StorePosition
from knapweedlead.store import CompareAndSwap, Get, List

READ_INTERVAL_SECONDS = 0.5
"""Minimum seconds between two readings of one slot."""


class SlotStore:
    """Issues store calls, at most one at a time for each slot.

    Parameters
    ----------
    store_calls : StoreCallIds
        Allocates the numbers of store calls.
    """

    def __init__(self, store_calls: StoreCallIds) -> None:
        self.store_calls = store_calls
        self.listing = 0
        self._next_read_by_slot: dict[int, float] = {}
        self._slot_by_call: dict[int, int] = {}
        self._write_by_call: dict[int, SlotWrite] = {}
        self._last_write_by_slot: dict[int, SlotWrite] = {}

    def list(self) -> Effect:
        """Return the call that lists all slots."""
        self.listing = self.store_calls.next()
        return StoreCall(self.listing, List(SLOTS_PREFIX))

    def read(self, slot: int, now: float, pause: float = 0.0) -> Iterator[Effect]:
        """Read a slot unless it was read recently or has a call in flight."""
        if now < self._next_read_by_slot.get(slot, now) or self.is_busy(slot):
            return
        self._next_read_by_slot[slot] = now + max(READ_INTERVAL_SECONDS, pause)
        call = self.store_calls.next()
        self._slot_by_call[call] = slot
        yield StoreCall(call, Get(store_key(slot)))

    def read_now(self, slot: int, now: float) -> Iterator[Effect]:
        """Read a slot unless it has a call in flight."""
        self._next_read_by_slot.pop(slot, None)
        yield from self.read(slot, now)

    def write(self, write: SlotWrite, expected: StorePosition) -> Effect:
        """Return the call that writes a slot's record.

        A retry of the same record keeps the time at which it was first sent.
        """
        slot = write.record.slot
        earlier = self._last_write_by_slot.get(slot)
        if earlier is not None and earlier.record == write.record:
            write = earlier
        self._last_write_by_slot[slot] = write
        call = self.store_calls.next()
        self._write_by_call[call] = write
        value = encode_record(write.record)
        return StoreCall(call, CompareAndSwap(store_key(slot), value, expected))

    def is_busy(self, slot: int) -> bool:
        """Return whether a call for a slot is in flight."""
        return slot in self._slot_by_call.values() or self.is_writing(slot)

    def is_writing(self, slot: int) -> bool:
        """Return whether a write to a slot is in flight."""
        writes = self._write_by_call.values()
        return any(write.record.slot == slot for write in writes)

    def pop_read(self, call: int) -> int | None:
        """Remove a completed read and return its slot; None if it is unknown."""
        return self._slot_by_call.pop(call, None)

    def pop_write(self, call: int) -> SlotWrite | None:
        """Remove a completed write and return it; None if it is unknown."""
        return self._write_by_call.pop(call, None)

    def last_write(self, slot: int) -> SlotWrite | None:
        """Return the last write sent for a slot, whether completed or not."""
        return self._last_write_by_slot.get(slot)
