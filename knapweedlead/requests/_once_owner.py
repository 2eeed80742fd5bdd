"""Once records at the owner of their slot."""

from collections.abc import Iterator

import attrs
import xxhash
from result import Err

from knapweedlead.errors import StoreFault
from knapweedlead.membership import MembershipRole
from knapweedlead.node import (
    Count,
    Effect,
    SendMessage,
    StoreAnswered,
    StoreCall,
    StoreCallIds,
)
from knapweedlead.ownership import OwnershipRole, SlotAcquired, Takeover
from knapweedlead.requests._once import OnceDecision
from knapweedlead.requests._once_backup import OnceBackup
from knapweedlead.requests._once_copies import PendingCopies
from knapweedlead.requests._once_messages import (
    NO_ANSWER,
    OnceAnswer,
    OnceClaim,
    OnceCopied,
    OnceSettled,
    OnceSettlement,
    OnceVerdict,
    RecordState,
)
from knapweedlead.requests._once_records import (
    ANSWERED,
    RELEASED,
    UNKNOWN,
    Record,
    Records,
    record_key,
)
from knapweedlead.store import ABSENT, CompareAndSwap, Delete, Entry, Get

ONCE_PREFIX = "knapweedlead/once/"

CLAIM_SECONDS = 600.0
"""Seconds after which a claim without a settlement counts as unknown."""

CLOCK_SKEW_MARGIN = 60.0
"""Maximum total error of a caller's and this daemon's clock, in seconds."""

EVICTION_PERIOD = 1.0
"""Seconds between evictions of expired records."""


@attrs.define
class _Slot:
    epoch: int
    records: Records


