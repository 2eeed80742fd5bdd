"""Daemons of the fleet, as the store lists them."""

from knapweedlead.mesh._fleet_state import Member

RETENTION = 4.0
"""Seconds for which a removed daemon still counts for the division of rates, as long
as one that is cut off goes on admitting calls with keys; its lease has run out before
that."""


class Roster:
    """Members by name, and for how many daemons rates are divided."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self._removed_at_by_name: dict[str, float] = {}

    def replace(self, members: dict[str, Member], now: float) -> None:
        """Take the members; those that are gone still count for a while."""
        for name in self.by_name.keys() - members.keys():
            self._removed_at_by_name[name] = now
        for name in members:
            self._removed_at_by_name.pop(name, None)
        self.by_name = members

    def names(self, now: float) -> frozenset[str]:
        """Return the daemons that may be admitting calls."""
        for name, removed_at in list(self._removed_at_by_name.items()):
            if now - removed_at > RETENTION:
                del self._removed_at_by_name[name]
        return frozenset(self.by_name) | frozenset(self._removed_at_by_name)
