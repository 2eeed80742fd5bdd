"""Operations of the platform's store and their results."""

import attrs

from knapweedlead.positions import StorePosition

ABSENT = StorePosition()
"""Expected position of a key that must not exist, in any era."""


@attrs.frozen
class StoreOperation:
    """Base class of the operations."""


@attrs.frozen
class Get(StoreOperation):
    """Read one key; answered by `Entry`."""

    key: str


@attrs.frozen
class List(StoreOperation):
    """Read all keys under a prefix; answered by `Listing`."""

    prefix: str


@attrs.frozen
class Watch(StoreOperation):
    """Wait until a key changes or `wait` ends; answered by `Entry` in both cases.

    Parameters
    ----------
    key : str
        Key to watch.
    after : StorePosition
        Position to compare with; the store answers once the key has a different one.
    wait : float
        Seconds after which the store answers without a change.
    """

    key: str
    after: StorePosition
    wait: float


@attrs.frozen
class CompareAndSwap(StoreOperation):
    """Write a key if it has the expected position; answered by `Written`.

    If the key has a different position, the result is a `StoreError` with
    ``CONFLICT``. So it is if the store is known to be in another era, in which the
    same revision may be that of another value.

    Parameters
    ----------
    key : str
        Key to write.
    value : bytes
        New value, of at most 1 MB.
    expected : StorePosition
        Expected position; `ABSENT` if the key must not exist.
    lease : str
        Lease whose expiry deletes the key; empty for none.
    """

    key: str
    value: bytes
    expected: StorePosition
    lease: str = ""


@attrs.frozen
class Delete(StoreOperation):
    """Delete a key if it has the expected position; answered by `Written`."""

    key: str
    expected: StorePosition


@attrs.frozen
class CreateLease(StoreOperation):
    """Create a lease with a TTL in seconds; answered by `LeaseGranted`."""

    seconds: float


@attrs.frozen
class RenewLease(StoreOperation):
    """Renew a lease; answered by `LeaseGranted`.

    If the lease has expired, the result is a `StoreError` with ``CONFLICT``.
    """

    lease: str


@attrs.frozen
class RevokeLease(StoreOperation):
    """Revoke a lease, which deletes its keys; answered by `Written`."""

    lease: str


@attrs.frozen
class StoreResult:
    """Base class of the results."""


@attrs.frozen
class Entry(StoreResult):
    """A key with its value and position.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes
        Value; empty if the key does not exist.
    position : StorePosition
        Era of the answer, and revision of the last write; revision 0 if the key does
        not exist.
    """

    key: str
    value: bytes
    position: StorePosition


@attrs.frozen
class Listing(StoreResult):
    """All entries under a prefix."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Written(StoreResult):
    """A write, deletion or revocation took effect."""


@attrs.frozen
class LeaseGranted(StoreResult):
    """A lease was created or renewed and is valid for `seconds` from now."""

    lease: str
    seconds: float
