"""Times that limit the authority of a slot's owner."""

from typing import ClassVar

import attrs

from knapweedlead.parameters import Constraint, Interval

MAX_CLOCK_RATE_ERROR = 1e-3
"""Largest relative error of a daemon's clock rate against real time."""

CLOCK_MARGIN = 1.01
"""Factor by which a daemon extends a time limit that another daemon measures.

Exceeds ``(1 + MAX_CLOCK_RATE_ERROR) / (1 - MAX_CLOCK_RATE_ERROR)``.
"""


@attrs.frozen
class OwnershipTimes:
    """Timing of slot ownership; must be the same on every daemon.

    Parameters
    ----------
    lapse_s : float
        Seconds after which an owner stops acting, counted from when it sent its
        last confirmed renewal to the store.
    promise_s : float
        Seconds for which a backup promises not to take over.
    heartbeat_s : float
        Seconds between heartbeats of an owner to its backup.
    silence_s : float
        Seconds without a promise after which an owner appoints another backup.
    renewal_s : float
        Seconds between renewals of a slot in the store.
    list_s : float
        Minimum seconds between two listings of all slots by one daemon.
    list_s_per_member : float
        Minimum seconds between two listings by one daemon, multiplied by the number of
        members, which limits the rate of listings by the whole fleet.
    settle_s : float
        Seconds for which a slot must be observed as free before it is claimed.
    rank_s : float
        Additional seconds that a member waits for each rank below the first.
    handover_s : float
        Seconds between two handovers of slots to backups of a better rank.
    settled_s : float
        Seconds for which a backup of a better rank must have been appointed before a
        slot is handed over to that backup.
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
