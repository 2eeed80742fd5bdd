"""What a daemon asks of the store that lasts."""

import enum

import attrs


class StorePurpose(enum.Enum):
    """Why a call is made; each value is a counter label."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    RENEWAL = "renewal"


@attrs.frozen
class Item:
    """A key, its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Listing:
    """All items under a prefix, and the revision from which to watch."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Change:
    """Items written and keys removed, and the revision from which to go on."""

    written: tuple[Item, ...]
    removed: tuple[str, ...]
    revision: int


@attrs.frozen
class LeaseGrant:
    """A lease and its duration in seconds."""

    lease: int
    duration: float
