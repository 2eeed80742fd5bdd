"""Configuration role: applies, distributes and confirms revisions."""

import random
from collections.abc import Iterable, Iterator

import attrs
from result import Err

from knapweedlead.configuration._catalogue import Catalogue
from knapweedlead.configuration._confirmer import Confirmer
from knapweedlead.configuration._delta import Delta, apply_delta, make_delta
from knapweedlead.configuration._document import parse_catalogue, serialize_catalogue
from knapweedlead.configuration._freshness import Freshness
from knapweedlead.configuration._messages import (
    CataloguePush,
    ConfirmReply,
    ConfirmRequest,
    PullReply,
    PullRequest,
)
from knapweedlead.configuration._pending_change import CATALOGUE_KEY
from knapweedlead.configuration._spreading import RING_SIZE, Spreading, distance
from knapweedlead.configuration._store_watch import StoreWatch
from knapweedlead.errors import ResourceError
from knapweedlead.membership import MembershipRole, RevisionHeard, ring_position
from knapweedlead.node import (
    Count,
    Effect,
    Event,
    LogEvent,
    Notify,
    Role,
    SendMessage,
    StoreAnswered,
    StoreCall,
    StoreCallIds,
    Tick,
    Woken,
    handles,
    handles_message,
)
from knapweedlead.store import CompareAndSwap, Entry

CUT_OFF_TIMEOUT_SECONDS = 3.0
"""Seconds without confirmation by the store after which a relay is cut off.

A cut-off relay sends confirm requests to one relay of each data centre.
"""
MIN_PULL_INTERVAL_SECONDS = 0.5
"""Minimum seconds between two pulls."""


@attrs.frozen
class ConfigurationChanged(Event):
    """A higher revision was applied."""

    catalogue: Catalogue


