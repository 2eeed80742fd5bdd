"""Copies of once records that a daemon stores as a backup."""

from collections.abc import Iterator

import attrs

from knapweedlead.node import Effect, SendMessage
from knapweedlead.ownership import SlotAcquired, Takeover
from knapweedlead.requests._once_messages import OnceCopied, OnceCopy, OnceCopyEnd
from knapweedlead.requests._once_records import RELEASED, Records, record_key

_BACKUP_TAKEOVERS = (Takeover.BACKUP, Takeover.HANDOVER)


@attrs.define
class _Copies:
    records: Records = attrs.field(factory=Records)
    epoch: int = 0
    appointment: int = 0
    """Appointment for which the copies are complete; 0 for none."""


class OnceBackup:
    """Stores the records of slots for which this daemon is the backup."""

    def __init__(self) -> None:
        self._copies_by_slot: dict[int, _Copies] = {}

    def on_copy(
        self, peer: str, copy: OnceCopy, now: float, wall_time: float
    ) -> Iterator[Effect]:
        """Store a copy unless a newer one is stored, and confirm it.

        Copies of an outdated epoch are ignored and not confirmed.
        """
        copies = self._copies_by_slot.setdefault(copy.slot, _Copies())
        if copy.epoch < copies.epoch:
            return
        if copy.epoch > copies.epoch:
            self._begin_epoch(copies, copy.epoch)
        records = copies.records
        known = records.by_key.get(record_key(copy.record))
        if known is None or known.number < copy.number:
            record = records.put(copy.record, copy.number, now, wall_time)
            if record.state.state == RELEASED:
                records.remove(record_key(copy.record))
        yield SendMessage(peer, OnceCopied(copy.slot, copy.epoch, copy.number))

    def _begin_epoch(self, copies: _Copies, epoch: int) -> None:
        copies.epoch = epoch
        copies.appointment = 0
        for record in copies.records.by_key.values():
            record.number = 0

    def on_end(self, peer: str, end: OnceCopyEnd) -> Iterator[Effect]:
        """Record that all copies of a slot were sent, and confirm the end message."""
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

    def pop_records(self, event: SlotAcquired) -> tuple[Records, bool]:
        """Remove and return the records of an acquired slot.

        Returns
        -------
        records : Records
            The records copied to this daemon.
        is_complete : bool
            Whether `records` holds all records of the previous owner. This
            requires that this daemon was the backup of that owner, that the
            slot was acquired in the epoch after that of the copies, and that
            the copies were completed for the same appointment.
        """
        copies = self._copies_by_slot.pop(event.slot, _Copies())
        for record in copies.records.by_key.values():
            record.number = 0
        is_complete = (
            event.takeover in _BACKUP_TAKEOVERS
            and copies.epoch == event.epoch - 1
            and copies.appointment == event.appointment
            and event.appointment > 0
        )
        return copies.records, is_complete

    def evict(self, now: float) -> None:
        """Evict expired records, and answers above the byte limit of a slot."""
        for copies in self._copies_by_slot.values():
            for _ in copies.records.evict(now):
                pass
