"""Heartbeats that an owner sends to its backups, and the promises in reply."""

import itertools

import attrs

from knapweedlead.ownership._messages import Appointment, SlotHeartbeat, SlotPromise
from knapweedlead.ownership._owned import OwnedSlot

MAX_PENDING_HEARTBEATS = 256


@attrs.frozen
class _Sent:
    at: float
    peer: str


class HeartbeatTracker:
    """Numbers heartbeats and matches each promise to the send time of its heartbeat."""

    def __init__(self) -> None:
        self._sequences = itertools.count(1)
        self._sent_by_sequence: dict[int, _Sent] = {}

    def heartbeats(
        self, owned: list[OwnedSlot], now: float
    ) -> list[tuple[str, SlotHeartbeat]]:
        """Return one heartbeat for each backup, paired with its link address."""
        with_backup = [slot for slot in owned if slot.record.backup]
        for slot in with_backup:
            if slot.promised_at is None:
                slot.promised_at = now
                slot.responded_at = now
        by_backup = itertools.groupby(
            sorted(with_backup, key=_backup_of), key=_backup_of
        )
        return [self._heartbeat(key, list(slots), now) for key, slots in by_backup]

    def _heartbeat(
        self, backup: tuple[str, int], slots: list[OwnedSlot], now: float
    ) -> tuple[str, SlotHeartbeat]:
        peer, incarnation = backup
        sequence = next(self._sequences)
        self._sent_by_sequence[sequence] = _Sent(now, peer)
        self._sent_by_sequence.pop(sequence - MAX_PENDING_HEARTBEATS, None)
        appointments = tuple(appointment_of(slot) for slot in slots)
        return peer, SlotHeartbeat(sequence, incarnation, appointments)

    def apply_promise(
        self,
        peer: str,
        promise: SlotPromise,
        owned_by_slot: dict[int, OwnedSlot],
        now: float,
    ) -> None:
        """Extend the authority over the slots that a promise covers."""
        sent = self._sent_by_sequence.get(promise.sequence)
        if sent is None or sent.peer != peer:
            return
        for appointment in promise.appointments:
            slot = owned_by_slot.get(appointment.slot)
            if slot is not None and appointment_of(slot) == appointment:
                slot.promised_at = max(slot.promised_at or 0.0, sent.at)
                slot.responded_at = now


def appointment_of(slot: OwnedSlot) -> Appointment:
    """Return the appointment of an owned slot's backup."""
    record = slot.record
    return Appointment(record.slot, record.epoch, record.appointment)


def _backup_of(slot: OwnedSlot) -> tuple[str, int]:
    return slot.record.backup_address, slot.record.backup_incarnation
