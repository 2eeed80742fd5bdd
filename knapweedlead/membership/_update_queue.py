"""Queue of member updates that are piggybacked on heartbeats."""

from collections import deque

from knapweedlead.membership._member import Member

MAX_UPDATES = 16
"""Most updates in one message."""

SENDS_PER_DOUBLING = 2
"""Times that each member sends an update, per doubling of the fleet's size."""


class UpdateQueue:
    """Latest update of each member; an update is sent a bounded number of times."""

    def __init__(self) -> None:
        self._names: deque[str] = deque()
        self._sends_left_by_name: dict[str, int] = {}
        self._member_by_name: dict[str, Member] = {}

    def add(self, member: Member, fleet_size: int) -> None:
        """Queue an update, replacing an earlier update of the same member."""
        if member.name not in self._member_by_name:
            self._names.appendleft(member.name)
        self._member_by_name[member.name] = member
        sends = SENDS_PER_DOUBLING * max(1, fleet_size.bit_length())
        self._sends_left_by_name[member.name] = sends

    def next_batch(self) -> tuple[Member, ...]:
        """Return the updates for the next message, and count them as sent."""
        batch = []
        for _ in range(min(MAX_UPDATES, len(self._names))):
            name = self._names.popleft()
            batch.append(self._member_by_name[name])
            self._sends_left_by_name[name] -= 1
            if self._sends_left_by_name[name] > 0:
                self._names.append(name)
            else:
                del self._sends_left_by_name[name], self._member_by_name[name]
        return tuple(batch)