class OnceOwner:
    """Decides on claims in the slots that this daemon owns.

    Parameters
    ----------
    ownership : OwnershipRole
        Slots for which this daemon may act.
    membership : MembershipRole
        Members with their incarnations, from which restarts are recognized.
    store_calls : StoreCallIds
        Allocates the numbers of store calls.
    backup : OnceBackup
        Copies that this daemon stores for other owners.
    """

    def __init__(
        self,
        ownership: OwnershipRole,
        membership: MembershipRole,
        store_calls: StoreCallIds,
        backup: OnceBackup,
    ) -> None:
        self.ownership = ownership
        self.membership = membership
        self.store_calls = store_calls
        self.backup = backup
        self.copies = PendingCopies()
        self._slot_by_number: dict[int, _Slot] = {}
        self._claim_by_call: dict[int, OnceClaim] = {}
        self._peer_by_call: dict[int, str] = {}
        self._value_by_deletion_call: dict[int, str] = {}
        self._next_eviction = 0.0

    def add_slot(self, event: SlotAcquired, now: float, wall_time: float) -> None:
        """Adopt the copied records of the previous owner of a slot.

        If the copies may be incomplete, only keys created from now on count as new.
        """
        records, is_complete = self.backup.pop_records(event)
        if not is_complete and event.epoch > 1:
            records.distrust_older_keys(now, wall_time, CLOCK_SKEW_MARGIN)
        self._slot_by_number[event.slot] = _Slot(event.epoch, records)

    def adopt_missing(self, now: float, wall_time: float) -> None:
        """Adopt owned slots of whose acquisition this role was not told.

        That is the case if handling the event failed. None of the copied records is
        trusted then.
        """
        for number, owned in self.ownership.owned_by_slot.items():
            slot = self._slot_by_number.get(number)
            epoch = owned.record.epoch
            if slot is None or slot.epoch < epoch:
                expired = Takeover.EXPIRED
                event = SlotAcquired(number, epoch, owned.may_act_from, expired)
                self.add_slot(event, now, wall_time)

    def remove_slot(self, slot: int) -> None:
        """Discard the records and copies of a slot."""
        self._slot_by_number.pop(slot, None)
        self.copies.drop(slot)

    def copy_to_new_backup(self, number: int, now: float) -> Iterator[Effect]:
        """Send every record of a slot to its new backup."""
        slot = self._slot_by_number.get(number)
        owned = self.ownership.owned_by_slot.get(number)
        if slot is None or owned is None:
            return
        yield from self.copies.send_all(owned.record, slot.records, now)
        yield from self._send_confirmed(number, now)

    def resend_copies(self, number: int, now: float) -> Iterator[Effect]:
        """Resend all unconfirmed copies of a slot before the slot is handed over."""
        yield from self.copies.resend(now, only_slot=number)

    def _active_slot(self, number: int, now: float) -> _Slot | None:
        slot = self._slot_by_number.get(number)
        owned = self.ownership.active_slot(number, now)
        if slot is None or owned is None or owned.record.epoch != slot.epoch:
            return None
        return slot

    def on_claim(
        self, peer: str, claim: OnceClaim, now: float, wall_time: float
    ) -> Iterator[Effect]:
        """Decide on a claim, or refer the entry to another member.

        A new key is granted after the backup, if there is one, has confirmed the
        copy of the record. A durable key must be accepted by the store before
        its record is copied.
        """
        slot = self._active_slot(claim.slot, now)
        if slot is None:
            yield self.ownership.hint_to(peer, claim.slot)
            return
        record = slot.records.by_key.get(record_key(claim.record))
        if record is not None:
            yield from self._decide_existing(peer, claim, slot, record, now)
            return
        key = claim.record.idempotency_key
        is_new = slot.records.is_certainly_new(key, now, wall_time)
        if claim.record.is_durable:
            slot.records.put(claim.record, 0, now, wall_time)
            yield self._claim_in_store(peer, claim)
            return
        if not is_new:
            yield Count("knapweedlead.once.untrusted")
            yield _verdict(peer, claim, slot.epoch, OnceDecision.UNKNOWN)
            return
        record = slot.records.put(claim.record, 0, now, wall_time)
        yield from self._copy(claim.slot, record, now)
        yield from self._confirm(peer, claim, slot, record)

    def _decide_existing(
        self, peer: str, claim: OnceClaim, slot: _Slot, record: Record, now: float
    ) -> Iterator[Effect]:
        state = record.state
        if state.fingerprint != claim.record.fingerprint:
            yield _verdict(peer, claim, slot.epoch, OnceDecision.MISMATCH)
        elif state.state == ANSWERED:
            decision = OnceDecision.ANSWERED
            yield _verdict(peer, claim, slot.epoch, decision, state.answer)
        elif state.state == UNKNOWN or self._is_abandoned(record, now):
            yield _verdict(peer, claim, slot.epoch, OnceDecision.UNKNOWN)
        elif state.claimant == claim.record.claimant:
            if not self._has_pending_store_call(claim):
                yield from self._confirm(peer, claim, slot, record)
        else:
            yield _verdict(peer, claim, slot.epoch, OnceDecision.IN_PROGRESS)

    def _has_pending_store_call(self, claim: OnceClaim) -> bool:
        key = record_key(claim.record)
        return any(record_key(c.record) == key for c in self._claim_by_call.values())

    def _is_abandoned(self, record: Record, now: float) -> bool:
        if now >= record.created_at + CLAIM_SECONDS:
            return True
        entry = self.membership.by_name.get(record.claimant.entry)
        return entry is not None and entry.incarnation > record.claimant.incarnation

    def _copy(self, number: int, record: Record, now: float) -> Iterator[Effect]:
        owned = self.ownership.owned_by_slot.get(number)
        if owned is not None and owned.record.backup:
            yield self.copies.send(owned.record, record, now)

    def _confirm(
        self, peer: str, claim: OnceClaim, slot: _Slot, record: Record
    ) -> Iterator[Effect]:
        """Grant a claim, now or when the backup has confirmed the record."""
        if self.copies.is_pending(claim.slot, record.number):
            self.copies.await_confirmation(claim.slot, record.number, peer, claim)
            return
        yield _verdict(peer, claim, slot.epoch, OnceDecision.CLAIMED)

    def on_copied(self, copied: OnceCopied, now: float) -> Iterator[Effect]:
        """Decide on the claims whose copy was confirmed."""
        self.copies.confirm(copied)
        yield from self._send_confirmed(copied.slot, now)

    def _send_confirmed(self, number: int, now: float) -> Iterator[Effect]:
        slot = self._active_slot(number, now)
        for peer, claim in self.copies.pop_confirmed_claims(number):
            if slot is None:
                continue
            record = slot.records.by_key.get(record_key(claim.record))
            if record is not None and record.claimant == claim.record.claimant:
                yield from self._decide_existing(peer, claim, slot, record, now)

    def _claim_in_store(self, peer: str, claim: OnceClaim) -> Effect:
        call = self.store_calls.next()
        self._claim_by_call[call] = claim
        self._peer_by_call[call] = peer
        value = _stored_value(claim.record)
        return StoreCall(call, CompareAndSwap(store_key(claim.record), value, ABSENT))

    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Continue the storage or the deletion of a durable claim."""
        if event.call in self._value_by_deletion_call:
            yield from self._delete_unchanged(event)
            return
        claim = self._claim_by_call.pop(event.call, None)
        if claim is None:
            return
        peer = self._peer_by_call.pop(event.call)
        slot = self._active_slot(claim.slot, now)
        if slot is None:
            return
        record = slot.records.by_key.get(record_key(claim.record))
        if record is None:
            return
        if isinstance(event.result, Err):
            fault = event.result.err_value.fault
            yield from self._on_store_error(peer, claim, slot, fault)
            return
        answer = event.result.ok_value
        if isinstance(answer, Entry) and answer.value != _stored_value(claim.record):
            if not answer.value:
                yield self._claim_in_store(peer, claim)
                return
            record.end(UNKNOWN)
            yield _verdict(peer, claim, slot.epoch, OnceDecision.UNKNOWN)
            return
        yield from self._copy(claim.slot, record, now)
        yield from self._confirm(peer, claim, slot, record)

    def _on_store_error(
        self, peer: str, claim: OnceClaim, slot: _Slot, fault: StoreFault
    ) -> Iterator[Effect]:
        if fault is StoreFault.UNAVAILABLE:
            slot.records.remove(record_key(claim.record))
            yield _verdict(peer, claim, slot.epoch, OnceDecision.UNAVAILABLE)
            return
        call = self.store_calls.next()
        self._claim_by_call[call] = claim
        self._peer_by_call[call] = peer
        yield StoreCall(call, Get(store_key(claim.record)))

    def on_settlement(
        self, peer: str, settlement: OnceSettlement, now: float, wall_time: float
    ) -> Iterator[Effect]:
        """Apply a settlement, and send a confirmation to the entry."""
        slot = self._active_slot(settlement.slot, now)
        if slot is None:
            yield self.ownership.hint_to(peer, settlement.slot)
            return
        state = settlement.record
        record = slot.records.by_key.get(record_key(state))
        if record is None:
            if state.state != RELEASED:
                record = slot.records.put(state, 0, now, wall_time)
                yield from self._copy(settlement.slot, record, now)
        elif record.claimant == state.claimant and record.state.state != ANSWERED:
            record = slot.records.put(state, record.number, now, wall_time)
            yield from self._copy(settlement.slot, record, now)
            if state.state == RELEASED:
                slot.records.remove(record_key(state))
                if state.is_durable:
                    yield from self._delete_from_store(state)
        yield SendMessage(peer, OnceSettled(state.claimant))

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Resend due copies and, once per period, evict expired records."""
        yield from self.copies.resend(now)
        if now < self._next_eviction:
            return
        self._next_eviction = now + EVICTION_PERIOD
        for slot in self._slot_by_number.values():
            for record in slot.records.evict(now):
                if record.state.is_durable:
                    yield from self._delete_from_store(record.state)

    def _delete_from_store(self, state: RecordState) -> Iterator[Effect]:
        call = self.store_calls.next()
        self._value_by_deletion_call[call] = _stored_value(state).decode()
        yield StoreCall(call, Get(store_key(state)))

    def _delete_unchanged(self, event: StoreAnswered) -> Iterator[Effect]:
        value = self._value_by_deletion_call.pop(event.call)
        if isinstance(event.result, Err):
            return
        entry = event.result.ok_value
        if isinstance(entry, Entry) and entry.value.decode() == value:
            call = self.store_calls.next()
            yield StoreCall(call, Delete(entry.key, entry.position))


def store_key(state: RecordState) -> str:
    """Return the key under which a durable claim is stored."""
    name = f"{state.account}\n{state.idempotency_key}".encode()
    return ONCE_PREFIX + xxhash.xxh3_128_hexdigest(name)


def _stored_value(state: RecordState) -> bytes:
    claimant = state.claimant
    return f"{claimant.entry}/{claimant.incarnation}/{claimant.ticket}".encode()


def _verdict(
    peer: str,
    claim: OnceClaim,
    epoch: int,
    decision: OnceDecision,
    answer: OnceAnswer = NO_ANSWER,
) -> Effect:
    claimant = claim.record.claimant
    return SendMessage(peer, OnceVerdict(claimant, epoch, decision.value, answer))
