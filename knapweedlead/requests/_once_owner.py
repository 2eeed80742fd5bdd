"""Slot owner's side of the once records."""

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
    StoreCalls,
)
from knapweedlead.ownership import OwnershipRole, SlotAcquired
from knapweedlead.requests._once import OnceDecision
from knapweedlead.requests._once_backup import OnceBackup
from knapweedlead.requests._once_copies import CopiesUnderWay
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
from knapweedlead.store import CompareAndSwap, Delete, Entry, Get

ONCE_PREFIX = "knapweedlead/once/"

CLAIM_SECONDS = 600.0
"""Seconds after which a claim without a settlement counts as unknown."""

MINT_MARGIN = 60.0
"""Seconds by which a caller's clock and this daemon's may differ together."""

FORGET_PAUSE = 1.0


@attrs.define
class _Slot:
    epoch: int
    records: Records


class OnceOwner:
    """Decides on claims in the slots that this daemon owns.

    Parameters
    ----------
    ownership : OwnershipRole
        Which slots this daemon may act for.
    membership : MembershipRole
        Which entries have restarted.
    store_calls : StoreCalls
        Allots numbers to store calls.
    backup : OnceBackup
        Copies that this daemon holds for other owners.
    """

    def __init__(
        self,
        ownership: OwnershipRole,
        membership: MembershipRole,
        store_calls: StoreCalls,
        backup: OnceBackup,
    ) -> None:
        self.ownership = ownership
        self.membership = membership
        self.store_calls = store_calls
        self.backup = backup
        self.copies = CopiesUnderWay()
        self._slot_by_number: dict[int, _Slot] = {}
        self._claim_by_call: dict[int, OnceClaim] = {}
        self._peer_by_call: dict[int, str] = {}
        self._sweep_by_call: dict[int, str] = {}
        self._next_forget = 0.0

    def acquire(self, event: SlotAcquired, now: float, wall: float) -> None:
        """Take up the records of the predecessor, as far as they are here."""
        records, is_complete = self.backup.succeed(event)
        if not is_complete and event.epoch > 1:
            records.distrust(now, wall, MINT_MARGIN)
        self._slot_by_number[event.slot] = _Slot(event.epoch, records)

    def lose(self, slot: int) -> None:
        """Forget the records of a slot."""
        self._slot_by_number.pop(slot, None)
        self.copies.drop(slot)

    def name_backup(self, number: int, now: float) -> Iterator[Effect]:
        """Send every record to the new backup of a slot."""
        slot = self._slot_by_number.get(number)
        owned = self.ownership.owned_by_slot.get(number)
        if slot is None or owned is None:
            return
        yield from self.copies.restart(owned.record, slot.records, now)
        yield from self._send_verdicts(number, now)

    def hand_over(self, number: int, now: float) -> Iterator[Effect]:
        """Send again what the successor has not confirmed."""
        yield from self.copies.resend(now, only_slot=number)

    def _acting(self, number: int, now: float) -> _Slot | None:
        slot = self._slot_by_number.get(number)
        owned = self.ownership.active_slot(number, now)
        if slot is None or owned is None or owned.record.epoch != slot.epoch:
            return None
        return slot

    def on_claim(
        self, peer: str, claim: OnceClaim, now: float, wall: float
    ) -> Iterator[Effect]:
        """Decide on a claim."""
        slot = self._acting(claim.slot, now)
        if slot is None:
            yield self.ownership.hint_to(peer, claim.slot)
            return
        record = slot.records.by_key.get(record_key(claim.record))
        if record is not None:
            yield from self._repeat(peer, claim, slot, record, now)
            return
        key = claim.record.idempotency_key
        is_new = slot.records.is_certainly_new(key, now, wall)
        if claim.record.is_durable:
            slot.records.put(claim.record, 0, now, wall)
            yield self._claim_in_store(peer, claim)
            return
        if not is_new:
            yield Count("knapweedlead.once.untrusted")
            yield _verdict(peer, claim, slot.epoch, OnceDecision.UNKNOWN)
            return
        record = slot.records.put(claim.record, 0, now, wall)
        yield from self._copy(claim.slot, record, now)
        yield from self._confirm(peer, claim, slot, record)

    def _repeat(
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
            if not self._is_in_store_call(claim):
                yield from self._confirm(peer, claim, slot, record)
        else:
            yield _verdict(peer, claim, slot.epoch, OnceDecision.IN_PROGRESS)

    def _is_in_store_call(self, claim: OnceClaim) -> bool:
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
        """Grant a claim once the backup has a copy."""
        if self.copies.is_under_way(claim.slot, record.number):
            self.copies.await_verdict(claim.slot, record.number, peer, claim)
            return
        yield _verdict(peer, claim, slot.epoch, OnceDecision.CLAIMED)

    def on_copied(self, copied: OnceCopied, now: float) -> Iterator[Effect]:
        """Grant the claim whose copy is stored."""
        self.copies.confirm(copied)
        yield from self._send_verdicts(copied.slot, now)

    def _send_verdicts(self, number: int, now: float) -> Iterator[Effect]:
        slot = self._acting(number, now)
        for peer, claim in self.copies.pop_decided(number):
            if slot is None:
                continue
            record = slot.records.by_key.get(record_key(claim.record))
            if record is not None and record.claimant == claim.record.claimant:
                yield from self._repeat(peer, claim, slot, record, now)

    def _claim_in_store(self, peer: str, claim: OnceClaim) -> Effect:
        call = self.store_calls.next()
        self._claim_by_call[call] = claim
        self._peer_by_call[call] = peer
        value = _stored_value(claim.record)
        return StoreCall(call, CompareAndSwap(store_key(claim.record), value, 0))

    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Go on with a durable claim."""
        if event.call in self._sweep_by_call:
            yield from self._sweep(event)
            return
        claim = self._claim_by_call.pop(event.call, None)
        if claim is None:
            return
        peer = self._peer_by_call.pop(event.call)
        slot = self._acting(claim.slot, now)
        if slot is None:
            return
        record = slot.records.by_key.get(record_key(claim.record))
        if record is None:
            return
        if isinstance(event.result, Err):
            fault = event.result.err_value.fault
            yield from self._on_refused(peer, claim, slot, fault)
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

    def _on_refused(
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
        self, peer: str, settlement: OnceSettlement, now: float, wall: float
    ) -> Iterator[Effect]:
        """Take up how a claimed request ended."""
        slot = self._acting(settlement.slot, now)
        if slot is None:
            yield self.ownership.hint_to(peer, settlement.slot)
            return
        state = settlement.record
        record = slot.records.by_key.get(record_key(state))
        if record is None:
            if state.state != RELEASED:
                record = slot.records.put(state, 0, now, wall)
                yield from self._copy(settlement.slot, record, now)
        elif record.claimant == state.claimant and record.state.state != ANSWERED:
            record = slot.records.put(state, record.number, now, wall)
            yield from self._copy(settlement.slot, record, now)
            if state.state == RELEASED:
                slot.records.remove(record_key(state))
                if state.is_durable:
                    yield from self._delete_from_store(state)
        yield SendMessage(peer, OnceSettled(state.claimant))

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Repeat copies, and forget what is out of its time."""
        yield from self.copies.resend(now)
        if now < self._next_forget:
            return
        self._next_forget = now + FORGET_PAUSE
        for slot in self._slot_by_number.values():
            for record in slot.records.forget(now):
                if record.state.is_durable:
                    yield from self._delete_from_store(record.state)

    def _delete_from_store(self, state: RecordState) -> Iterator[Effect]:
        call = self.store_calls.next()
        self._sweep_by_call[call] = _stored_value(state).decode()
        yield StoreCall(call, Get(store_key(state)))

    def _sweep(self, event: StoreAnswered) -> Iterator[Effect]:
        value = self._sweep_by_call.pop(event.call)
        if isinstance(event.result, Err):
            return
        entry = event.result.ok_value
        if isinstance(entry, Entry) and entry.value.decode() == value:
            call = self.store_calls.next()
            yield StoreCall(call, Delete(entry.key, entry.revision))


def store_key(state: RecordState) -> str:
    """Return the store's key of a durable claim."""
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
