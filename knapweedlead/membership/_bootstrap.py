"""Role that finds the first members through the store's seeds."""

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
    seed_write,
    seeds_in,
)
from knapweedlead.node import (
    Effect,
    Role,
    SendFailed,
    SendMessage,
    Started,
    StoreAnswered,
    StoreCall,
    StoreCalls,
    Tick,
    handles,
)
from knapweedlead.store import List, Listing

SEEDS_ASKED = 3
"""Seeds that a starting daemon asks for their tables."""
JOIN_SECONDS = 1.0
"""Seconds that a seed has to answer."""
FIRST_REFRESH_SECONDS = 0.5
"""Seconds until a seed reads the others for the first time."""
REFRESH_SECONDS = 30.0
"""Period in which seeds read the others."""
RETRY_SECONDS = 1.0
"""Seconds until the store is tried again."""
CONFLICT_SECONDS = 0.3
"""Most seconds until the seeds are read again after a lost race."""


class BootstrapRole(Role):
    """Joins through the seeds, and keeps a seed where its turn is.

    The seeds of a data centre are its first live members in the order of
    `MembershipRole.relays_of`; only they go on to read the store.

    Parameters
    ----------
    membership : MembershipRole
        Knows the members.
    store_calls : StoreCalls
        Allots numbers to store calls.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self, membership: MembershipRole, store_calls: StoreCalls, rng: random.Random
    ) -> None:
        self.membership = membership
        self.store_calls = store_calls
        self.rng = rng
        self._listing_call = 0
        self._write_call = 0
        self._listing: Listing | None = None
        self._unasked: list[Member] = []
        self._asked: set[str] = set()
        self._join_ends_at = 0.0
        self._next_read = 0.0
        self._refresh_seconds = FIRST_REFRESH_SECONDS

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Read the seeds."""
        yield self._read(now)

    def _read(self, now: float) -> Effect:
        self._next_read = now + RETRY_SECONDS * (1.0 + self.rng.random())
        self._listing_call = self.store_calls.next()
        return StoreCall(self._listing_call, List(SEEDS_PREFIX))

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Read the seeds again when it is due."""
        if self._asked and now >= self._join_ends_at:
            yield from self._ask_next(now)
        if now < self._next_read:
            return
        if not self.membership.has_joined or self._place() is not None:
            yield self._read(now)
        else:
            self._next_read = now + REFRESH_SECONDS

    def _place(self) -> int | None:
        """Return which seed of its data centre this daemon is, or None."""
        own = self.membership.own
        relays = self.membership.relays_of(own.data_centre, SEEDS_PER_DATA_CENTRE)
        names = [member.name for member in relays]
        return names.index(own.name) if own.name in names else None

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Take up the seeds, or the outcome of writing one."""
        if event.call == self._listing_call:
            if isinstance(event.result, Err):
                return
            assert isinstance(event.result.ok_value, Listing)
            yield from self._take_up(event.result.ok_value, now)
        elif event.call == self._write_call and isinstance(event.result, Err):
            self._on_write_failed(event.result.err_value, now)

    def _on_write_failed(self, error: StoreError, now: float) -> None:
        if error.fault is StoreFault.CONFLICT:
            self._next_read = now + CONFLICT_SECONDS * self.rng.random()

    def _take_up(self, listing: Listing, now: float) -> Iterator[Effect]:
        self._listing = listing
        if not self.membership.synced_at:
            yield from self._join(listing, now)
            return
        yield from self._greet(listing, now)
        yield from self._keep_seed(now)

    def _join(self, listing: Listing, now: float) -> Iterator[Effect]:
        own = self.membership.own
        self._unasked = [
            seed
            for seed in seeds_in(listing)
            if seed.link_address != own.link_address and seed.name != own.name
        ]
        self.rng.shuffle(self._unasked)
        yield from self._ask_next(now)

    def _ask_next(self, now: float) -> Iterator[Effect]:
        """Ask the next seeds to join; without any, this daemon is alone."""
        self._asked.clear()
        if self.membership.synced_at is not None:
            self._next_read = now + FIRST_REFRESH_SECONDS
            return
        seeds = self._unasked[:SEEDS_ASKED]
        del self._unasked[:SEEDS_ASKED]
        if not seeds:
            self.membership.is_alone = True
            yield from self._keep_seed(now)
            return
        self._join_ends_at = now + JOIN_SECONDS
        for seed in seeds:
            self._asked.add(seed.link_address)
            request = SyncRequest(self.membership.own, ())
            yield SendMessage(seed.link_address, request)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterable[Effect]:
        """Go on to the next seeds where none of the asked can be reached."""
        self._asked.discard(event.peer)
        is_join = isinstance(event.message, SyncRequest)
        if is_join and not self._asked and not self.membership.has_joined:
            return self._ask_next(now)
        return []

    def _greet(self, listing: Listing, now: float) -> Iterator[Effect]:
        """Exchange tables with seeds that are unknown or held for dead."""
        by_name = self.membership.table.by_name
        for seed in seeds_in(listing):
            known = by_name.get(seed.name)
            is_own = seed.link_address == self.membership.own.link_address
            if is_own or (known is not None and known.precedence >= seed.precedence):
                continue
            if known is None or known.state in ENDED_STATES:
                request = SyncRequest(self.membership.own, ())
                yield SendMessage(seed.link_address, request)

    def _keep_seed(self, now: float) -> Iterator[Effect]:
        place = self._place()
        self._next_read = now + self._refresh_seconds * (0.75 + self.rng.random() / 2)
        self._refresh_seconds = min(2 * self._refresh_seconds, REFRESH_SECONDS)
        if place is None or self._listing is None:
            return
        announcement = attrs.evolve(self.membership.own, state="alive")
        write = seed_write(announcement, place, self._listing)
        if write is not None:
            self._write_call = self.store_calls.next()
            yield StoreCall(self._write_call, write)
