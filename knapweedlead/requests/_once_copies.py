"""Unconfirmed copies of once records that an owner sent to backups."""

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
"""Seconds after which an unconfirmed copy is sent again."""

CopyMessage = OnceCopy | OnceCopyEnd


@attrs.define
class _PendingCopy:
    peer: str
    message: CopyMessage
    sent_at: float
    claims: list[tuple[str, OnceClaim]] = attrs.field(factory=list)


class PendingCopies:
    """Copies without a confirmation, and the claims that depend on them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._by_slot_and_number: dict[tuple[int, int], _PendingCopy] = {}
        self._confirmed_claims: dict[int, list[tuple[str, OnceClaim]]] = {}
        self._end_by_slot: dict[int, tuple[str, OnceCopyEnd]] = {}

    def send(self, owner: SlotRecord, record: Record, now: float) -> Effect:
        """Send a record to the backup of its slot.

        The copy replaces an unconfirmed copy of the record and inherits the
        claims that wait for it.
        """
        number = next(self._numbers)
        superseded = self._by_slot_and_number.pop((owner.slot, record.number), None)
        record.number = number
        copy = OnceCopy(
            owner.slot, owner.epoch, owner.appointment, number, record.state
        )
        claims = superseded.claims if superseded else []
        pending = _PendingCopy(owner.backup_address, copy, now, claims)
        self._by_slot_and_number[owner.slot, number] = pending
        return SendMessage(owner.backup_address, copy)

    def send_all(
        self, owner: SlotRecord, records: Records, now: float
    ) -> Iterator[Effect]:
        """Send every record of a slot to a new backup.

        The end message follows when all copies of the slot are confirmed.
        Without a backup, claims that wait for copies count as confirmed.
        """
        slot = owner.slot
        self._end_by_slot.pop(slot, None)
        if not owner.backup:
            self._confirm_all(slot)
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

    def _confirm_all(self, slot: int) -> None:
        for key in self._keys_of(slot):
            pending = self._by_slot_and_number.pop(key)
            self._confirmed_claims.setdefault(slot, []).extend(pending.claims)

    def drop(self, slot: int) -> None:
        """Discard the copies and waiting claims of a slot that is no longer owned."""
        self._end_by_slot.pop(slot, None)
        self._confirmed_claims.pop(slot, None)
        for key in self._keys_of(slot):
            del self._by_slot_and_number[key]

    def _keys_of(self, slot: int) -> list[tuple[int, int]]:
        return [key for key in self._by_slot_and_number if key[0] == slot]

    def is_pending(self, slot: int, number: int) -> bool:
        """Return whether a copy was sent and is not confirmed yet."""
        return (slot, number) in self._by_slot_and_number

    def await_confirmation(
        self, slot: int, number: int, peer: str, claim: OnceClaim
    ) -> None:
        """Defer the decision on a claim until its copy is confirmed."""
        claims = self._by_slot_and_number[slot, number].claims
        if (peer, claim) not in claims:
            claims.append((peer, claim))

    def confirm(self, copied: OnceCopied) -> None:
        """Record that a backup stored a copy; number 0 confirms the end message."""
        if copied.number == 0:
            self._end_by_slot.pop(copied.slot, None)
            return
        pending = self._by_slot_and_number.pop((copied.slot, copied.number), None)
        if pending is not None:
            self._confirmed_claims.setdefault(copied.slot, []).extend(pending.claims)

    def pop_confirmed_claims(self, slot: int) -> list[tuple[str, OnceClaim]]:
        """Remove and return the claims whose copies were confirmed."""
        return self._confirmed_claims.pop(slot, [])

    def resend(self, now: float, only_slot: int | None = None) -> Iterator[Effect]:
        """Send due copies again, or all unconfirmed copies of `only_slot`."""
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
