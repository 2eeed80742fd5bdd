"""Copies of once records on their way to backups."""

import itertools
from collections.abc import Iterator

import attrs

from knapweedlead.node import Effect, SendMessage
from knapweedlead.ownership import SlotRecord
from knapweedlead.requests._once_messages import (
    OnceClaim,
    OnceCopied,
    OnceCopy,
    OnceCopyEnd,
)
from knapweedlead.requests._once_records import Record, Records

RESEND_SECONDS = 0.25

CopyMessage = OnceCopy | OnceCopyEnd


@attrs.define
class _UnderWay:
    peer: str
    message: CopyMessage
    sent_at: float
    verdicts: list[tuple[str, OnceClaim]] = attrs.field(factory=list)


class CopiesUnderWay:
    """Copies that no backup has confirmed, and the claims that wait for them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._by_slot_and_number: dict[tuple[int, int], _UnderWay] = {}
        self._decided: dict[int, list[tuple[str, OnceClaim]]] = {}
        self._end_by_slot: dict[int, tuple[str, OnceCopyEnd]] = {}

    def send(self, owner: SlotRecord, record: Record, now: float) -> Effect:
        """Send one record to the backup of its slot."""
        number = next(self._numbers)
        waiting = self._by_slot_and_number.pop((owner.slot, record.number), None)
        record.number = number
        copy = OnceCopy(
            owner.slot, owner.epoch, owner.appointment, number, record.state
        )
        verdicts = waiting.verdicts if waiting else []
        under_way = _UnderWay(owner.backup_address, copy, now, verdicts)
        self._by_slot_and_number[owner.slot, number] = under_way
        return SendMessage(owner.backup_address, copy)

    def restart(
        self, owner: SlotRecord, records: Records, now: float
    ) -> Iterator[Effect]:
        """Send every record to a new backup, and then say that these were all."""
        slot = owner.slot
        self._end_by_slot.pop(slot, None)
        if not owner.backup:
            self._give_up(slot)
            return
        for record in records.by_key.values():
            yield self.send(owner, record, now)
        end = OnceCopyEnd(
            slot,
            owner.epoch,
            owner.appointment,
            records.horizon,
            records.trusted_from,
        )
        self._end_by_slot[slot] = owner.backup_address, end
        yield from self._send_end_if_due(slot)

    def _give_up(self, slot: int) -> None:
        for key in self._keys_of(slot):
            under_way = self._by_slot_and_number.pop(key)
            self._decided.setdefault(slot, []).extend(under_way.verdicts)

    def drop(self, slot: int) -> None:
        """Forget the copies of a slot that is no longer owned."""
        self._end_by_slot.pop(slot, None)
        self._decided.pop(slot, None)
        for key in self._keys_of(slot):
            del self._by_slot_and_number[key]

    def _keys_of(self, slot: int) -> list[tuple[int, int]]:
        return [key for key in self._by_slot_and_number if key[0] == slot]

    def is_under_way(self, slot: int, number: int) -> bool:
        """Return whether a copy is not confirmed yet."""
        return (slot, number) in self._by_slot_and_number

    def await_verdict(
        self, slot: int, number: int, peer: str, claim: OnceClaim
    ) -> None:
        """Have a claim decided once its copy is confirmed."""
        verdicts = self._by_slot_and_number[slot, number].verdicts
        if (peer, claim) not in verdicts:
            verdicts.append((peer, claim))

    def confirm(self, copied: OnceCopied) -> None:
        """Take up that a backup has stored a copy."""
        if copied.number == 0:
            self._end_by_slot.pop(copied.slot, None)
            return
        under_way = self._by_slot_and_number.pop((copied.slot, copied.number), None)
        if under_way is not None:
            self._decided.setdefault(copied.slot, []).extend(under_way.verdicts)

    def pop_decided(self, slot: int) -> list[tuple[str, OnceClaim]]:
        """Return the claims whose copies have been confirmed since."""
        return self._decided.pop(slot, [])

    def resend(self, now: float, only_slot: int | None = None) -> Iterator[Effect]:
        """Send unconfirmed copies again."""
        for (slot, _), copy in self._by_slot_and_number.items():
            is_due = now >= copy.sent_at + RESEND_SECONDS or slot == only_slot
            if is_due and only_slot in (None, slot):
                copy.sent_at = now
                yield SendMessage(copy.peer, copy.message)
        for slot in list(self._end_by_slot):
            yield from self._send_end_if_due(slot)

    def _send_end_if_due(self, slot: int) -> Iterator[Effect]:
        if not self._keys_of(slot):
            peer, end = self._end_by_slot[slot]
            yield SendMessage(peer, end)
