"""Decisions on the next write to a slot's record."""

from knapweedlead.node import Identity
from knapweedlead.ownership._candidates import Candidates
from knapweedlead.ownership._directory import SlotDirectory
from knapweedlead.ownership._events import Takeover
from knapweedlead.ownership._owned import Guard, OwnedSlot
from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._times import CLOCK_MARGIN, OwnershipTimes
from knapweedlead.ownership._writes import (
    SlotWrite,
    WriteKind,
    appointment,
    claim,
    release,
    renewal,
)


class SlotDecisions:
    """Decides what to write after a record was read.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    times : OwnershipTimes
        Times of the slots.
    candidates : Candidates
        Ranks the members.
    directory : SlotDirectory
        What is known about the slots.
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

    def is_own(self, record: SlotRecord) -> bool:
        """Return whether a record names this start of this daemon as the owner."""
        identity = self.identity
        owner = identity.name, identity.incarnation
        return (record.owner, record.incarnation) == owner

    def is_write_due(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether an owned slot's record has to be written."""
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

    def write_of_owner(self, owned: OwnedSlot, now: float) -> SlotWrite | None:
        """Return the write that an owned slot needs."""
        record = owned.record
        if owned.released_at is not None:
            return release(record, now) if self._is_to_be_freed(owned, now) else None
        if self.candidates.is_backup_to_change(owned, now):
            backup = self.candidates.backup_for(record.slot, now)
            return appointment(record, backup, now)
        if now >= owned.renewed_at + self.times.renewal_s:
            return renewal(record, now)
        return None

    def takeover(
        self, record: SlotRecord, guard: Guard, is_leaving: bool, now: float
    ) -> SlotWrite | None:
        """Return the write with which a backup takes over.

        A daemon that is leaving takes only what was handed to it, to free it.
        """
        if guard.is_released:
            return claim(record, self.identity, now, Takeover.HANDOVER, now)
        if is_leaving or not guard.is_lapsed(now, self.times):
            return None
        return claim(record, self.identity, now, Takeover.BACKUP, now)

    def claim_of_candidate(self, record: SlotRecord, now: float) -> SlotWrite | None:
        """Return the write that claims a slot without an owner."""
        unchanged = self.directory.unchanged_for(record.slot, now)
        if record.is_free:
            if not self.candidates.may_claim_free(record.slot, unchanged):
                return None
            return claim(record, self.identity, now, Takeover.FREE, now)
        if record.owner == self.identity.name:
            return self._claim_of_restarted(record, now)
        beyond_lapse = unchanged - self.times.lapse_s * CLOCK_MARGIN
        if beyond_lapse <= 0.0:
            return None
        if not self.candidates.may_claim_free(record.slot, beyond_lapse):
            return None
        return claim(record, self.identity, now, Takeover.EXPIRED, now)

    def _claim_of_restarted(self, record: SlotRecord, now: float) -> SlotWrite | None:
        if record.incarnation > self.identity.incarnation:
            return None
        acts_from = now + self.times.promise_s * CLOCK_MARGIN
        return claim(record, self.identity, now, Takeover.RESTART, acts_from)

    def landed_write(
        self,
        record: SlotRecord,
        owned: OwnedSlot | None,
        last: SlotWrite | None,
        now: float,
    ) -> SlotWrite:
        """Return the write that an own record in the store came from.

        One that is no longer known gives no authority until it is renewed.
        """
        if last is not None and last.record == record:
            return last
        if owned is not None:
            return SlotWrite(WriteKind.RENEW, record, owned.renewed_at)
        acts_from = now + self.times.promise_s * CLOCK_MARGIN
        sent_at = now - self.times.lapse_s
        return SlotWrite(WriteKind.CLAIM, record, sent_at, Takeover.EXPIRED, acts_from)
