"""Writes to the record of a slot."""

import enum

import attrs

from knapweedlead.membership import Member
from knapweedlead.node import Identity
from knapweedlead.ownership._events import Takeover
from knapweedlead.ownership._record import SlotRecord


class WriteKind(enum.Enum):
    """Purpose of a write to a slot's record."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@attrs.frozen
class SlotWrite:
    """A compare-and-swap of a slot's record.

    Parameters
    ----------
    kind : WriteKind
        Purpose of the write.
    record : SlotRecord
        The new record.
    sent_at : float
        When a write of this record was first sent.
    takeover : Takeover
        Condition that allows a claim; unused for other kinds.
    may_act_from : float
        Time before which the daemon may not act for a claimed slot.
    """

    kind: WriteKind
    record: SlotRecord
    sent_at: float
    takeover: Takeover = Takeover.FREE
    may_act_from: float = 0.0


def claim_write(
    record: SlotRecord,
    identity: Identity,
    now: float,
    takeover: Takeover,
    may_act_from: float,
) -> SlotWrite:
    """Return the write that makes this daemon the owner, without a backup."""
    claimed = SlotRecord(
        slot=record.slot,
        epoch=record.epoch + 1,
        count=record.count + 1,
        owner=identity.name,
        incarnation=identity.incarnation,
        link_address=identity.link_address,
    )
    return SlotWrite(WriteKind.CLAIM, claimed, now, takeover, may_act_from)


def renewal_write(record: SlotRecord, now: float) -> SlotWrite:
    """Return the write that renews an owned slot."""
    renewed = attrs.evolve(record, count=record.count + 1)
    return SlotWrite(WriteKind.RENEW, renewed, now)


def appointment_write(
    record: SlotRecord, backup: Member | None, now: float
) -> SlotWrite:
    """Return the write that appoints another backup and renews the slot."""
    count = record.count + 1
    appointed = attrs.evolve(
        record,
        count=count,
        backup=backup.name if backup else "",
        backup_incarnation=backup.incarnation if backup else 0,
        backup_address=backup.link_address if backup else "",
        appointment=count,
    )
    return SlotWrite(WriteKind.RENEW, appointed, now)


def release_write(record: SlotRecord, now: float) -> SlotWrite:
    """Return the write that frees an owned slot."""
    freed = SlotRecord(record.slot, record.epoch, record.count + 1)
    return SlotWrite(WriteKind.RELEASE, freed, now)
