"""Bootstrap role: joins the fleet through the seeds in the store."""

import random
from collections.abc import Iterable, Iterator

import attrs
from result import Err

from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.membership._member import ENDED_STATES, Member
from knapweedlead.membership._messages import SyncRequest
from knapweedlead.membership._role import MembershipRole
from knapweedlead.membership._seeds import (
    SEEDS_PER_DATA_CENTRE,
    SEEDS_PREFIX,
    parse_seeds,
    seed_write,
)
from knapweedlead.node import (
    Effect,
    Role,
    SendFailed,
    SendMessage,
    Started,
    StoreAnswered,
    StoreCall,
    StoreCallIds,
    Tick,
    handles,
)
from knapweedlead.store import List, Listing

SEEDS_PER_ATTEMPT = 3
"""Seeds contacted at once by a joining daemon."""
JOIN_TIMEOUT_SECONDS = 1.0
"""Seconds to wait for a seed's reply before the next seeds are tried."""
FIRST_REFRESH_DELAY_SECONDS = 0.5
"""Seconds from joining to the first refresh; the delay then doubles."""
REFRESH_PERIOD_SECONDS = 30.0
"""Longest delay between two refreshes, before jitter, in seconds."""
RETRY_DELAY_SECONDS = 1.0
"""Least seconds before an unanswered read of the store is retried."""
MAX_CONFLICT_DELAY_SECONDS = 0.3
"""Longest random delay of the re-read after a write conflict, in seconds."""


class BootstrapRole(Role):
    """Joins the fleet through the seeds and maintains this daemon's own seed.

    The seeds of a data centre are its first live members in the order of
    `MembershipRole.relays_of`. After joining, only these members keep reading
    the store.

    Parameters
    ----------
    membership : MembershipRole
        Membership of the fleet.
    store_calls : StoreCallIds
        Source of store call numbers.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self, membership: MembershipRole, store_calls: StoreCallIds, rng: random.Random
    ) -> None:
        self.membership = membership
        self.store_calls = store_calls
        self.rng = rng
        self._listing_call = 0
        self._write_call = 0
        self._listing: Listing | None = None
        self._untried_seeds: list[Member] = []
        self._pending_seeds: set[str] = set()
        self._join_ends_at = 0.0
        self._next_read = 0.0
        self._refresh_seconds = FIRST_REFRESH_DELAY_SECONDS

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Read the seeds."""
        yield self._read(now)

    def _read(self, now: float) -> Effect:
        self._next_read = now + RETRY_DELAY_SECONDS * (1.0 + self.rng.random())
        self._listing_call = self.store_calls.next()
        return StoreCall(self._listing_call, List(SEEDS_PREFIX))

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Try the next seeds after a timeout, and read the store when it is due."""
        if self._pending_seeds and now >= self._join_ends_at:
            yield from self._try_next_seeds(now)
        if now < self._next_read:
            return
        if not self.membership.has_joined or self._local_seed_index() is not None:
            yield self._read(now)
        else:
            self._next_read = now + REFRESH_PERIOD_SECONDS

    def _local_seed_index(self) -> int | None:
        """Return this daemon's index among its data centre's seeds, or None."""
        local_member = self.membership.local_member
        relays = self.membership.relays_of(
            local_member.data_centre, SEEDS_PER_DATA_CENTRE
        )
        names = [member.name for member in relays]
        return names.index(local_member.name) if local_member.name in names else None

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Handle a listing of the seeds or a failed seed write."""
        if event.call == self._listing_call:
            if isinstance(event.result, Err):
                return
            assert isinstance(event.result.ok_value, Listing)
            yield from self._handle_listing(event.result.ok_value, now)
        elif event.call == self._write_call and isinstance(event.result, Err):
            self._on_write_failed(event.result.err_value, now)

    def _on_write_failed(self, error: StoreError, now: float) -> None:
        if error.fault is StoreFault.CONFLICT:
            self._next_read = now + MAX_CONFLICT_DELAY_SECONDS * self.rng.random()

    def _handle_listing(self, listing: Listing, now: float) -> Iterator[Effect]:
        self._listing = listing
        if not self.membership.synced_at:
            yield from self._join(listing, now)
            return
        yield from self._sync_with_seeds(listing, now)
        yield from self._write_seed(now)

    def _join(self, listing: Listing, now: float) -> Iterator[Effect]:
        local_member = self.membership.local_member
        self._untried_seeds = [
            seed
            for seed in parse_seeds(listing)
            if seed.link_address != local_member.link_address
            and seed.name != local_member.name
        ]
        self.rng.shuffle(self._untried_seeds)
        yield from self._try_next_seeds(now)

    def _try_next_seeds(self, now: float) -> Iterator[Effect]:
        """Send join requests to the next seeds.

        If no seeds are left, the daemon starts as the only member.
        """
        self._pending_seeds.clear()
        if self.membership.synced_at is not None:
            self._next_read = now + FIRST_REFRESH_DELAY_SECONDS
            return
        seeds = self._untried_seeds[:SEEDS_PER_ATTEMPT]
        del self._untried_seeds[:SEEDS_PER_ATTEMPT]
        if not seeds:
            self.membership.is_alone = True
            yield from self._write_seed(now)
            return
        self._join_ends_at = now + JOIN_TIMEOUT_SECONDS
        for seed in seeds:
            self._pending_seeds.add(seed.link_address)
            request = SyncRequest(self.membership.local_member, ())
            yield SendMessage(seed.link_address, request)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterable[Effect]:
        """Try the next seeds once no request to the current seeds is pending."""
        self._pending_seeds.discard(event.peer)
        is_join = isinstance(event.message, SyncRequest)
        if is_join and not self._pending_seeds and not self.membership.has_joined:
            return self._try_next_seeds(now)
        return []

    def _sync_with_seeds(self, listing: Listing, now: float) -> Iterator[Effect]:
        """Request table exchanges with newer seeds that are unknown, dead or gone."""
        by_name = self.membership.table.by_name
        for seed in parse_seeds(listing):
            known = by_name.get(seed.name)
            is_local = seed.link_address == self.membership.local_member.link_address
            if is_local or (known is not None and known.precedence >= seed.precedence):
                continue
            if known is None or known.state in ENDED_STATES:
                request = SyncRequest(self.membership.local_member, ())
                yield SendMessage(seed.link_address, request)

    def _write_seed(self, now: float) -> Iterator[Effect]:
        index = self._local_seed_index()
        self._next_read = now + self._refresh_seconds * (0.75 + self.rng.random() / 2)
        self._refresh_seconds = min(2 * self._refresh_seconds, REFRESH_PERIOD_SECONDS)
        if index is None or self._listing is None:
            return
        announcement = attrs.evolve(self.membership.local_member, state="alive")
        write = seed_write(announcement, index, self._listing)
        if write is not None:
            self._write_call = self.store_calls.next()
            yield StoreCall(self._write_call, write)
