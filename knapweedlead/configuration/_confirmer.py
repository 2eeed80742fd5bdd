"""Questions to relays whether the revision in force is the newest."""

import itertools
import random
from collections.abc import Iterator

import attrs

from knapweedlead.membership import Member, MembershipRole

RELAYS_PER_DATA_CENTRE = 2
"""Members of each data centre that watch the store."""
CONFIRM_PERIOD_SECONDS = 1.5
"""Period of questions to a relay."""
RELAY_CONFIRM_PERIOD_SECONDS = 1.0
"""Period in which a relay without the store asks those of other data centres."""
CONFIRM_RETRY_SECONDS = 0.5
"""Seconds until another relay is asked."""
REPLY_TIMEOUT_SECONDS = 6.0
"""Seconds after which an answer is no longer of use."""


@attrs.frozen
class PendingConfirmation:
    """A question to a relay, without an answer."""

    data_centre: str
    sent_at: float


class Confirmer:
    """Chooses which relays to ask, and remembers when it asked.

    Parameters
    ----------
    membership : MembershipRole
        Knows the members.
    rng : random.Random
        Source of the choice.
    """

    def __init__(self, membership: MembershipRole, rng: random.Random) -> None:
        self.membership = membership
        self.rng = rng
        self._pending_by_number: dict[int, PendingConfirmation] = {}
        self._numbers = itertools.count(1)
        self._next_at = 0.0
        self._unanswered_count = 0

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre, other than this daemon."""
        relays = self.membership.relays_of(data_centre, RELAYS_PER_DATA_CENTRE)
        return [member for member in relays if member.name != self.local_member.name]

    @property
    def local_member(self) -> Member:
        """Announcement of this daemon."""
        return self.membership.local_member

    def is_relay(self) -> bool:
        """Return whether this daemon watches the store."""
        local_member = self.local_member
        if not self.membership.has_joined:
            return False
        relays = self.membership.relays_of(
            local_member.data_centre, RELAYS_PER_DATA_CENTRE
        )
        return local_member in relays

    def schedule_now(self, now: float) -> None:
        """Make the next question due now."""
        self._next_at = min(self._next_at, now)

    def due_requests(
        self, is_cut_off: bool, now: float
    ) -> Iterator[tuple[int, Member]]:
        """Return the questions that are due, with whom to ask.

        Parameters
        ----------
        is_cut_off : bool
            Whether this daemon is a relay that does not reach the store.
        now : float
            Seconds.
        """
        if now < self._next_at or not self.membership.has_joined:
            return
        self._drop_expired(now)
        if is_cut_off:
            self._next_at = now + RELAY_CONFIRM_PERIOD_SECONDS
            chosen = self._one_relay_per_data_centre()
        else:
            period = (
                CONFIRM_RETRY_SECONDS
                if self._unanswered_count
                else CONFIRM_PERIOD_SECONDS
            )
            self._next_at = now + period * (0.75 + self.rng.random() / 2)
            chosen = self._next_relay()
        self._unanswered_count += 1
        for member in chosen:
            number = next(self._numbers)
            self._pending_by_number[number] = PendingConfirmation(
                member.data_centre, now
            )
            yield number, member

    def _one_relay_per_data_centre(self) -> list[Member]:
        choices = [self.relays(name) for name in sorted(self._data_centres())]
        return [self.rng.choice(relays) for relays in choices if relays]

    def _next_relay(self) -> list[Member]:
        """Return a relay nearby, or anywhere where the last one was silent."""
        nearby = self.relays(self.local_member.data_centre)
        if nearby and self._unanswered_count % 2 == 0:
            return [self.rng.choice(nearby)]
        anywhere = self._one_relay_per_data_centre()
        return [self.rng.choice(anywhere)] if anywhere else []

    def _data_centres(self) -> set[str]:
        return self.membership.table.data_centres()

    def pop_pending(self, number: int) -> PendingConfirmation | None:
        """Return the question that an answer ends."""
        pending = self._pending_by_number.pop(number, None)
        if pending is not None:
            self._unanswered_count = 0
        return pending

    def _drop_expired(self, now: float) -> None:
        self._pending_by_number = {
            number: pending
            for number, pending in self._pending_by_number.items()
            if now - pending.sent_at < REPLY_TIMEOUT_SECONDS
        }
