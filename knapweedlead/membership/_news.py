"""Updates that ride on heartbeats, a bounded number at a time."""

from collections import deque

from knapweedlead.membership._member import Member

MAX_UPDATES = 16
"""Updates on one message."""

SENDS_PER_DOUBLING = 2
"""How often each member sends an update, for each doubling of the fleet."""


class News:
    """The latest updates, each sent a bounded number of times."""

    def __init__(self) -> None:
        self._names: deque[str] = deque()
        self._left_by_name: dict[str, int] = {}
        self._member_by_name: dict[str, Member] = {}

    def add(self, member: Member, fleet_size: int) -> None:
        """Send an update in place of an earlier one on the same member."""
        if member.name not in self._member_by_name:
            self._names.appendleft(member.name)
        self._member_by_name[member.name] = member
        sends = SENDS_PER_DOUBLING * max(1, fleet_size.bit_length())
        self._left_by_name[member.name] = sends

    def take(self) -> tuple[Member, ...]:
        """Return the updates for the next message."""
        taken = []
        for _ in range(min(MAX_UPDATES, len(self._names))):
            name = self._names.popleft()
            taken.append(self._member_by_name[name])
            self._left_by_name[name] -= 1
            if self._left_by_name[name] > 0:
                self._names.append(name)
            else:
                del self._left_by_name[name], self._member_by_name[name]
        return tuple(taken)
