"""Members of the fleet, as listed by the store."""

import math

from knapweedlead.mesh._fleet_state import Member

RETENTION = 4.0
"""Seconds for which a removed daemon still counts in the division of rates. A daemon
without a connection to the fleet keeps admitting calls with keys for that long; its
lease has expired before."""
ABSENCE_TIME = 10.0
"""Seconds without a lease after which a known daemon counts as gone. One that lives
registers again within a few seconds of the store's return."""
SETTLING_TIME = 2.0
"""Seconds without a new name after which a list that began without this daemon counts
as whole; the daemons of a fleet register within that time of each other."""


class Roster:
    """Members by name, and the daemons among which rates are divided.

    Leases may end while all daemons live, so that the list of members may be that of
    the few which have registered again. Names that have been registered before are
    kept without a lease, until they have been absent for `ABSENCE_TIME`.

    Parameters
    ----------
    local_name : str
        Name of this daemon.
    """

    def __init__(self, local_name: str) -> None:
        self.local_name = local_name
        self.by_name: dict[str, Member] = {}
        self.known_names: frozenset[str] = frozenset()
        self._removed_at_by_name: dict[str, float] = {}
        self._absent_since_by_name: dict[str, float] = {}
        self._whole_at = math.inf

    def replace(
        self, members: dict[str, Member], known_names: frozenset[str], now: float
    ) -> None:
        """Set the members; removed members still count for `RETENTION` seconds."""
        for name in self.by_name.keys() - members.keys():
            self._removed_at_by_name[name] = now
        for name in members:
            self._removed_at_by_name.pop(name, None)
        self._settle(known_names.union(members), now)
        self.by_name = members
        self.known_names = known_names
        since = self._absent_since_by_name
        self._absent_since_by_name = {
            name: since.get(name, now) for name in known_names.difference(members)
        }

    def _settle(self, names: frozenset[str], now: float) -> None:
        """Decide from when on the list counts as whole.

        A first list with the name of this daemon was written before this process
        started, by a fleet that had registered. Other lists may still be growing.
        """
        if self._whole_at == math.inf:
            is_known = self.local_name in names
            self._whole_at = now if is_known else now + SETTLING_TIME
        elif now < self._whole_at and names - self.known_names.union(self.by_name):
            self._whole_at = now + SETTLING_TIME

    def is_whole(self, now: float) -> bool:
        """Return whether rates may be divided by the list.

        All other daemons count this one only if the list names it.
        """
        is_listed = self.local_name in self.by_name
        is_listed = is_listed or self.local_name in self.known_names
        return is_listed and now >= self._whole_at

    def gone_names(self, now: float) -> list[str]:
        """Return the known daemons that have been absent for `ABSENCE_TIME`."""
        return [
            name
            for name, since in self._absent_since_by_name.items()
            if now - since > ABSENCE_TIME
        ]

    def names(self, now: float) -> frozenset[str]:
        """Return the names of the daemons that may still admit calls."""
        for name, removed_at in list(self._removed_at_by_name.items()):
            if now - removed_at > RETENTION:
                del self._removed_at_by_name[name]
        return self.known_names.union(self.by_name, self._removed_at_by_name)
