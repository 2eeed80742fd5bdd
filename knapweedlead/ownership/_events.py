"""Events of the slots within a node."""

import enum

import attrs

from knapweedlead.node import Event


class Takeover(enum.Enum):
    """On what evidence a slot was taken over."""

    FREE = "free"
    """Nobody owned the slot."""
    HANDOVER = "handover"
    """The owner said that it had stopped."""
    BACKUP = "backup"
    """The backup's promise to the owner had lapsed."""
    RESTART = "restart"
    """The owner was an earlier start of this daemon."""
    EXPIRED = "expired"
    """The owner's last renewal had lapsed."""


@attrs.frozen
class SlotAcquired(Event):
    """The daemon owns a slot.

    Parameters
    ----------
    slot, epoch : int
        The slot and its new epoch.
    acts_from : float
        Time from which the daemon may act, on the clock of ``now``.
    takeover : Takeover
        The evidence.
    appointment : int
        Appointment as a backup under which it took over; 0 for none.
    """

    slot: int
    epoch: int
    acts_from: float
    takeover: Takeover
    appointment: int = 0


@attrs.frozen
class SlotLost(Event):
    """The daemon no longer owns a slot."""

    slot: int


@attrs.frozen
class SlotReleasing(Event):
    """The daemon is about to hand a slot to its backup.

    Parameters
    ----------
    slot, epoch : int
        The slot and the epoch that ends.
    peer : str
        Link address of the backup.
    """

    slot: int
    epoch: int
    peer: str


@attrs.frozen
class BackupNamed(Event):
    """An owned slot has another backup.

    Parameters
    ----------
    slot : int
        The slot.
    peer : str
        Link address of the backup; empty for none.
    """

    slot: int
    peer: str
