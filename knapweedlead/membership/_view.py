"""Local view of the membership and the rules for merging records."""

import random
from collections.abc import Iterable

import attrs

from knapweedlead.membership._member import ENDED_STATES, Member
from knapweedlead.membership._prober import SUSPICION_TIMEOUT_SECONDS, Prober
from knapweedlead.membership._table import MemberTable
from knapweedlead.membership._update_queue import UpdateQueue

ENDED_RETENTION_SECONDS = 3600.0
"""Seconds for which the record of a dead or gone member is kept."""

HEALING_SECONDS = 10.0
"""Seconds after the return of a dead member in which dead members are probed more
often, since others may return too."""


class MemberView:
    """Member table, pending updates and suspicions of one daemon.

    Methods that return a list of names return the names of changed members.

    Parameters
    ----------
    local_member : Member
        Record of this daemon.
    rng : random.Random
        Random number generator for the order of probes.
    """

    def __init__(self, local_member: Member, rng: random.Random) -> None:
        self.local_member = local_member
        self.table = MemberTable()
        self.updates = UpdateQueue()
        self.prober = Prober(rng)
        self.changed_at = 0.0
        self.healed_at = -HEALING_SECONDS
        self._ended_at_by_name: dict[str, float] = {}
        self.table.put(local_member)
        self._enqueue_update(local_member)

    def _enqueue_update(self, member: Member) -> None:
        self.updates.add(member, len(self.table.ring))

    def merge(
        self, members: Iterable[Member], now: float, is_gossiped: bool = True
    ) -> list[str]:
        """Merge records received from a peer.

        Parameters
        ----------
        members : iterable of Member
            Received records.
        now : float
            Current time in seconds.
        is_gossiped : bool
            Whether to forward newer records on heartbeats.
        """
        return [
            member.name
            for member in members
            if self._merge_one(member, now, is_gossiped)
        ]

    def _merge_one(self, member: Member, now: float, is_gossiped: bool) -> bool:
        previous = self.table.by_name.get(member.name)
        if previous is not None and member.precedence <= previous.precedence:
            return False
        if member.name == self.local_member.name:
            return self._refute(member, now)
        if previous is None and member.state in ENDED_STATES:
            return False
        if member.state == "dead":
            # Only an expired local suspicion declares a member dead: after a
            # healed partition, the member must have time to refute the record.
            member = attrs.evolve(member, state="suspect")
            if previous is not None and member.precedence <= previous.precedence:
                return False
        self._store(member, now, is_gossiped)
        return True

    def _refute(self, received: Member, now: float) -> bool:
        if received.incarnation != self.local_member.incarnation:
            return False
        self.announce_local(received.version + 1, self.local_member.state, now)
        return True

    def announce_local(self, version: int, state: str, now: float) -> None:
        """Replace this daemon's own record and gossip it."""
        self.local_member = attrs.evolve(
            self.local_member, version=version, state=state
        )
        self._store(self.local_member, now, is_gossiped=True)

    def _store(self, member: Member, now: float, is_gossiped: bool) -> None:
        name = member.name
        previous = self.table.by_name.get(name)
        self.table.put(member)
        self.changed_at = now
        self._ended_at_by_name.pop(name, None)
        if member.state == "suspect":
            self.prober.suspect(member, now, SUSPICION_TIMEOUT_SECONDS)
        else:
            self.prober.suspicion_ends_at.pop(name, None)
        if member.state in ENDED_STATES:
            self._ended_at_by_name[name] = now
        elif previous is not None and previous.state == "dead":
            self.healed_at = now
        if is_gossiped:
            self._enqueue_update(member)

    def apply_event(self, name: str, event: str, now: float) -> list[str]:
        """Apply an event of ``member.json`` that this daemon observed."""
        member = self.table.by_name.get(name)
        if member is None or name == self.local_member.name:
            return []
        updated = member.after_event(event)
        if updated is member:
            return []
        self._store(updated, now, is_gossiped=True)
        return [name]

    def expire_suspicions(self, now: float) -> list[str]:
        """Declare the members with expired suspicions dead."""
        names = self.prober.pop_expired_suspicions(now)
        return [
            n
            for name in names
            for n in self.apply_event(name, "suspicion_expired", now)
        ]

    def remove_ended(self, now: float) -> None:
        """Remove members that ended `ENDED_RETENTION_SECONDS` ago."""
        expired = [
            name
            for name, ended_at in self._ended_at_by_name.items()
            if now - ended_at >= ENDED_RETENTION_SECONDS
        ]
        for name in expired:
            del self._ended_at_by_name[name]
            self.table.remove(name)

    def is_healing(self, now: float) -> bool:
        """Return whether a dead member has returned within `HEALING_SECONDS`."""
        return now - self.healed_at < HEALING_SECONDS
