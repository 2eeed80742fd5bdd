"""Ownership of slots, the partitions of the fleet's shared state."""

from knapweedlead.ownership._events import (
    BackupNamed,
    SlotAcquired,
    SlotLost,
    SlotReleasing,
    Takeover,
)
from knapweedlead.ownership._messages import SlotHint
from knapweedlead.ownership._owned import OwnedSlot
from knapweedlead.ownership._owner_attempts import OwnerAttempts
from knapweedlead.ownership._ranking import slot_of
from knapweedlead.ownership._record import SlotRecord
from knapweedlead.ownership._role import OwnershipRole
from knapweedlead.ownership._times import (
    CLOCK_MARGIN,
    MAX_CLOCK_RATE_ERROR,
    OwnershipTimes,
)

__all__ = [
    "CLOCK_MARGIN",
    "MAX_CLOCK_RATE_ERROR",
    "BackupNamed",
    "OwnedSlot",
    "OwnerAttempts",
    "OwnershipRole",
    "OwnershipTimes",
    "SlotAcquired",
    "SlotHint",
    "SlotLost",
    "SlotRecord",
    "SlotReleasing",
    "Takeover",
    "slot_of",
]
