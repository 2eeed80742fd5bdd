"""Limit of the memory that the messages of many connections take together."""

from typing import Generic, TypeVar

_Owner = TypeVar("_Owner")


class BufferBudget(Generic[_Owner]):
    """Memory of the messages of many connections.

    Parameters
    ----------
    limit : int
        Bytes that may be held together.

    Attributes
    ----------
    used : int
        Estimate of the bytes held by all owners.
    reserved : int
        Bytes held beside those of the owners, which closing an owner does not free.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.reserved = 0
        self._held_by_owner: dict[_Owner, int] = {}

    def hold(self, owner: _Owner, count: int) -> None:
        """Record that an owner holds more bytes."""
        self._held_by_owner[owner] = self._held_by_owner.get(owner, 0) + count
        self.used += count

    def set(self, owner: _Owner, count: int) -> None:
        """Record how many bytes an owner holds."""
        self.release(owner)
        if count:
            self.hold(owner, count)

    def release(self, owner: _Owner) -> None:
        """Record that an owner holds nothing any more."""
        self.used -= self._held_by_owner.pop(owner, 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the limit is held."""
        return self.used + self.reserved > self.limit

    def owners(self) -> list[_Owner]:
        """Return the owners that hold something."""
        return list(self._held_by_owner)

    def largest(self) -> _Owner:
        """Return the owner that holds most; there must be one."""
        return max(self._held_by_owner, key=self._held_by_owner.__getitem__)
