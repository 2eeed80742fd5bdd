"""Which member should claim, guard or receive a slot."""

from knapweedlead.membership import Member, MembershipRole
from knapweedlead.node import Identity
from knapweedlead.ownership._owned import OwnedSlot
from knapweedlead.ownership._ranking import rank_key
from knapweedlead.ownership._times import OwnershipTimes

USABLE_STATE = "alive"

FIRST_RANKS = 5
"""Members that claim a free slot one after another, `rank_s` apart."""

LATER_RANK_FACTOR = 60.0
"""How much longer the members behind them wait."""

SILENT_SECONDS = 30.0
"""Seconds for which a backup that fell silent is not named again."""


class Candidates:
    """Ranks members for slots.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    membership : MembershipRole
        The members to choose from.
    times : OwnershipTimes
        Times of the slots.
    """

    def __init__(
        self, identity: Identity, membership: MembershipRole, times: OwnershipTimes
    ) -> None:
        self.identity = identity
        self.membership = membership
        self.times = times
        self._own_rank_by_slot: dict[int, int] = {}
        self._silent_until_by_name: dict[str, float] = {}

    def forget_ranks(self) -> None:
        """Rank anew after the members have changed."""
        self._own_rank_by_slot.clear()

    def may_claim_free(self, slot: int, unchanged: float) -> bool:
        """Return whether this daemon's turn for a free slot has come.

        Parameters
        ----------
        slot : int
            The slot.
        unchanged : float
            Seconds for which the slot has been seen to be free.
        """
        rank = self._own_rank(slot)
        factor = 1.0 if rank < FIRST_RANKS else LATER_RANK_FACTOR
        return unchanged >= self.times.settle_s + rank * factor * self.times.rank_s

    def _own_rank(self, slot: int) -> int:
        rank = self._own_rank_by_slot.get(slot)
        if rank is None:
            own = rank_key(slot, self.identity.name)
            rank = sum(rank_key(slot, m.name) < own for m in self._others())
            self._own_rank_by_slot[slot] = rank
        return rank

    def _others(self) -> list[Member]:
        return [
            member
            for member in self.membership.by_name.values()
            if member.name != self.identity.name and member.state == USABLE_STATE
        ]

    def address_at(self, slot: int, place: int) -> str:
        """Return the link address of the member at a place for a slot."""
        others = sorted(self._others(), key=lambda m: rank_key(slot, m.name))
        return others[place % len(others)].link_address if others else ""

    def backup_for(self, slot: int, now: float) -> Member | None:
        """Return the member that should guard an owned slot."""
        usable = [
            member
            for member in self._others()
            if self._silent_until_by_name.get(member.name, now) <= now
        ]
        return min(usable, key=lambda m: self._distance(slot, m), default=None)

    def _distance(self, slot: int, member: Member) -> tuple[bool, bool, int]:
        return (
            member.region != self.identity.region,
            member.data_centre == self.identity.data_centre,
            rank_key(slot, member.name),
        )

    def is_backup_to_change(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether an owned slot needs another backup."""
        record = owned.record
        if not record.backup:
            return self.backup_for(record.slot, now) is not None
        is_heard_of = owned.promised_at is not None
        if is_heard_of and now > owned.heard_at + self.times.silence_s:
            self._silent_until_by_name[record.backup] = now + SILENT_SECONDS
            return True
        member = self.membership.by_name.get(record.backup)
        if member is None or member.state != USABLE_STATE:
            return True
        return member.incarnation > record.backup_incarnation

    def is_backup_preferred(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether a well-proved backup should own the slot instead."""
        record = owned.record
        if not record.backup or now < owned.appointed_at + self.times.settled_s:
            return False
        if now > owned.heard_at + self.times.silence_s:
            return False
        own = rank_key(record.slot, self.identity.name)
        return rank_key(record.slot, record.backup) < own
