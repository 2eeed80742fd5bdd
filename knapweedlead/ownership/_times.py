"""Times that bound the authority of a slot's owner."""

from typing import ClassVar

import attrs

from knapweedlead.parameters import Constraint, Interval

MAX_CLOCK_RATE_ERROR = 1e-3
"""Largest relative error of a daemon's clock rate against real time."""

CLOCK_MARGIN = 1.01
"""Factor by which a waiting side stretches a time that another side counts.

Exceeds ``(1 + MAX_CLOCK_RATE_ERROR) / (1 - MAX_CLOCK_RATE_ERROR)``.
"""


@attrs.frozen
class OwnershipTimes:
    """Times of the slots; the same on every daemon.

    Parameters
    ----------
    lapse_s : float
        Seconds after the sending of its last confirmed renewal in the store
        until an owner stops acting.
    promise_s : float
        Seconds for which a backup promises not to take over.
    heartbeat_s : float
        Seconds between two heartbeats of an owner to its backup.
    silence_s : float
        Seconds without a promise after which an owner names another backup.
    renewal_s : float
        Seconds between two renewals of a slot in the store.
    list_s : float
        Seconds between two readings of the slots by one daemon, at least.
    list_s_per_member : float
        Seconds added to that time by each member, which bounds the readings of
        the whole fleet.
    settle_s : float
        Seconds for which a slot must be seen to be free before it is claimed.
    rank_s : float
        Seconds that each rank waits beyond that.
    handover_s : float
        Seconds between two slots handed to better ranked backups.
    settled_s : float
        Seconds for which such a backup must have been the backup.
    """

    lapse_s: float = 3900.0
    promise_s: float = 4.0
    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    renewal_s: float = 30.0
    list_s: float = 10.0
    list_s_per_member: float = 0.5
    settle_s: float = 1.0
    rank_s: float = 1.0
    handover_s: float = 2.0
    settled_s: float = 10.0

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "lapse_s": Interval(float, 1.0, 86_400.0, "s"),
        "promise_s": Interval(float, 0.5, 600.0, "s"),
        "heartbeat_s": Interval(float, 0.05, 60.0, "s"),
        "silence_s": Interval(float, 0.1, 600.0, "s"),
        "renewal_s": Interval(float, 0.5, 3600.0, "s"),
        "list_s": Interval(float, 0.5, 3600.0, "s"),
        "list_s_per_member": Interval(float, 0.0, 60.0, "s"),
        "settle_s": Interval(float, 0.0, 60.0, "s"),
        "rank_s": Interval(float, 0.0, 60.0, "s"),
        "handover_s": Interval(float, 0.1, 3600.0, "s"),
        "settled_s": Interval(float, 0.1, 3600.0, "s"),
    }