class ConfigurationRole(Role):
    """Applies and forwards new revisions and requests their confirmation.

    A few relays in each data centre watch the store. Changes are forwarded over
    the links according to the spreading policy. Each daemon periodically requests
    a relay to confirm that its revision is the newest, which also recovers
    changes lost on the way.

    Parameters
    ----------
    store_calls : StoreCallIds
        Source of store call numbers.
    membership : MembershipRole
        Membership of the fleet.
    spreading : Spreading
        Policy that chooses the members to forward a change to.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self,
        store_calls: StoreCallIds,
        membership: MembershipRole,
        spreading: Spreading,
        rng: random.Random,
    ) -> None:
        self.store_calls = store_calls
        self.membership = membership
        self.spreading = spreading
        self.catalogue: Catalogue | None = None
        self.freshness = Freshness()
        self._confirmer = Confirmer(membership, rng)
        self._watch = StoreWatch(rng)
        self._is_entry_applied = False
        self._is_entry_older = False
        self._restore_call = 0
        self._last_forwarded = (0, 0)
        self._next_pull = 0.0

    @property
    def revision(self) -> int:
        """Applied revision; 0 before the first."""
        return 0 if self.catalogue is None else self.catalogue.revision

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay, which watches the store."""
        return self._confirmer.is_relay()

    def is_fresh(self, now: float) -> bool:
        """Return whether the applied revision may be served.

        It may be served for some seconds after the store or a relay confirmed it,
        and as long as the store is unreachable from most data centres.
        """
        return self.catalogue is not None and self.freshness.is_fresh(now)

    @handles(Woken)
    def on_woken(self, event: Woken, now: float) -> Iterable[Effect]:
        """Request a confirmation at once, since the last one may be outdated."""
        self._confirmer.schedule_now(now)
        return []

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Watch the store if this is a relay, and send due confirm requests."""
        is_relay = self.is_relay
        if is_relay:
            yield from self._watch_store(now)
        elif self._watch.call or self._watch.entry is not None:
            self._watch.stop()
        is_cut_off = is_relay and self._is_cut_off(now)
        if is_cut_off:
            self._detect_outage(now)
        if is_relay and not is_cut_off:
            return
        for number, member in self._confirmer.due_requests(is_cut_off, now):
            request = ConfirmRequest(number, self.revision)
            yield SendMessage(member.link_address, request)

    def _watch_store(self, now: float) -> Iterator[Effect]:
        operation = self._watch.next_operation(now)
        if operation is not None:
            self._watch.call = self.store_calls.next()
            yield StoreCall(self._watch.call, operation)

    def _is_cut_off(self, now: float) -> bool:
        confirmed_at = self._watch.confirmed_at
        return confirmed_at is None or now - confirmed_at > CUT_OFF_TIMEOUT_SECONDS

    def _detect_outage(self, now: float) -> None:
        table = self.membership.table
        data_centre = self.membership.local_member.data_centre
        if self.membership.has_recent_contact(now) and table.has_running_majority(
            data_centre
        ):
            self.freshness.record_cut_off(data_centre, now)
        self.freshness.detect_outage(table.data_centres())

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Handle an answer to the watch and continue watching."""
        if event.call == self._restore_call:
            self._restore_call = 0
        if event.call != self._watch.call:
            return
        entry = self._watch.on_answer(event.result, now)
        if entry is not None:
            yield from self._apply_entry(entry, now)
        confirmed_at = self._watch.confirmed_at
        is_answer = not isinstance(event.result, Err)
        if is_answer and self._is_entry_applied and confirmed_at is not None:
            self.freshness.confirm(confirmed_at)
        if is_answer and self._is_entry_older:
            yield from self._restore()
        yield from self._watch_store(now)

    def _apply_entry(self, entry: Entry, now: float) -> Iterator[Effect]:
        self._is_entry_applied = self._is_entry_older = False
        stored_revision = 0
        if entry.value:
            parsed = parse_catalogue(entry.value)
            if isinstance(parsed, Err):
                yield from _report_rejected(parsed.err_value)
                return
            stored_revision = parsed.ok_value.revision
            yield from self.apply_stored(parsed.ok_value, self._watch.called_at, now)
        self._is_entry_applied = stored_revision == self.revision
        self._is_entry_older = stored_revision < self.revision

    def _restore(self) -> Iterator[Effect]:
        """Write the applied catalogue over an older one, from a copy of the store."""
        entry = self._watch.entry
        if self.catalogue is None or entry is None or self._restore_call:
            return
        self._restore_call = self.store_calls.next()
        value = serialize_catalogue(self.catalogue)
        write = CompareAndSwap(CATALOGUE_KEY, value, entry.position)
        yield Count("knapweedlead.configuration.restored")
        yield LogEvent("catalogue_restored", (("revision", self.revision),))
        yield StoreCall(self._restore_call, write)

    def apply_stored(
        self, catalogue: Catalogue, confirmed_at: float, now: float
    ) -> Iterator[Effect]:
        """Apply a catalogue held by the store and forward its changes.

        Parameters
        ----------
        catalogue : Catalogue
            Catalogue held by the store.
        confirmed_at : float
            Time at which the store held no higher revision, in seconds.
        now : float
            Current time in seconds.
        """
        if catalogue.revision >= self.revision:
            self.freshness.confirm(confirmed_at)
        previous_revision = self.revision
        yield from self._activate(catalogue)
        if 0 < previous_revision < catalogue.revision:
            range_end = ring_position(self.membership.local_member.name)
            yield from self._forward(
                make_delta(catalogue, previous_revision), range_end
            )

    def _activate(self, catalogue: Catalogue) -> Iterator[Effect]:
        if catalogue.revision <= self.revision:
            return
        self.catalogue = catalogue
        self.membership.revision = catalogue.revision
        yield LogEvent("configuration_applied", (("revision", self.revision),))
        yield Notify(ConfigurationChanged(catalogue))

    def _forward(self, delta: Delta, range_end: int) -> Iterator[Effect]:
        """Forward a delta to the part of the ring that was not covered before."""
        local_name = self.membership.local_member.name
        origin = ring_position(local_name)
        extent = distance(origin, range_end) or RING_SIZE
        revision, covered = self._last_forwarded
        if revision > delta.revision or (
            revision == delta.revision and extent <= covered
        ):
            return
        if revision < delta.revision:
            covered = 0
        self._last_forwarded = (delta.revision, extent)
        fingers = self.membership.fingers()
        names = list(self.membership.by_name)
        for target in self.spreading.targets(local_name, range_end, fingers, names):
            end = distance(origin, target.range_end) or RING_SIZE
            if end > covered:
                push = CataloguePush(
                    delta.base, delta.revision, target.range_end, delta.content
                )
                yield Count("knapweedlead.configuration.pushes")
                yield SendMessage(self._address_of(target.name), push)

    def _address_of(self, name: str) -> str:
        return self.membership.table.by_name[name].link_address

    @handles_message(CataloguePush)
    def on_push(self, peer: str, push: CataloguePush, now: float) -> Iterator[Effect]:
        """Forward a change and apply it."""
        delta = Delta(push.base, push.revision, push.content)
        if push.revision >= self.revision:
            yield from self._forward(delta, push.range_end)
        yield from self._apply_delta(peer, delta, now)

    @handles_message(PullReply)
    def on_pull_reply(
        self, peer: str, reply: PullReply, now: float
    ) -> Iterator[Effect]:
        """Apply the changes sent by a peer on request."""
        delta = Delta(reply.base, reply.revision, reply.content)
        yield from self._apply_delta(peer, delta, now)
        if self.revision >= reply.revision and not self.freshness.is_fresh(now):
            self._confirmer.schedule_now(now)

    def _apply_delta(self, peer: str, delta: Delta, now: float) -> Iterator[Effect]:
        if delta.revision <= self.revision:
            return
        if delta.base > self.revision:
            yield from self._pull(peer, now)
            return
        applied = apply_delta(self.catalogue, delta, peer)
        if isinstance(applied, Err):
            yield from _report_rejected(applied.err_value)
            return
        yield from self._activate(applied.ok_value)

    @handles(RevisionHeard)
    def on_revision_heard(self, event: RevisionHeard, now: float) -> Iterator[Effect]:
        """Pull a higher revision from the member that reported it."""
        if event.revision > self.revision:
            yield from self._pull(event.peer, now)

    def _pull(self, peer: str, now: float) -> Iterator[Effect]:
        if now < self._next_pull:
            return
        self._next_pull = now + MIN_PULL_INTERVAL_SECONDS
        yield Count("knapweedlead.configuration.pulls")
        yield SendMessage(peer, PullRequest(self.revision))

    @handles_message(PullRequest)
    def on_pull_request(
        self, peer: str, request: PullRequest, now: float
    ) -> Iterator[Effect]:
        """Send the delta from the peer's revision to the applied revision."""
        if self.catalogue is None or request.revision >= self.revision:
            return
        delta = make_delta(self.catalogue, request.revision)
        reply = PullReply(delta.base, delta.revision, delta.content)
        yield SendMessage(peer, reply)

    @handles_message(ConfirmRequest)
    def on_confirm_request(
        self, peer: str, request: ConfirmRequest, now: float
    ) -> Iterator[Effect]:
        """Reply with the applied revision and the age of its confirmation."""
        if request.revision > self.revision:
            yield from self._pull(peer, now)
        is_cut_off = self.is_relay and self._is_cut_off(now)
        reply = ConfirmReply(
            request.number,
            self.revision,
            _age(self.freshness.confirmed_at, now),
            _age(self.freshness.outage_at, now),
            is_cut_off and self.membership.has_recent_contact(now),
        )
        yield SendMessage(peer, reply)

    @handles_message(ConfirmReply)
    def on_confirm_reply(
        self, peer: str, reply: ConfirmReply, now: float
    ) -> Iterator[Effect]:
        """Record the evidence of a relay, or pull a higher revision from it.

        Ages are subtracted from the time of the request, the earliest time at
        which the relay may have measured them.
        """
        pending = self._confirmer.pop_pending(reply.number)
        if pending is None:
            return
        if reply.revision > self.revision:
            yield from self._pull(peer, now)
            return
        if reply.confirmed_age >= 0.0:
            self.freshness.confirm(pending.sent_at - reply.confirmed_age)
        if reply.outage_age >= 0.0:
            self.freshness.record_outage(pending.sent_at - reply.outage_age)
        if reply.is_cut_off:
            self.freshness.record_cut_off(pending.data_centre, pending.sent_at)


def _age(time: float, now: float) -> float:
    return now - time if time > float("-inf") else -1.0


def _report_rejected(error: ResourceError) -> Iterator[Effect]:
    yield Count("knapweedlead.configuration.refused")
    yield LogEvent("catalogue_refused", (("error", str(error)),))
