"""What a daemon believes of the members, and how it takes up records."""

import random
from collections.abc import Iterable

import attrs

from knapweedlead.membership._member import ENDED_STATES, Member
from knapweedlead.membership._news import News
from knapweedlead.membership._prober import SUSPICION_SECONDS, Prober
from knapweedlead.membership._table import MemberTable

ENDED_SECONDS = 3600.0
"""Seconds for which a member that ended is remembered."""

HEAL_SECONDS = 10.0
"""Seconds after the return of a dead member in which others may return too."""


class MemberView:
    """Table, news and suspicions of one daemon.

    Each method that may change the table returns the names that changed.

    Parameters
    ----------
    own : Member
        The daemon's own announcement.
    rng : random.Random
        Source of the order of probes.
    """

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        self.table = MemberTable()
        self.news = News()
        self.prober = Prober(rng)
        self.changed_at = 0.0
        self.healed_at = -HEAL_SECONDS
        self._ended_at_by_name: dict[str, float] = {}
        self.table.put(own)
        self._announce(own)

    def _announce(self, member: Member) -> None:
        self.news.add(member, len(self.table.ring))

    def take_up(
        self, members: Iterable[Member], now: float, is_news: bool = True
    ) -> list[str]:
        """Take up records that a peer sent.

        Parameters
        ----------
        members : iterable of Member
            The records.
        now : float
            Seconds.
        is_news : bool
            Whether to send them on with the heartbeats.
        """
        return [
            member.name for member in members if self._take_up_one(member, now, is_news)
        ]

    def _take_up_one(self, member: Member, now: float, is_news: bool) -> bool:
        before = self.table.by_name.get(member.name)
        if before is not None and member.precedence <= before.precedence:
            return False
        if member.name == self.own.name:
            return self._refute(member, now)
        if before is None and member.state in ENDED_STATES:
            return False
        if member.state == "dead":
            # Only the own suspicion declares a member dead: a record from the
            # other side of a healed split must leave time to refute it.
            member = attrs.evolve(member, state="suspect")
            if before is not None and member.precedence <= before.precedence:
                return False
        self._store(member, now, is_news)
        return True

    def _refute(self, heard: Member, now: float) -> bool:
        if heard.incarnation != self.own.incarnation:
            return False
        self.announce_own(heard.version + 1, self.own.state, now)
        return True

    def announce_own(self, version: int, state: str, now: float) -> None:
        """Announce the daemon itself at a version and in a state."""
        self.own = attrs.evolve(self.own, version=version, state=state)
        self._store(self.own, now, is_news=True)

    def _store(self, member: Member, now: float, is_news: bool) -> None:
        name = member.name
        before = self.table.by_name.get(name)
        self.table.put(member)
        self.changed_at = now
        self._ended_at_by_name.pop(name, None)
        if member.state == "suspect":
            self.prober.suspect(member, now, SUSPICION_SECONDS)
        else:
            self.prober.suspicion_ends_at.pop(name, None)
        if member.state in ENDED_STATES:
            self._ended_at_by_name[name] = now
        elif before is not None and before.state == "dead":
            self.healed_at = now
        if is_news:
            self._announce(member)

    def judge(self, name: str, event: str, now: float) -> list[str]:
        """Take up the own judgement on a member: an event of ``member.json``."""
        member = self.table.by_name.get(name)
        if member is None or name == self.own.name:
            return []
        judged = member.judged(event)
        if judged is member:
            return []
        self._store(judged, now, is_news=True)
        return [name]

    def suspicions_over(self, now: float) -> list[str]:
        """Declare dead the members whose time to refute is over."""
        names = self.prober.suspicions_over(now)
        return [n for name in names for n in self.judge(name, "suspicion_expired", now)]

    def forget_ended(self, now: float) -> None:
        """Forget the members that ended long ago."""
        long_ago = [
            name
            for name, ended_at in self._ended_at_by_name.items()
            if now - ended_at >= ENDED_SECONDS
        ]
        for name in long_ago:
            del self._ended_at_by_name[name]
            self.table.forget(name)

    def is_healing(self, now: float) -> bool:
        """Return whether dead members have begun to return."""
        return now - self.healed_at < HEAL_SECONDS
