"""Messages about slots (codes 40 to 49)."""

import attrs

from knapweedlead.messages import message, nested
from knapweedlead.ownership._record import SlotRecord


@nested
@attrs.frozen
class Appointment:
    """Names one backup of one slot.

    Parameters
    ----------
    slot, epoch, number : int
        The slot, its epoch and the number of the appointment.
    """

    slot: int
    epoch: int
    number: int


@message(40)
@attrs.frozen
class SlotHeartbeat:
    """An owner asks its backup not to take over for a while.

    Parameters
    ----------
    sequence : int
        Number that the promise repeats.
    incarnation : int
        Start identity of the backup that is meant.
    appointments : tuple of Appointment
        Slots for which the receiver is the backup.
    """

    sequence: int
    incarnation: int
    appointments: tuple[Appointment, ...]


@message(41)
@attrs.frozen
class SlotPromise:
    """A backup promises not to take over.

    Parameters
    ----------
    sequence : int
        Number of the heartbeat.
    appointments : tuple of Appointment
        The appointments for which it promises.
    """

    sequence: int
    appointments: tuple[Appointment, ...]


@message(42)
@attrs.frozen
class SlotHint:
    """What the sender knows about a slot that it does not own."""

    record: SlotRecord


@message(43)
@attrs.frozen
class SlotHandover:
    """An owner has stopped acting for good; its backup may take over at once."""

    appointment: Appointment
