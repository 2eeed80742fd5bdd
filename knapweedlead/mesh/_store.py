"""Types for the daemon's use of the store."""

import enum

import attrs


class StorePurpose(enum.Enum):
    """Why a call to the store is made; each value is a counter label."""

    START = "start"
    WATCH = "watch"
    REGISTRATION = "registration"
    RENEWAL = "renewal"
    DEPARTURE = "departure"


@attrs.frozen
class LeaseGrant:
    """Lease granted by the store.

    Parameters
    ----------
    lease : int
        Number that identifies the lease within its era.
    duration : float
        Seconds.
    era : int
        Era of the store in which the lease was granted.
    """

    lease: int
    duration: float
    era: int
