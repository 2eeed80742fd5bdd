"""Schedule of requests that let relays confirm the applied revision."""

import itertools
import random
from collections.abc import Iterator

import attrs

from knapweedlead.membership import Member, MembershipRole

RELAYS_PER_DATA_CENTRE = 2
"""Relays, the members that watch the store, in each data centre."""
CONFIRM_PERIOD_SECONDS = 1.5
"""Mean seconds between two requests to a relay."""
RELAY_CONFIRM_PERIOD_SECONDS = 1.0
"""Seconds between two rounds of requests from a cut-off relay to other relays."""
CONFIRM_RETRY_SECONDS = 0.5
"""Mean seconds until the next request while requests are unanswered."""
REPLY_TIMEOUT_SECONDS = 6.0
"""Seconds after which a reply is ignored."""


@attrs.frozen
class PendingConfirmation:
    """A confirm request that a relay has not answered yet."""

    data_centre: str
    sent_at: float


class Confirmer:
    """Chooses the relays to query and tracks pending requests.

    Parameters
    ----------
    membership : MembershipRole
        Membership of the fleet.
    rng : random.Random
        Random number generator for the choice of relays.
    """

    def __init__(self, membership: MembershipRole, rng: random.Random) -> None:
        self.membership = membership
        self.rng = rng
        self._pending_by_number: dict[int, PendingConfirmation] = {}
        self._numbers = itertools.count(1)
        self._next_at = 0.0
        self._unanswered_count = 0

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre, excluding this daemon."""
        relays = self.membership.relays_of(data_centre, RELAYS_PER_DATA_CENTRE)
        return [member for member in relays if member.name != self.local_member.name]

    @property
    def local_member(self) -> Member:
        """Record of this daemon."""
        return self.membership.local_member

    def is_relay(self) -> bool:
        """Return whether this daemon is a relay of its data centre."""
        local_member = self.local_member
        if not self.membership.has_joined:
            return False
        relays = self.membership.relays_of(
            local_member.data_centre, RELAYS_PER_DATA_CENTRE
        )
        return local_member in relays

    def schedule_now(self, now: float) -> None:
        """Make the next request due immediately."""
        self._next_at = min(self._next_at, now)

    def due_requests(
        self, is_cut_off: bool, now: float
    ) -> Iterator[tuple[int, Member]]:
        """Yield the numbers and receivers of the requests that are due.

        Parameters
        ----------
        is_cut_off : bool
            Whether this daemon is a relay that cannot reach the store.
        now : float
            Current time in seconds.
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
        """Choose a relay of this data centre, or of any data centre.

        The relay may be in any data centre if the local data centre has no other
        relay, and for every second request while requests are unanswered.
        """
        local_relays = self.relays(self.local_member.data_centre)
        if local_relays and self._unanswered_count % 2 == 0:
            return [self.rng.choice(local_relays)]
        candidates = self._one_relay_per_data_centre()
        return [self.rng.choice(candidates)] if candidates else []

    def _data_centres(self) -> set[str]:
        return self.membership.table.data_centres()

    def pop_pending(self, number: int) -> PendingConfirmation | None:
        """Remove and return the pending request `number`, or None if absent."""
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
