"""Operations on the platform's store and their answers."""

import attrs


@attrs.frozen
class StoreOperation:
    """Base of the operations."""


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
    """Wait for a key to change; answered by `Entry`, changed or not.

    Parameters
    ----------
    key : str
        The watched key.
    after : int
        Answer as soon as the entry's revision differs from this one.
    wait : float
        Seconds after which the answer comes without a change.
    """

    key: str
    after: int
    wait: float


@attrs.frozen
class CompareAndSwap(StoreOperation):
    """Write a key if its revision is the expected one; answered by `Written`.

    A revision that differs gives a `StoreError` with ``CONFLICT``.

    Parameters
    ----------
    key : str
        Key to write.
    value : bytes
        New value, at most a megabyte.
    expected : int
        Current revision; 0 where the key must not exist.
    lease : str
        Lease whose lapse deletes the key; empty for none.
    """

    key: str
    value: bytes
    expected: int
    lease: str = ""


@attrs.frozen
class Delete(StoreOperation):
    """Delete a key if its revision is the expected one; answered by `Written`."""

    key: str
    expected: int


@attrs.frozen
class CreateLease(StoreOperation):
    """Create a lease; answered by `LeaseGranted`."""

    seconds: float


@attrs.frozen
class RenewLease(StoreOperation):
    """Renew a lease; answered by `LeaseGranted`, or ``CONFLICT`` if it lapsed."""

    lease: str


@attrs.frozen
class RevokeLease(StoreOperation):
    """End a lease and delete its keys; answered by `Written`."""

    lease: str


@attrs.frozen
class StoreResult:
    """Base of the answers."""


@attrs.frozen
class Entry(StoreResult):
    """A key as read.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Empty where the key does not exist.
    revision : int
        Revision of its last write; 0 where the key does not exist.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Listing(StoreResult):
    """All keys under a prefix."""

    entries: tuple[Entry, ...]


@attrs.frozen
class Written(StoreResult):
    """A write took effect.

    Parameters
    ----------
    revision : int
        The key's new revision, or 0 where the store did not tell it.
    """

    revision: int


@attrs.frozen
class LeaseGranted(StoreResult):
    """A lease stands for `seconds` from now."""

    lease: str
    seconds: float
