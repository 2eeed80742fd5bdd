"""Events about slots within a node."""

import enum

import attrs

from knapweedlead.node import Event


class Takeover(enum.Enum):
    """Condition under which a daemon became the owner of a slot."""

    FREE = "free"
    """The slot had no owner."""
    HANDOVER = "handover"
    """The owner announced that it had stopped acting."""
    BACKUP = "backup"
    """The backup's promise to the owner had expired."""
    RESTART = "restart"
    """The owner was this daemon before a restart."""
    EXPIRED = "expired"
    """The owner's last renewal had expired."""


@attrs.frozen
class SlotAcquired(Event):
    """The daemon has become the owner of a slot.

    Parameters
    ----------
    slot, epoch : int
        The slot and its new epoch.
    may_act_from : float
        Time from which the daemon may act, on the same clock as ``now``.
    takeover : Takeover
        Condition that allowed the acquisition.
    appointment : int
        Appointment under which this daemon took over as the backup; 0 for none.
    """

    slot: int
    epoch: int
    may_act_from: float
    takeover: Takeover
    appointment: int = 0


@attrs.frozen
class SlotLost(Event):
    """The daemon is no longer the owner of a slot."""

    slot: int


@attrs.frozen
class SlotReleasing(Event):
    """The daemon is about to hand a slot over to its backup.

    Parameters
    ----------
    slot, epoch : int
        The slot and its epoch, which ends with the handover.
    peer : str
        Link address of the backup.
    """

    slot: int
    epoch: int
    peer: str


@attrs.frozen
class BackupNamed(Event):
    """An owned slot got a different backup.

    Parameters
    ----------
    slot : int
        The slot.
    peer : str
        Link address of the backup; empty for none.
    """

    slot: int
    peer: str
