"""Selection of the next write to a slot's record."""

from knapweedlead.node import Identity
from knapweedlead.ownership._candidates import Candidates
from knapweedlead.ownership._directory import SlotDirectory
from knapweedlead.ownership._events import Takeover
from knapweedlead.ownership._owned import BackupSlot, OwnedSlot
from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import CLOCK_MARGIN, OwnershipTimes
from knapweedlead.ownership._writes import (
    SlotWrite,
    WriteKind,
    appointment_write,
    claim_write,
    release_write,
    renewal_write,
)


class SlotDecisions:
    """Selects the next write to a slot's record, as owner, backup or candidate.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    times : OwnershipTimes
        Timing of slot ownership.
    candidates : Candidates
        Ranks the members.
    directory : SlotDirectory
        Latest known records of the slots.
    """

    def __init__(
        self,
        identity: Identity,
        times: OwnershipTimes,
        candidates: Candidates,
        directory: SlotDirectory,
    ) -> None:
        self.identity = identity
        self.times = times
        self.candidates = candidates
        self.directory = directory

    def is_owner(self, record: SlotRecord) -> bool:
        """Return whether a record names this start of this daemon as the owner."""
        identity = self.identity
        owner = identity.name, identity.incarnation
        return (record.owner, record.incarnation) == owner

    def is_write_due(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether a renewal, release or new backup is due for an owned slot."""
        return (
            now >= owned.renewed_at + self.times.renewal_s
            or self._is_release_due(owned, now)
            or self.candidates.needs_new_backup(owned, now)
        )

    def _is_release_due(self, owned: OwnedSlot, now: float) -> bool:
        if owned.released_at is None:
            return False
        wait = self.times.promise_s if owned.record.backup else 0.0
        return now >= owned.released_at + wait

    def owner_write(self, owned: OwnedSlot, now: float) -> SlotWrite | None:
        """Return the release, appointment or renewal that is due, or None."""
        record = owned.record
        if owned.released_at is not None:
            return (
                release_write(record, now) if self._is_release_due(owned, now) else None
            )
        if self.candidates.needs_new_backup(owned, now):
            backup = self.candidates.backup_for(record.slot, now)
            return appointment_write(record, backup, now)
        if now >= owned.renewed_at + self.times.renewal_s:
            return renewal_write(record, now)
        return None

    def backup_write(
        self, record: SlotRecord, backup_slot: BackupSlot, is_leaving: bool, now: float
    ) -> SlotWrite | None:
        """Return the write by which a backup takes over a slot, or None if none is due.

        A daemon that is leaving takes over only slots that their owners have handed
        over, in order to free them.
        """
        if backup_slot.is_released:
            return claim_write(record, self.identity, now, Takeover.HANDOVER, now)
        if is_leaving or not backup_slot.has_owner_stopped(now, self.times):
            return None
        return claim_write(record, self.identity, now, Takeover.BACKUP, now)

    def candidate_write(self, record: SlotRecord, now: float) -> SlotWrite | None:
        """Return the write that claims a slot without an active owner, or None.

        Claims a slot that is free, expired or owned by this daemon before a restart.
        """
        unchanged = self.directory.unchanged_for(record.slot, now)
        if record.is_free:
            if not self.candidates.may_claim(record.slot, unchanged):
                return None
            return claim_write(record, self.identity, now, Takeover.FREE, now)
        if record.owner == self.identity.name:
            return self._restart_write(record, now)
        since_expiry = unchanged - self.times.lapse_s * CLOCK_MARGIN
        if since_expiry <= 0.0:
            return None
        if not self.candidates.may_claim(record.slot, since_expiry):
            return None
        return claim_write(record, self.identity, now, Takeover.EXPIRED, now)

    def _restart_write(self, record: SlotRecord, now: float) -> SlotWrite | None:
        if record.incarnation > self.identity.incarnation:
            return None
        may_act_from = now + self.times.promise_s * CLOCK_MARGIN
        return claim_write(record, self.identity, now, Takeover.RESTART, may_act_from)

    def stored_write(
        self,
        record: SlotRecord,
        owned: OwnedSlot | None,
        last: SlotWrite | None,
        now: float,
    ) -> SlotWrite:
        """Return the write that put a record of this daemon into the store.

        If that write is no longer known, a substitute is returned that grants no
        authority until the record is renewed.
        """
        if last is not None and last.record == record:
            return last
        if owned is not None:
            return SlotWrite(WriteKind.RENEW, record, owned.renewed_at)
        may_act_from = now + self.times.promise_s * CLOCK_MARGIN
        sent_at = now - self.times.lapse_s
        return SlotWrite(
            WriteKind.CLAIM, record, sent_at, Takeover.EXPIRED, may_act_from
        )
