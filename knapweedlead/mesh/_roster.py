"""Members of the fleet, as listed by the store."""

from knapweedlead.mesh._fleet_state import Member

RETENTION = 4.0
"""Seconds for which a removed daemon still counts in the division of rates. A daemon
without a connection to the fleet keeps admitting calls with keys for that long; its
lease has expired before."""


class Roster:
    """Members by name, and the daemons among which rates are divided."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self._removed_at_by_name: dict[str, float] = {}

    def replace(self, members: dict[str, Member], now: float) -> None:
        """Set the members; removed members still count for `RETENTION` seconds."""
        for name in self.by_name.keys() - members.keys():
            self._removed_at_by_name[name] = now
        for name in members:
            self._removed_at_by_name.pop(name, None)
        self.by_name = members

    def names(self, now: float) -> frozenset[str]:
        """Return the names of the daemons that may still admit calls."""
        for name, removed_at in list(self._removed_at_by_name.items()):
            if now - removed_at > RETENTION:
                del self._removed_at_by_name[name]
        return frozenset(self.by_name) | frozenset(self._removed_at_by_name)
