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
    StoreCall,
    StoreCalls,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.ownership._candidates import Candidates
from knapweedlead.ownership._directory import SlotDirectory
from knapweedlead.ownership._events import (
    BackupNamed,
    SlotAcquired,
    SlotLost,
    SlotReleasing,
    Takeover,
)
from knapweedlead.ownership._messages import (
    SlotHandover,
    SlotHeartbeat,
    SlotHint,
    SlotPromise,
)
from knapweedlead.ownership._owned import Guard, OwnedSlot
from knapweedlead.ownership._promises import Promises, appointment_of
from knapweedlead.ownership._record import (
    SLOTS_PREFIX,
    SlotRecord,
    decode_record,
    encode_record,
    free_record,
    key_of,
)
from knapweedlead.ownership._times import CLOCK_MARGIN, OwnershipTimes
from knapweedlead.ownership._writes import (
    SlotWrite,
    WriteKind,
    appointment,
    claim,
    release,
    renewal,
)
from knapweedlead.platform import CompareAndSwap, Entry, Get, List, Listing
from knapweedlead.statecharts import Statechart

SLOT_CHART = Statechart.load("knapweedlead.ownership", "slot.json")

RETRY_SECONDS = 0.5
"""Seconds between two readings of one slot."""

PEERS_ASKED = 2
"""Members that are asked about a slot after its owner and its backup."""

REFRESH_SECONDS_PER_MEMBER = 0.02
"""Seconds added by each member between two readings that entries ask for."""


