"""Attempts to reach the owner of a slot."""

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from knapweedlead.ownership._role import OwnershipRole


@attrs.define
class OwnerAttempts:
    """Failed attempts of one request to reach the owner of its slot.

    They are counted for the owner that the directory names: once it names another one,
    which a `SlotHint` may tell it, the attempts begin with that one.

    Attributes
    ----------
    failed : int
        Failed attempts since the owner was last asked first.
    owner : str
        Link address of the owner that was asked first.
    """

    failed: int = 0
    owner: str = ""

    def peer(self, ownership: "OwnershipRole", slot: int) -> str:
        """Return the link address for the next attempt; empty if none is known."""
        owner = ownership.owner_address(slot)
        if owner != self.owner:
            self.owner = owner
            self.failed = 0
        return ownership.peer_of(slot, self.failed)
