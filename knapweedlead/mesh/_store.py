"""What a daemon asks of the store that lasts."""

import enum

import attrs


class StorePurpose(enum.Enum):
    """Why a call is made; each value is a counter label."""

    START = "start"
    WATCH = "watch"
    REGISTRATION = "registration"
    RENEWAL = "renewal"


@attrs.frozen
class LeaseGrant:
    """A lease and its duration in seconds."""

    lease: int
    duration: float
