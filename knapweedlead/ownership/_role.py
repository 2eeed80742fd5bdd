"""Role that claims, renews and hands over slots."""

from collections.abc import Iterator

from result import Err

from knapweedlead.errors import StoreFault
from knapweedlead.membership import MembersChanged, MembershipRole
from knapweedlead.node import (
    Count,
    Effect,
    Identity,
    LogEvent,
    Notify,
    Role,
    SendMessage,
    ShutdownRequested,
    Started,
    StoreAnswered,
    StoreCallIds,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.ownership._backup_slots import BackupSlots
from knapweedlead.ownership._candidates import Candidates
from knapweedlead.ownership._decisions import SlotDecisions
from knapweedlead.ownership._directory import SlotDirectory
from knapweedlead.ownership._events import (
    BackupNamed,
    SlotAcquired,
    SlotLost,
    SlotReleasing,
)
from knapweedlead.ownership._heartbeats import HeartbeatTracker, appointment_of
from knapweedlead.ownership._messages import (
    Appointment,
    SlotHandover,
    SlotHeartbeat,
    SlotHint,
    SlotPromise,
)
from knapweedlead.ownership._owned import OwnedSlot
from knapweedlead.ownership._record import (
    SLOTS_PREFIX,
    SlotRecord,
    decode_record,
    free_record,
    store_key,
)
from knapweedlead.ownership._slot_store import SlotStore
from knapweedlead.ownership._times import OwnershipTimes
from knapweedlead.ownership._writes import (
    SlotWrite,
    WriteKind,
)
from knapweedlead.positions import StorePosition
from knapweedlead.statecharts import Statechart
from knapweedlead.store import ABSENT, Entry, Listing

SLOT_CHART = Statechart.load("knapweedlead.ownership", "slot.json")

OTHER_PEERS_PER_ROUND = 2
"""Other members queried for a slot after its owner and backup, per round."""

REFRESH_SECONDS_PER_MEMBER = 0.02
"""Minimum seconds, per member, between two reads of a slot requested by entries."""


class OwnershipRole(Role):
    """Owns slots, backs up slots of other daemons and locates the owner of any slot.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    membership : MembershipRole
        The members that may own slots.
    store_calls : StoreCallIds
        Allocates the numbers of store calls.
    times : OwnershipTimes
        Timing of slot ownership.
    number_of_slots : int
        Number of slots in the fleet.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipRole,
        store_calls: StoreCallIds,
        times: OwnershipTimes,
        number_of_slots: int,
    ) -> None:
        self.identity = identity
        self.membership = membership
        self._store = SlotStore(store_calls)
        self.times = times
        self.number_of_slots = number_of_slots
        self.directory = SlotDirectory(number_of_slots)
        self.candidates = Candidates(identity, membership, times)
        self._decisions = SlotDecisions(
            identity, times, self.candidates, self.directory
        )
        self.owned_by_slot: dict[int, OwnedSlot] = {}
        self.backup_slots = BackupSlots(identity, times)
        self.state_by_slot: dict[int, str] = {}
        self._heartbeats = HeartbeatTracker()
        self._is_leaving = False
        self._next_list = 0.0
        self._next_heartbeat = 0.0
        self._next_handover = 0.0

    def active_slot(self, slot: int, now: float) -> OwnedSlot | None:
        """Return the slot if this daemon owns it and may act for it at `now`."""
        owned = self.owned_by_slot.get(slot)
        if owned is None or not owned.may_act(now, self.times):
            return None
        return owned

    def owner_address(self, slot: int) -> str:
        """Return the link address of the known owner; empty if there is none."""
        return self.directory.record_by_slot[slot].link_address

    def peer_of(self, slot: int, attempt: int = 0) -> str:
        """Return the link address to query for a slot; empty if none is known.

        Attempts start with the owner, then its backup, which takes over if the owner
        is lost, and then other members by rank, which reply with a `SlotHint`.
        """
        record = self.directory.record_by_slot[slot]
        known = [a for a in (record.link_address, record.backup_address) if a]
        position = attempt % (len(known) + OTHER_PEERS_PER_ROUND)
        if position < len(known):
            return known[position]
        round_number = attempt // (len(known) + OTHER_PEERS_PER_ROUND)
        rank = round_number * OTHER_PEERS_PER_ROUND + position - len(known)
        return self.candidates.address_at_rank(slot, rank)

    def hint_to(self, peer: str, slot: int) -> Effect:
        """Return the effect that sends the known record of a slot to a peer."""
        return SendMessage(peer, SlotHint(self.directory.record_by_slot[slot]))

    def refresh(self, slot: int, now: float) -> Iterator[Effect]:
        """Read the record of a slot without a reachable owner, at a limited rate."""
        members = len(self.membership.by_name)
        yield from self._store.read(slot, now, members * REFRESH_SECONDS_PER_MEMBER)

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """List all slots."""
        yield from self._list_slots(now)

    @handles(MembersChanged)
    def on_members_changed(self, event: MembersChanged, now: float) -> Iterator[Effect]:
        """Discard the ranks of the previous members."""
        self.candidates.clear_ranks()
        yield from ()

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Send heartbeats and start the renewals, takeovers and claims that are due."""
        if now >= self._next_list:
            yield from self._list_slots(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self.times.heartbeat_s
            yield from self._send_heartbeats(now)
        for slot, owned in self.owned_by_slot.items():
            self._update_authority(slot, owned, now)
            if self._decisions.is_write_due(owned, now):
                yield from self._store.read(slot, now)
        for slot in self.backup_slots.slots_due_for_takeover(now):
            yield from self._store.read(slot, now)
        if self._is_leaving:
            yield from self._release_all(now)
            return
        yield from self._read_free_slots(now)
        yield from self._hand_over_one(now)

    def _list_slots(self, now: float) -> Iterator[Effect]:
        members = len(self.membership.by_name)
        period = max(self.times.list_s, members * self.times.list_s_per_member)
        self._next_list = now + period
        yield self._store.list()

    def _send_heartbeats(self, now: float) -> Iterator[Effect]:
        owned = [
            slot for slot in self.owned_by_slot.values() if slot.released_at is None
        ]
        for peer, heartbeat in self._heartbeats.heartbeats(owned, now):
            yield SendMessage(peer, heartbeat)

    def _update_authority(self, slot: int, owned: OwnedSlot, now: float) -> None:
        may_act = owned.may_act(now, self.times)
        self._advance(slot, "authority_renewed" if may_act else "authority_lapsed")

    def _read_free_slots(self, now: float) -> Iterator[Effect]:
        for slot, record in self.directory.record_by_slot.items():
            if record.is_free and self.candidates.may_claim(
                slot, self.directory.unchanged_for(slot, now)
            ):
                yield from self._store.read(slot, now)

    def _hand_over_one(self, now: float) -> Iterator[Effect]:
        if now < self._next_handover:
            return
        self._next_handover = now + self.times.handover_s
        due = (
            owned
            for owned in self.owned_by_slot.values()
            if owned.may_act(now, self.times)
            and self.candidates.is_backup_preferred(owned, now)
        )
        owned = next(due, None)
        if owned is not None:
            yield from self._release(owned, now)

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Hand over each owned slot that has a backup and free the others."""
        self._is_leaving = True
        yield from self._release_all(now)

    def _release_all(self, now: float) -> Iterator[Effect]:
        for owned in list(self.owned_by_slot.values()):
            yield from self._release(owned, now)
            if not owned.record.backup:
                yield from self._store.read(owned.record.slot, now)

    def _release(self, owned: OwnedSlot, now: float) -> Iterator[Effect]:
        if owned.released_at is not None:
            return
        owned.released_at = now
        record = owned.record
        self._advance(record.slot, "release_sent")
        yield Notify(SlotReleasing(record.slot, record.epoch, record.backup_address))

    @handles(SlotReleasing)
    def on_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send the handover to the backup after other roles have sent their state."""
        owned = self.owned_by_slot.get(event.slot)
        if owned is not None and event.peer:
            yield SendMessage(event.peer, SlotHandover(appointment_of(owned)))

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Handle the result of a listing, read or write."""
        if event.call == self._store.listing:
            yield from self._on_listing(event, now)
        elif self._store.pop_read(event.call) is not None:
            if not isinstance(event.result, Err):
                yield from self._on_entry(event.result.ok_value, now)
        else:
            write = self._store.pop_write(event.call)
            if write is not None:
                yield from self._on_written(write, event, now)

    def _on_listing(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        if isinstance(event.result, Err):
            self._next_list = min(self._next_list, now + self.times.list_s)
            return
        listing = event.result.ok_value
        assert isinstance(listing, Listing)
        by_key = {entry.key: entry for entry in listing.entries}
        for slot in range(self.number_of_slots):
            key = store_key(slot)
            yield from self._on_entry(by_key.get(key, Entry(key, b"", ABSENT)), now)

    def _on_entry(self, entry: object, now: float) -> Iterator[Effect]:
        assert isinstance(entry, Entry)
        slot = int(entry.key.removeprefix(SLOTS_PREFIX))
        record = free_record(slot)
        if entry.value:
            decoded = decode_record(entry.key, entry.value)
            if isinstance(decoded, Err):
                yield LogEvent("slot_refused", (("error", str(decoded.err_value)),))
                return
            record = decoded.ok_value
        if record.age < self.directory.record_by_slot[slot].age:
            return
        self.directory.update_from_store(record, entry.position, now)
        yield from self._reconcile(record, now)
        if self._store.is_busy(slot):
            return
        write = self._next_write(record, now)
        if write is not None:
            yield self._send_write(write, entry.position)

    def _reconcile(self, record: SlotRecord, now: float) -> Iterator[Effect]:
        """Update owned and backup slots from a record that was read."""
        slot = record.slot
        is_owner = self._decisions.is_owner(record)
        self.backup_slots.reconcile(record, is_owner)
        owned = self.owned_by_slot.get(slot)
        if not is_owner:
            yield from self._drop_slot(slot)
        elif owned is None or owned.record != record:
            last = self._store.last_write(slot)
            stored = self._decisions.stored_write(record, owned, last, now)
            yield from self._confirm(stored, now)

    def _next_write(self, record: SlotRecord, now: float) -> SlotWrite | None:
        owned = self.owned_by_slot.get(record.slot)
        if owned is not None:
            return self._decisions.owner_write(owned, now)
        backup_slot = self.backup_slots.by_slot.get(record.slot)
        if backup_slot is not None:
            return self._decisions.backup_write(
                record, backup_slot, self._is_leaving, now
            )
        if self._is_leaving:
            return None
        return self._decisions.candidate_write(record, now)

    def _send_write(self, write: SlotWrite, expected: StorePosition) -> Effect:
        slot = write.record.slot
        self.backup_slots.set_unresolved(slot, True)
        if write.kind is WriteKind.CLAIM:
            self._advance(slot, "claim_sent")
        return self._store.write(write, expected)

    def _on_written(
        self, write: SlotWrite, event: StoreAnswered, now: float
    ) -> Iterator[Effect]:
        slot = write.record.slot
        if not isinstance(event.result, Err):
            self.directory.update(write.record)
            yield from self._confirm(write, now)
            return
        yield Count("knapweedlead.slots.write_failures")
        if event.result.err_value.fault is StoreFault.UNAVAILABLE:
            self._advance(slot, "claim_refused")
            self.backup_slots.set_unresolved(slot, False)
        else:
            yield from self._store.read_now(slot, now)

    def _confirm(self, write: SlotWrite, now: float) -> Iterator[Effect]:
        slot = write.record.slot
        if write.kind is WriteKind.RELEASE:
            yield from self._drop_slot(slot)
            return
        owned = self.owned_by_slot.get(slot)
        if owned is None or owned.record.epoch != write.record.epoch:
            yield from self._acquire(write, now)
            return
        is_new_backup = owned.record.appointment != write.record.appointment
        owned.record = write.record
        owned.renewed_at = max(owned.renewed_at, write.sent_at)
        if is_new_backup:
            owned.promised_at = None
            owned.appointed_at = now
            yield Notify(BackupNamed(slot, write.record.backup_address))

    def _acquire(self, write: SlotWrite, now: float) -> Iterator[Effect]:
        record = write.record
        backup_slot = self.backup_slots.by_slot.pop(record.slot, None)
        may_act_from = max(now, write.may_act_from)
        if backup_slot is not None and not backup_slot.is_released:
            may_act_from = max(may_act_from, backup_slot.promise_expires_at(self.times))
        self.owned_by_slot[record.slot] = OwnedSlot(record, write.sent_at, may_act_from)
        self._advance(record.slot, "claim_sent")
        self._advance(record.slot, "claim_confirmed")
        takeover = write.takeover
        yield LogEvent(
            "slot_acquired",
            (("slot", record.slot), ("epoch", record.epoch), ("by", takeover.value)),
        )
        yield Count("knapweedlead.slots.acquired", (("by", takeover.value),))
        number = backup_slot.appointment if backup_slot is not None else 0
        yield Notify(
            SlotAcquired(record.slot, record.epoch, may_act_from, takeover, number)
        )

    def _drop_slot(self, slot: int) -> Iterator[Effect]:
        if self.owned_by_slot.pop(slot, None) is not None:
            self._advance(slot, "lost")
            yield Notify(SlotLost(slot))

    def _advance(self, slot: int, event: str) -> None:
        state = self.state_by_slot.get(slot, SLOT_CHART.initial)
        self.state_by_slot[slot] = SLOT_CHART.advance(state, event)

    @handles_message(SlotHeartbeat)
    def on_heartbeat(
        self, peer: str, heartbeat: SlotHeartbeat, now: float
    ) -> Iterator[Effect]:
        """Promise not to take over the slots of the heartbeat for `promise_s`."""
        if heartbeat.incarnation != self.identity.incarnation:
            return
        promised = tuple(
            appointment
            for appointment in heartbeat.appointments
            if self._promise(peer, appointment, now)
        )
        yield SendMessage(peer, SlotPromise(heartbeat.sequence, promised))

    def _promise(self, peer: str, appointment: Appointment, now: float) -> bool:
        owned = self.owned_by_slot.get(appointment.slot)
        if self._is_leaving or (
            owned is not None and owned.record.epoch >= appointment.epoch
        ):
            return False
        is_claiming = self._store.is_writing(appointment.slot)
        return self.backup_slots.promise(peer, appointment, is_claiming, now)

    @handles_message(SlotPromise)
    def on_promise(
        self, peer: str, promise: SlotPromise, now: float
    ) -> Iterator[Effect]:
        """Extend the authority over the owned slots that a promise covers."""
        self._heartbeats.apply_promise(peer, promise, self.owned_by_slot, now)
        yield from ()

    @handles_message(SlotHandover)
    def on_handover(
        self, peer: str, handover: SlotHandover, now: float
    ) -> Iterator[Effect]:
        """Read a slot that was handed over, so that it is claimed at once."""
        appointment = handover.appointment
        if self.backup_slots.record_handover(peer, appointment, now):
            yield from self._store.read_now(appointment.slot, now)

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Update the directory from a hint."""
        if hint.record.slot in self.directory.record_by_slot:
            self.directory.update(hint.record)
        yield from ()
