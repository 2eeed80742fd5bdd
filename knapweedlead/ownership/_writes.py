"""Which write a daemon makes for a slot after it has read the record."""

import enum

import attrs

from knapweedlead.membership import Member
from knapweedlead.node import Identity
from knapweedlead.ownership._events import Takeover
from knapweedlead.ownership._record import SlotRecord


class WriteKind(enum.Enum):
    """What a write to a slot's record does."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@attrs.frozen
class SlotWrite:
    """A compare-and-swap of a slot's record.

    Parameters
    ----------
    kind : WriteKind
        What it does.
    record : SlotRecord
        The new record.
    sent_at : float
        When a write with this record was first sent.
    takeover : Takeover
        Evidence of a claim.
    acts_from : float
        Time before which a claimed slot may not be acted for.
    """

    kind: WriteKind
    record: SlotRecord
    sent_at: float
    takeover: Takeover = Takeover.FREE
    acts_from: float = 0.0


def claim(
    record: SlotRecord,
    identity: Identity,
    now: float,
    takeover: Takeover,
    acts_from: float,
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
    return SlotWrite(WriteKind.CLAIM, claimed, now, takeover, acts_from)


def renewal(record: SlotRecord, now: float) -> SlotWrite:
    """Return the write that renews an owned slot."""
    renewed = attrs.evolve(record, count=record.count + 1)
    return SlotWrite(WriteKind.RENEW, renewed, now)


def appointment(record: SlotRecord, backup: Member | None, now: float) -> SlotWrite:
    """Return the write that names another backup, which also renews."""
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


def release(record: SlotRecord, now: float) -> SlotWrite:
    """Return the write that frees an owned slot."""
    freed = SlotRecord(record.slot, record.epoch, record.count + 1)
    return SlotWrite(WriteKind.RELEASE, freed, now)
