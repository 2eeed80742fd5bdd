"""Limit of the memory that unfinished messages take together."""

from typing import Generic, TypeVar

_Owner = TypeVar("_Owner")


class BufferBudget(Generic[_Owner]):
    """Memory of the unfinished messages of many connections.

    Parameters
    ----------
    limit : int
        Bytes that all owners may hold together.

    Attributes
    ----------
    used : int
        Estimate of the bytes held by all owners.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._held_by_owner: dict[_Owner, int] = {}

    def hold(self, owner: _Owner, count: int) -> None:
        """Record that an owner holds more bytes."""
        self._held_by_owner[owner] = self._held_by_owner.get(owner, 0) + count
        self.used += count

    def release(self, owner: _Owner) -> None:
        """Record that an owner holds nothing any more."""
        self.used -= self._held_by_owner.pop(owner, 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether the owners hold more than the limit."""
        return self.used > self.limit

    def largest(self) -> _Owner:
        """Return the owner that holds most; there must be one."""
        return max(self._held_by_owner, key=self._held_by_owner.__getitem__)
