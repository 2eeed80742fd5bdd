"""Copies of once records that a daemon holds as a backup."""

from collections.abc import Iterator

import attrs

from knapweedlead.node import Effect, SendMessage
from knapweedlead.ownership import SlotAcquired, Takeover
from knapweedlead.requests._once_messages import OnceCopied, OnceCopy, OnceCopyEnd
from knapweedlead.requests._once_records import RELEASED, Records, record_key

_SUCCESSIONS = (Takeover.BACKUP, Takeover.HANDOVER)


@attrs.define
class _Copies:
    records: Records = attrs.field(factory=Records)
    epoch: int = 0
    appointment: int = 0
    """The appointment for which the copies are complete; 0 for none."""


class OnceBackup:
    """Stores the records of slots for which this daemon is the backup."""

    def __init__(self) -> None:
        self._copies_by_slot: dict[int, _Copies] = {}

    def on_copy(
        self, peer: str, copy: OnceCopy, now: float, wall: float
    ) -> Iterator[Effect]:
        """Store a copy unless a newer one is here."""
        copies = self._copies_by_slot.setdefault(copy.slot, _Copies())
        if copy.epoch < copies.epoch:
            return
        if copy.epoch > copies.epoch:
            self._begin_epoch(copies, copy.epoch)
        records = copies.records
        known = records.by_key.get(record_key(copy.record))
        if known is None or known.number < copy.number:
            record = records.put(copy.record, copy.number, now, wall)
            if record.state.state == RELEASED:
                records.remove(record_key(copy.record))
        yield SendMessage(peer, OnceCopied(copy.slot, copy.epoch, copy.number))

    def _begin_epoch(self, copies: _Copies, epoch: int) -> None:
        copies.epoch = epoch
        copies.appointment = 0
        for record in copies.records.by_key.values():
            record.number = 0

    def on_end(self, peer: str, end: OnceCopyEnd) -> Iterator[Effect]:
        """Note that the copies are complete."""
        copies = self._copies_by_slot.setdefault(end.slot, _Copies())
        if end.epoch < copies.epoch:
            return
        if end.epoch > copies.epoch:
            self._begin_epoch(copies, end.epoch)
        copies.appointment = max(copies.appointment, end.appointment)
        records = copies.records
        records.horizon = max(records.horizon, end.horizon)
        records.trusted_from = max(records.trusted_from, end.trusted_from)
        yield SendMessage(peer, OnceCopied(end.slot, end.epoch, 0))

    def succeed(self, event: SlotAcquired) -> tuple[Records, bool]:
        """Return the records of a slot that was taken over, and if all are here."""
        copies = self._copies_by_slot.pop(event.slot, _Copies())
        for record in copies.records.by_key.values():
            record.number = 0
        is_complete = (
            event.takeover in _SUCCESSIONS
            and copies.epoch == event.epoch - 1
            and copies.appointment == event.appointment
            and event.appointment > 0
        )
        return copies.records, is_complete

    def forget(self, now: float) -> None:
        """Drop what is out of its time."""
        for copies in self._copies_by_slot.values():
            for _ in copies.records.forget(now):
                pass
