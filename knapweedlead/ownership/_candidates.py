"""Selection of the members that should claim a slot or become its backup."""

from knapweedlead.membership import Member, MembershipRole
from knapweedlead.node import Identity
from knapweedlead.ownership._owned import OwnedSlot
from knapweedlead.ownership._ranking import rank_key
from knapweedlead.ownership._times import OwnershipTimes

USABLE_STATE = "alive"

FIRST_RANKS = 5
"""Number of first-ranked members whose claims on a free slot are `rank_s` apart."""

LATER_RANK_DELAY_FACTOR = 60.0
"""Factor on `rank_s` for members of lower ranks."""

UNRESPONSIVE_BACKUP_SECONDS = 30.0
"""Seconds for which an unresponsive backup is not appointed again."""


class Candidates:
    """Ranks members for slots.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    membership : MembershipRole
        The members to choose from.
    times : OwnershipTimes
        Timing of slot ownership.
    """

    def __init__(
        self, identity: Identity, membership: MembershipRole, times: OwnershipTimes
    ) -> None:
        self.identity = identity
        self.membership = membership
        self.times = times
        self._local_rank_by_slot: dict[int, int] = {}
        self._excluded_until_by_name: dict[str, float] = {}

    def clear_ranks(self) -> None:
        """Discard cached ranks after the members have changed."""
        self._local_rank_by_slot.clear()

    def may_claim(self, slot: int, waited: float) -> bool:
        """Return whether this daemon has waited long enough to claim an ownerless slot.

        Parameters
        ----------
        slot : int
            The slot.
        waited : float
            Seconds for which the slot has been observed as claimable.
        """
        rank = self._local_rank(slot)
        factor = 1.0 if rank < FIRST_RANKS else LATER_RANK_DELAY_FACTOR
        return waited >= self.times.settle_s + rank * factor * self.times.rank_s

    def _local_rank(self, slot: int) -> int:
        rank = self._local_rank_by_slot.get(slot)
        if rank is None:
            local_key = rank_key(slot, self.identity.name)
            rank = sum(rank_key(slot, m.name) < local_key for m in self._others())
            self._local_rank_by_slot[slot] = rank
        return rank

    def _others(self) -> list[Member]:
        return [
            member
            for member in self.membership.by_name.values()
            if member.name != self.identity.name and member.state == USABLE_STATE
        ]

    def address_at_rank(self, slot: int, rank: int) -> str:
        """Return the link address of the other member at a rank for a slot.

        Ranks beyond the last wrap around; empty if there is no other member.
        """
        others = sorted(self._others(), key=lambda m: rank_key(slot, m.name))
        return others[rank % len(others)].link_address if others else ""

    def backup_for(self, slot: int, now: float) -> Member | None:
        """Return the member that should be the backup of an owned slot.

        Members of this region come first, and among them those in another data
        centre.
        """
        usable = [
            member
            for member in self._others()
            if self._excluded_until_by_name.get(member.name, now) <= now
        ]
        return min(usable, key=lambda m: self._backup_preference(slot, m), default=None)

    def _backup_preference(self, slot: int, member: Member) -> tuple[bool, bool, int]:
        return (
            member.region != self.identity.region,
            member.data_centre == self.identity.data_centre,
            rank_key(slot, member.name),
        )

    def needs_new_backup(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether an owned slot needs a different backup.

        True if the slot has no backup and a usable member exists, or if its backup is
        unresponsive for `silence_s`, not alive or restarted. An unresponsive backup is
        excluded from appointments for `UNRESPONSIVE_BACKUP_SECONDS`.
        """
        record = owned.record
        if not record.backup:
            return self.backup_for(record.slot, now) is not None
        was_sent_heartbeat = owned.promised_at is not None
        if was_sent_heartbeat and now > owned.responded_at + self.times.silence_s:
            self._excluded_until_by_name[record.backup] = (
                now + UNRESPONSIVE_BACKUP_SECONDS
            )
            return True
        member = self.membership.by_name.get(record.backup)
        if member is None or member.state != USABLE_STATE:
            return True
        return member.incarnation > record.backup_incarnation

    def is_backup_preferred(self, owned: OwnedSlot, now: float) -> bool:
        """Return whether an owned slot should be handed over to its backup.

        The backup must rank above this daemon, have been appointed for `settled_s`
        seconds and have responded within `silence_s`.
        """
        record = owned.record
        if not record.backup or now < owned.appointed_at + self.times.settled_s:
            return False
        if now > owned.responded_at + self.times.silence_s:
            return False
        local_key = rank_key(record.slot, self.identity.name)
        return rank_key(record.slot, record.backup) < local_key
