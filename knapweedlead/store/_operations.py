"""Operations of the platform's store and their results."""

import attrs


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
    after : int
        Revision to compare with; the store answers once the key has a different one.
    wait : float
        Seconds after which the store answers without a change.
    """

    key: str
    after: int
    wait: float


@attrs.frozen
class CompareAndSwap(StoreOperation):
    """Write a key if it has the expected revision; answered by `Written`.

    If the key has a different revision, the result is a `StoreError` with
    ``CONFLICT``.

    Parameters
    ----------
    key : str
        Key to write.
    value : bytes
        New value, of at most 1 MB.
    expected : int
        Expected revision; 0 if the key must not exist.
    lease : str
        Lease whose expiry deletes the key; empty for none.
    """

    key: str
    value: bytes
    expected: int
    lease: str = ""


@attrs.frozen
class Delete(StoreOperation):
    """Delete a key if it has the expected revision; answered by `Written`."""

    key: str
    expected: int


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
    """A key with its value and revision.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes
        Value; empty if the key does not exist.
    revision : int
        Revision of the last write; 0 if the key does not exist.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Listing(StoreResult):
    """All entries under a prefix."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Written(StoreResult):
    """A write, deletion or revocation took effect.

    Parameters
    ----------
    revision : int
        New revision of the key, or 0 if the store did not return it.
    """

    revision: int


@attrs.frozen
class LeaseGranted(StoreResult):
    """A lease was created or renewed and is valid for `seconds` from now."""

    lease: str
    seconds: float
