"""What the store holds about a slot."""

import json

import attrs
from result import Err, Ok, Result

from knapweedlead.errors import ResourceError
from knapweedlead.messages import nested

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
        Rises with each change of the owner.
    count : int
        Rises with each write.
    owner : str
        Member name; empty where the slot is free.
    incarnation : int
        Start identity of the owner.
    link_address : str
        Link address of the owner.
    backup : str
        Member that may take over once its promise has lapsed; empty for none.
    backup_incarnation : int
        Start identity of the backup.
    backup_address : str
        Link address of the backup.
    appointment : int
        Value of `count` at which the backup was named.
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
        """Return whether nobody owns the slot."""
        return not self.owner

    @property
    def age(self) -> tuple[int, int]:
        """Return a key that rises with each write."""
        return self.epoch, self.count


def key_of(slot: int) -> str:
    """Return the store's key of a slot."""
    return f"{SLOTS_PREFIX}{slot}"


def free_record(slot: int) -> SlotRecord:
    """Return the record of a slot that nobody has owned."""
    return SlotRecord(slot, epoch=0, count=0)


def encode_record(record: SlotRecord) -> bytes:
    """Return the store's value of a record."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_record(key: str, value: bytes) -> Result[SlotRecord, ResourceError]:
    """Read a record from the store's value."""
    try:
        return Ok(SlotRecord(**json.loads(value)))
    except (ValueError, TypeError) as error:
        detail = f"not a slot record: {type(error).__name__}"
        return Err(ResourceError("ownership.decode", key, detail))
