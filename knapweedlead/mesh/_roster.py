"""Daemons of the fleet, as the store lists them."""

import attrs

RETENTION = 10.0
"""Seconds for which a removed daemon still counts for the division of rates; longer
than a daemon that is cut off goes on admitting calls with keys."""


@attrs.frozen
class Member:
    """A daemon of the fleet; `link_address` is ``IP:PORT``."""

    name: str
    link_address: str
    service: str
    data_centre: str


class Roster:
    """Members by name, and for how many daemons rates are divided."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self._removed_at_by_name: dict[str, float] = {}

    def replace(self, members: dict[str, Member], now: float) -> None:
        """Take a whole listing."""
        for name in list(self.by_name):
            if name not in members:
                self.remove(name, now)
        for member in members.values():
            self.add(member)

    def add(self, member: Member) -> None:
        """Add or change a member."""
        self.by_name[member.name] = member
        self._removed_at_by_name.pop(member.name, None)

    def remove(self, name: str, now: float) -> None:
        """Remove a member; it still counts for a while."""
        if self.by_name.pop(name, None) is not None:
            self._removed_at_by_name[name] = now

    def count(self, now: float) -> int:
        """Return the daemons that may be admitting calls."""
        for name, removed_at in list(self._removed_at_by_name.items()):
            if now - removed_at > RETENTION:
                del self._removed_at_by_name[name]
        return max(1, len(self.by_name) + len(self._removed_at_by_name))