class OwnershipRole(Role):
    """Owns slots, guards the slots of others, and knows who owns which.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    membership : MembershipRole
        The members that may own slots.
    store_calls : StoreCalls
        Allots numbers to store calls.
    times : OwnershipTimes
        Times that bound authority.
    number_of_slots : int
        How many slots the fleet has.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipRole,
        store_calls: StoreCalls,
        times: OwnershipTimes,
        number_of_slots: int,
    ) -> None:
        self.identity = identity
        self.membership = membership
        self.store_calls = store_calls
        self.times = times
        self.number_of_slots = number_of_slots
        self.directory = SlotDirectory(number_of_slots)
        self.candidates = Candidates(identity, membership, times)
        self.owned_by_slot: dict[int, OwnedSlot] = {}
        self.guard_by_slot: dict[int, Guard] = {}
        self.state_by_slot: dict[int, str] = {}
        self._promises = Promises()
        self._is_leaving = False
        self._listing = 0
        self._next_list = 0.0
        self._next_heartbeat = 0.0
        self._next_handover = 0.0
        self._next_read_by_slot: dict[int, float] = {}
        self._slot_by_call: dict[int, int] = {}
        self._write_by_call: dict[int, SlotWrite] = {}
        self._write_by_slot: dict[int, SlotWrite] = {}

    def owned(self, slot: int, now: float) -> OwnedSlot | None:
        """Return a slot for which this daemon may act at `now`."""
        owned = self.owned_by_slot.get(slot)
        if owned is None or not owned.may_act(now, self.times):
            return None
        return owned

    def peer_of(self, slot: int, attempt: int = 0) -> str:
        """Return the link address to ask about a slot; empty where none is known.

        The owner first, then its backup, which takes over from a lost owner, then
        the members one after another, who answer with what they know.
        """
        record = self.directory.record_by_slot[slot]
        known = [a for a in (record.link_address, record.backup_address) if a]
        turn = attempt % (len(known) + PEERS_ASKED)
        if turn < len(known):
            return known[turn]
        round_number = attempt // (len(known) + PEERS_ASKED)
        place = round_number * PEERS_ASKED + turn - len(known)
        return self.candidates.address_at(slot, place)

    def hint_to(self, peer: str, slot: int) -> Effect:
        """Return the effect that tells a peer what is known about a slot."""
        return SendMessage(peer, SlotHint(self.directory.record_by_slot[slot]))

    def refresh(self, slot: int, now: float) -> Iterator[Effect]:
        """Read a slot whose owner does not answer."""
        members = len(self.membership.by_name)
        yield from self._read(slot, now, members * REFRESH_SECONDS_PER_MEMBER)

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Read all slots."""
        yield from self._list(now)

    @handles(MembersChanged)
    def on_members_changed(self, event: MembersChanged, now: float) -> Iterator[Effect]:
        """Rank the members anew."""
        self.candidates.forget_ranks()
        yield from ()

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Renew, send heartbeats, take over and claim what is due."""
        if now >= self._next_list:
            yield from self._list(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self.times.heartbeat_s
            yield from self._send_heartbeats(now)
        for slot, owned in self.owned_by_slot.items():
            self._note_authority(slot, owned, now)
            if self._is_write_due(owned, now):
                yield from self._read(slot, now)
        for slot, guard in self.guard_by_slot.items():
            if guard.is_lapsed(now, self.times):
                yield from self._read(slot, now)
        yield from self._read_free_slots(now)
        yield from self._hand_over_one(now)

    def _list(self, now: float) -> Iterator[Effect]:
        members = len(self.membership.by_name)
        period = max(self.times.list_s, members * self.times.list_s_per_member)
        self._next_list = now + period
        self._listing = self.store_calls.next()
        yield StoreCall(self._listing, List(SLOTS_PREFIX))

    def _read(self, slot: int, now: float, pause: float = 0.0) -> Iterator[Effect]:
        if now < self._next_read_by_slot.get(slot, now) or slot in self._busy_slots():
            return
        self._next_read_by_slot[slot] = now + max(RETRY_SECONDS, pause)
        call = self.store_calls.next()
        self._slot_by_call[call] = slot
        yield StoreCall(call, Get(key_of(slot)))

    def _busy_slots(self) -> set[int]:
        writing = {write.record.slot for write in self._write_by_call.values()}
        return writing | set(self._slot_by_call.values())

    def _send_heartbeats(self, now: float) -> Iterator[Effect]:
        owned = [
            slot for slot in self.owned_by_slot.values() if slot.released_at is None
        ]
        for peer, heartbeat in self._promises.heartbeats(owned, now):
            yield SendMessage(peer, heartbeat)

    def _note_authority(self, slot: int, owned: OwnedSlot, now: float) -> None:
        may_act = owned.may_act(now, self.times)
        self._advance(slot, "authority_renewed" if may_act else "authority_lapsed")

    def _is_write_due(self, owned: OwnedSlot, now: float) -> bool:
        return (
            now >= owned.renewed_at + self.times.renewal_s
            or self._is_to_be_freed(owned, now)
            or self.candidates.is_backup_to_change(owned, now)
        )

    def _is_to_be_freed(self, owned: OwnedSlot, now: float) -> bool:
        if owned.released_at is None:
            return False
        wait = self.times.promise_s if owned.record.backup else 0.0
        return now >= owned.released_at + wait

    def _read_free_slots(self, now: float) -> Iterator[Effect]:
        if self._is_leaving:
            return
        for slot, record in self.directory.record_by_slot.items():
            if record.is_free and self.candidates.may_claim_free(
                slot, self.directory.unchanged_for(slot, now)
            ):
                yield from self._read(slot, now)

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
        """Hand every owned slot over, or free it."""
        self._is_leaving = True
        for owned in list(self.owned_by_slot.values()):
            yield from self._release(owned, now)
            if not owned.record.backup:
                yield from self._read(owned.record.slot, now)

    def _release(self, owned: OwnedSlot, now: float) -> Iterator[Effect]:
        if owned.released_at is not None:
            return
        owned.released_at = now
        record = owned.record
        self._advance(record.slot, "release_sent")
        yield Notify(SlotReleasing(record.slot, record.epoch, record.backup_address))

    @handles(SlotReleasing)
    def on_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Tell the backup, after the other roles have sent their state."""
        owned = self.owned_by_slot.get(event.slot)
        if owned is not None and event.peer:
            yield SendMessage(event.peer, SlotHandover(appointment_of(owned)))

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Take up what was read or written."""
        if event.call == self._listing:
            yield from self._on_listing(event, now)
        elif event.call in self._slot_by_call:
            del self._slot_by_call[event.call]
            if not isinstance(event.result, Err):
                yield from self._on_entry(event.result.ok_value, now)
        elif event.call in self._write_by_call:
            yield from self._on_written(event, now)

    def _on_listing(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        if isinstance(event.result, Err):
            self._next_list = min(self._next_list, now + self.times.list_s)
            return
        listing = event.result.ok_value
        assert isinstance(listing, Listing)
        by_key = {entry.key: entry for entry in listing.entries}
        for slot in range(self.number_of_slots):
            key = key_of(slot)
            yield from self._on_entry(by_key.get(key, Entry(key, b"", 0)), now)

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
        self.directory.observe(record, entry.revision, now)
        yield from self._settle(record, now)
        if slot in self._busy_slots():
            return
        write = self._next_write(record, now)
        if write is not None:
            yield self._send_write(write, entry.revision)

    def _settle(self, record: SlotRecord, now: float) -> Iterator[Effect]:
        """Compare a record that was read with what this daemon holds."""
        slot = record.slot
        guard = self.guard_by_slot.get(slot)
        if guard is not None:
            guard.is_unresolved = False
            if not guard.matches(
                record, self.identity.name, self.identity.incarnation
            ) and not self._is_own(record):
                del self.guard_by_slot[slot]
        owned = self.owned_by_slot.get(slot)
        write = self._write_by_slot.get(slot)
        if self._is_own(record):
            if owned is None or owned.record != record:
                yield from self._confirm(self._write_of(record, write, now), now)
        elif owned is not None:
            yield from self._lose(slot)

    def _write_of(
        self, record: SlotRecord, write: SlotWrite | None, now: float
    ) -> SlotWrite:
        if write is not None and write.record == record:
            return write
        owned = self.owned_by_slot.get(record.slot)
        if owned is not None:
            return SlotWrite(WriteKind.RENEW, record, owned.renewed_at)
        wait = self.times.promise_s * CLOCK_MARGIN
        sent_at = now - self.times.lapse_s
        return SlotWrite(WriteKind.CLAIM, record, sent_at, Takeover.EXPIRED, now + wait)

    def _is_own(self, record: SlotRecord) -> bool:
        return (record.owner, record.incarnation) == (
            self.identity.name,
            self.identity.incarnation,
        )

    def _next_write(self, record: SlotRecord, now: float) -> SlotWrite | None:
        owned = self.owned_by_slot.get(record.slot)
        if owned is not None:
            return self._next_write_of_owner(owned, now)
        guard = self.guard_by_slot.get(record.slot)
        if guard is not None:
            if not guard.is_lapsed(now, self.times):
                return None
            takeover = Takeover.HANDOVER if guard.is_released else Takeover.BACKUP
            return claim(record, self.identity, now, takeover, now)
        if self._is_leaving:
            return None
        return self._claim_of_candidate(record, now)

    def _next_write_of_owner(self, owned: OwnedSlot, now: float) -> SlotWrite | None:
        record = owned.record
        if owned.released_at is not None:
            return release(record, now) if self._is_to_be_freed(owned, now) else None
        if self.candidates.is_backup_to_change(owned, now):
            backup = self.candidates.backup_for(record.slot, now)
            return appointment(record, backup, now)
        if now >= owned.renewed_at + self.times.renewal_s:
            return renewal(record, now)
        return None

    def _claim_of_candidate(self, record: SlotRecord, now: float) -> SlotWrite | None:
        slot = record.slot
        unchanged = self.directory.unchanged_for(slot, now)
        if record.is_free:
            if not self.candidates.may_claim_free(slot, unchanged):
                return None
            return claim(record, self.identity, now, Takeover.FREE, now)
        wait = self.times.promise_s * CLOCK_MARGIN
        if record.owner == self.identity.name:
            if record.incarnation > self.identity.incarnation:
                return None
            return claim(record, self.identity, now, Takeover.RESTART, now + wait)
        lapse = self.times.lapse_s * CLOCK_MARGIN
        if unchanged > lapse and self.candidates.may_claim_free(
            slot, unchanged - lapse
        ):
            return claim(record, self.identity, now, Takeover.EXPIRED, now)
        return None

    def _send_write(self, write: SlotWrite, revision: int) -> Effect:
        slot = write.record.slot
        earlier = self._write_by_slot.get(slot)
        if earlier is not None and earlier.record == write.record:
            write = earlier
        self._write_by_slot[slot] = write
        guard = self.guard_by_slot.get(slot)
        if guard is not None:
            guard.is_unresolved = True
        if write.kind is WriteKind.CLAIM:
            self._advance(slot, "claim_sent")
        call = self.store_calls.next()
        self._write_by_call[call] = write
        value = encode_record(write.record)
        return StoreCall(call, CompareAndSwap(key_of(slot), value, revision))

    def _on_written(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        write = self._write_by_call.pop(event.call)
        slot = write.record.slot
        if isinstance(event.result, Err):
            yield Count("knapweedlead.slots.write_failures")
            if event.result.err_value.fault is StoreFault.UNAVAILABLE:
                self._settle_refused(slot)
            else:
                self._next_read_by_slot.pop(slot, None)
                yield from self._read(slot, now)
            return
        self.directory.learn(write.record)
        yield from self._confirm(write, now)

    def _settle_refused(self, slot: int) -> None:
        self._advance(slot, "claim_refused")
        guard = self.guard_by_slot.get(slot)
        if guard is not None:
            guard.is_unresolved = False

    def _confirm(self, write: SlotWrite, now: float) -> Iterator[Effect]:
        slot = write.record.slot
        if write.kind is WriteKind.RELEASE:
            yield from self._lose(slot)
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
        guard = self.guard_by_slot.pop(record.slot, None)
        acts_from = max(now, write.acts_from)
        if guard is not None and not guard.is_released:
            acts_from = max(acts_from, guard.lapses_at(self.times))
        self.owned_by_slot[record.slot] = OwnedSlot(record, write.sent_at, acts_from)
        self._advance(record.slot, "claim_sent")
        self._advance(record.slot, "claim_confirmed")
        takeover = write.takeover
        yield LogEvent(
            "slot_acquired",
            (("slot", record.slot), ("epoch", record.epoch), ("by", takeover.value)),
        )
        yield Count("knapweedlead.slots.acquired", (("by", takeover.value),))
        number = guard.appointment if guard is not None else 0
        yield Notify(
            SlotAcquired(record.slot, record.epoch, acts_from, takeover, number)
        )

    def _lose(self, slot: int) -> Iterator[Effect]:
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
        """Promise not to take over the named slots for a while."""
        if heartbeat.incarnation != self.identity.incarnation:
            return
        promised = tuple(
            named
            for named in heartbeat.appointments
            if self._promise(peer, named.slot, named.epoch, named.number, now)
        )
        yield SendMessage(peer, SlotPromise(heartbeat.sequence, promised))

    def _promise(
        self, peer: str, slot: int, epoch: int, number: int, now: float
    ) -> bool:
        guard = self.guard_by_slot.get(slot)
        owned = self.owned_by_slot.get(slot)
        if owned is not None and owned.record.epoch >= epoch:
            return False
        if guard is None or (guard.epoch, guard.appointment) < (epoch, number):
            self.guard_by_slot[slot] = Guard(slot, epoch, number, peer, now)
            return not self._is_claiming(slot)
        if (guard.epoch, guard.appointment) > (epoch, number) or guard.is_released:
            return False
        if guard.is_unresolved or self._is_claiming(slot):
            return False
        guard.promised_at = now
        return True

    def _is_claiming(self, slot: int) -> bool:
        return any(write.record.slot == slot for write in self._write_by_call.values())

    @handles_message(SlotPromise)
    def on_promise(
        self, peer: str, promise: SlotPromise, now: float
    ) -> Iterator[Effect]:
        """Extend the authority over owned slots."""
        self._promises.take_up(peer, promise, self.owned_by_slot, now)
        yield from ()

    @handles_message(SlotHandover)
    def on_handover(
        self, peer: str, handover: SlotHandover, now: float
    ) -> Iterator[Effect]:
        """Take a slot over at once."""
        named = handover.appointment
        guard = self.guard_by_slot.get(named.slot)
        if guard is None or (guard.epoch, guard.appointment) < (
            named.epoch,
            named.number,
        ):
            guard = Guard(named.slot, named.epoch, named.number, peer, now)
            self.guard_by_slot[named.slot] = guard
        if (guard.epoch, guard.appointment) == (named.epoch, named.number):
            guard.is_released = True
            self._next_read_by_slot.pop(named.slot, None)
            yield from self._read(named.slot, now)

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Learn who owns a slot."""
        if hint.record.slot in self.directory.record_by_slot:
            self.directory.learn(hint.record)
        yield from ()
