"""Role that announces the daemon and knows the others."""

import json
from collections.abc import Iterable, Iterator

import attrs
from result import Err

from knapweedlead.membership._member import Member, MembersChanged
from knapweedlead.node import (
    Effect,
    Identity,
    Notify,
    Role,
    Started,
    StoreAnswered,
    StoreCall,
    StoreCalls,
    Tick,
    WakeAt,
    handles,
)
from knapweedlead.platform import CompareAndSwap, Entry, Get, List, Listing

MEMBERS_PREFIX = "knapweedlead/members/"

REFRESH_SECONDS = 1.0

ROUTABLE_STATES = frozenset({"alive", "suspect"})


class MembershipRole(Role):
    """Announces its daemon in the store and reads the others' announcements.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    slots, cold_slots, connections : int
        Limits of its backend server, in calls and connections.
    store_calls : StoreCalls
        Allots numbers to store calls.
    """

    def __init__(
        self,
        identity: Identity,
        slots: int,
        cold_slots: int,
        connections: int,
        store_calls: StoreCalls,
    ) -> None:
        self.identity = identity
        self.slots = slots
        self.cold_slots = cold_slots
        self.connections = connections
        self.store_calls = store_calls
        self.by_name: dict[str, Member] = {}
        self.by_link_address: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._reading = 0
        self._listing = 0
        self._next_refresh = 0.0

    RUNNING_STATES = frozenset({"alive", "suspect", "leaving"})
    """States of members whose process runs, as far as is known."""

    def revision_of(self, name: str) -> int:
        """Return the configuration's revision that a member last reported."""
        return 0

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that may be sent work."""
        return self._by_service.get(service, [])

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Read the own key, to announce over it."""
        self._reading = self.store_calls.next()
        yield StoreCall(self._reading, Get(self._own_key))

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterable[Effect]:
        """Read the announcements when they are due."""
        if now < self._next_refresh:
            return []
        self._next_refresh = now + REFRESH_SECONDS
        self._listing = self.store_calls.next()
        return [
            StoreCall(self._listing, List(MEMBERS_PREFIX)),
            WakeAt(self._next_refresh),
        ]

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Announce over the key that was read, or take up announcements."""
        if isinstance(event.result, Err):
            return
        answer = event.result.ok_value
        if event.call == self._reading and isinstance(answer, Entry):
            yield self._announce(answer.revision)
        if event.call == self._listing and isinstance(answer, Listing):
            yield from self._take_up(answer)

    @property
    def _own_key(self) -> str:
        return MEMBERS_PREFIX + self.identity.name

    def _announce(self, revision: int) -> Effect:
        value = json.dumps(attrs.asdict(self.own_announcement())).encode()
        return StoreCall(
            self.store_calls.next(), CompareAndSwap(self._own_key, value, revision)
        )

    def own_announcement(self) -> Member:
        """Return what this daemon says about itself."""
        return Member(
            **attrs.asdict(self.identity),
            version=1,
            slots=self.slots,
            cold_slots=self.cold_slots,
            connections=self.connections,
            state="alive",
        )

    def _take_up(self, listing: Listing) -> Iterator[Effect]:
        members = [Member(**json.loads(entry.value)) for entry in listing.entries]
        changed = [m.name for m in members if self.by_name.get(m.name) != m]
        if not changed:
            return
        self.by_name = {member.name: member for member in members}
        self.by_link_address = {m.link_address: m for m in members}
        self._by_service = {}
        for member in members:
            if member.state in ROUTABLE_STATES:
                self._by_service.setdefault(member.service, []).append(member)
        yield Notify(MembersChanged(tuple(changed)))
