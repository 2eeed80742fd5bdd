"""Record of a slot in the store."""

import json

import attrs
from result import Err, Ok, Result

from knapweedlead.checks import check_address, check_count, check_name
from knapweedlead.errors import ResourceError
from knapweedlead.messages import nested, read_document

SLOTS_PREFIX = "knapweedlead/slots/"


@nested
@attrs.frozen
class SlotRecord:
    """Owner and backup of a slot; changed only by compare-and-swap.

    Parameters
    ----------
    slot : int
        Number of the slot, from 0.
    epoch : int
        Increases with each change of the owner.
    count : int
        Increases with each write.
    owner : str
        Member name; empty where the slot is free.
    incarnation : int
        Start identity of the owner.
    link_address : str
        Link address of the owner.
    backup : str
        Member that may take over once its promise has expired; empty for none.
    backup_incarnation : int
        Start identity of the backup.
    backup_address : str
        Link address of the backup.
    appointment : int
        Value of `count` at which the backup was appointed.
    """

    slot: int
    epoch: int
    count: int
    owner: str = ""
    incarnation: int = 0
    link_address: str = ""
    backup: str = ""
    backup_incarnation: int = 0
    backup_address: str = ""
    appointment: int = 0

    @property
    def is_free(self) -> bool:
        """Return whether the slot has no owner."""
        return not self.owner

    @property
    def age(self) -> tuple[int, int]:
        """Return a sort key that increases with each write."""
        return self.epoch, self.count


def store_key(slot: int) -> str:
    """Return the key of a slot's record in the store."""
    return f"{SLOTS_PREFIX}{slot}"


def free_record(slot: int) -> SlotRecord:
    """Return the record of a slot that has never had an owner."""
    return SlotRecord(slot, epoch=0, count=0)


def encode_record(record: SlotRecord) -> bytes:
    """Encode a record as a value of the store."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_record(key: str, value: bytes) -> Result[SlotRecord, ResourceError]:
    """Decode a record from a value of the store."""
    try:
        record = read_document(SlotRecord, json.loads(value))
        _check_record(key, record)
    except (ValueError, RecursionError) as error:
        detail = f"not a slot record: {type(error).__name__}: {error}"
        return Err(ResourceError("ownership.decode", key, detail))
    return Ok(record)


def _check_record(key: str, record: SlotRecord) -> None:
    if store_key(record.slot) != key:
        raise ValueError(f"expected the record of {key}, got slot {record.slot}")
    for number in (
        record.epoch,
        record.count,
        record.incarnation,
        record.backup_incarnation,
        record.appointment,
    ):
        check_count(number)
    for name, address in (
        (record.owner, record.link_address),
        (record.backup, record.backup_address),
    ):
        if name:
            check_name(name)
            check_address(address)
