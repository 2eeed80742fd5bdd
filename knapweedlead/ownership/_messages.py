"""Messages about slots (codes 40 to 49)."""

import attrs

from knapweedlead.messages import message, nested
from knapweedlead.ownership._record import SlotRecord


@nested
@attrs.frozen
class Appointment:
    """Identifies the appointment of a backup for a slot.

    Parameters
    ----------
    slot, epoch, number : int
        The slot, its epoch and `SlotRecord.appointment`.
    """

    slot: int
    epoch: int
    number: int


@message(40)
@attrs.frozen
class SlotHeartbeat:
    """An owner requests that its backup not take over for `promise_s`.

    Parameters
    ----------
    sequence : int
        Number that the matching `SlotPromise` repeats.
    incarnation : int
        Start identity of the backup to which the heartbeat is addressed.
    appointments : tuple of Appointment
        Appointments of the receiver as a backup.
    """

    sequence: int
    incarnation: int
    appointments: tuple[Appointment, ...]


@message(41)
@attrs.frozen
class SlotPromise:
    """A backup promises not to take over for `promise_s`.

    Parameters
    ----------
    sequence : int
        Number of the heartbeat to which this promise replies.
    appointments : tuple of Appointment
        The appointments that the promise covers.
    """

    sequence: int
    appointments: tuple[Appointment, ...]


@message(42)
@attrs.frozen
class SlotHint:
    """Latest record in the sender's directory of a slot not owned by the sender."""

    record: SlotRecord


@message(43)
@attrs.frozen
class SlotHandover:
    """An owner has stopped acting permanently; its backup may take over at once."""

    appointment: Appointment
