"""Membership role: failure detection by probes, dissemination by gossip."""

import random
from collections.abc import Generator, Iterable, Iterator

import attrs

from knapweedlead.membership._member import (
    RUNNING_STATES,
    Member,
    MembersChanged,
    RevisionHeard,
    check_member,
)
from knapweedlead.membership._messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    Ping,
    SyncReply,
    SyncRequest,
)
from knapweedlead.membership._prober import (
    PROBE_PERIOD_SECONDS,
    REFUSED_SUSPICION_TIMEOUT_SECONDS,
    Probe,
)
from knapweedlead.membership._sync import (
    requested_members,
    sync_replies,
    sync_request,
)
from knapweedlead.membership._view import MemberView
from knapweedlead.node import (
    Count,
    Effect,
    Identity,
    LinkDown,
    LogEvent,
    Notify,
    Role,
    SendMessage,
    ShutdownRequested,
    Started,
    Tick,
    Woken,
    handles,
    handles_message,
)

INDIRECT_PROBES = 3
"""Members requested to probe a member that has not answered directly."""
LEAVE_FANOUT = 3
"""Fingers to which the announcement of a leaving member is forwarded at once."""
DEAD_PROBE_PERIOD_SECONDS = 5.0
"""Mean seconds between two probes of dead members."""
HEALING_PROBE_PERIOD_SECONDS = 0.2
"""`DEAD_PROBE_PERIOD_SECONDS` while dead members are returning."""
CONTACT_TIMEOUT_SECONDS = 1.0
"""Seconds without a heartbeat after which a daemon counts as isolated."""
CONVERGENCE_SECONDS = 3.0
"""Seconds without a change after which tables are expected to be equal."""
SYNC_INTERVAL_SECONDS = 5.0
"""Mean of the randomized minimum interval between requested table exchanges."""
STARTUP_SECONDS = 10.0
"""Seconds after the start during which tables are exchanged more often."""
STARTUP_SYNC_INTERVAL_SECONDS = 0.5
"""`SYNC_INTERVAL_SECONDS` during startup."""
MAX_DISPUTED_PROBES = 16
"""Most disputed members probed after a message of a table exchange."""
CLEANUP_PERIOD_SECONDS = 60.0
"""Seconds between two removals of members that ended long ago."""


class MembershipRole(Role):
    """Tracks the members by probes, gossip on heartbeats and table exchanges.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    slots, cold_slots, connections : int
        Limits of the backend server: concurrent calls, concurrent calls during
        a cold start, and connections.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self,
        identity: Identity,
        slots: int,
        cold_slots: int,
        connections: int,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.rng = rng
        local_member = Member(
            **attrs.asdict(identity),
            version=1,
            slots=slots,
            cold_slots=cold_slots,
            connections=connections,
            state="alive",
        )
        self.view = MemberView(local_member, rng)
        self.table = self.view.table
        self.prober = self.view.prober
        self.revision = 0
        """Configuration revision reported on heartbeats."""
        self.synced_at: float | None = None
        """Time of the last table exchange, in seconds; None before the first."""
        self.is_alone = False
        """Whether no seed answered, so that the daemon started as the only member."""
        self._last_contact_at = 0.0
        self._startup_ends_at = 0.0
        self._next_probe = 0.0
        self._next_dead_probe = 0.0
        self._next_sync = 0.0
        self._next_cleanup = 0.0

    @property
    def local_member(self) -> Member:
        """Record of this daemon."""
        return self.view.local_member

    @property
    def by_name(self) -> dict[str, Member]:
        """Members presumed to run, by name."""
        return self.table.running_by_name

    @property
    def by_link_address(self) -> dict[str, Member]:
        """All members by link address, including those that ended recently."""
        return self.table.by_link_address

    @property
    def has_joined(self) -> bool:
        """Whether a table was exchanged, or no seed answered."""
        return self.is_alone or self.synced_at is not None

    def has_recent_contact(self, now: float) -> bool:
        """Return whether a heartbeat arrived recently; true without other members."""
        is_only_one = len(self.table.by_name) == 1
        return is_only_one or now - self._last_contact_at <= CONTACT_TIMEOUT_SECONDS

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that may receive calls.

        Suspect members are returned only if none is alive, since a suspicion
        may be false.
        """
        return self.table.alive_of(service) or self.table.suspects_of(service)

    def relays_of(self, data_centre: str, count: int) -> list[Member]:
        """Return the first `count` live members of a data centre, in a fixed order."""
        return self.table.relays_of(data_centre, count)

    def fingers(self) -> list[str]:
        """Return the names of the members probed by this daemon, nearest first."""
        return self.table.ring.fingers_of(self.identity.name)

    def _notify_changed(self, names: list[str]) -> Iterator[Effect]:
        if names:
            yield Notify(MembersChanged(tuple(names)))

    def _merge(
        self, members: Iterable[Member], now: float, is_gossiped: bool = True
    ) -> Generator[Effect, None, list[str]]:
        """Merge records of a peer; return the names of the changed members.

        A record that cannot be used is left out. It may stem from another writer of the
        store, and peers of an earlier version pass it on.
        """
        sound = []
        for member in members:
            try:
                check_member(member)
            except ValueError as error:
                yield Count("knapweedlead.membership.rejected")
                yield LogEvent("member_rejected", (("detail", str(error)),))
            else:
                sound.append(member)
        names = self.view.merge(sound, now, is_gossiped)
        yield from self._notify_changed(names)
        return names

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Schedule the periodic tasks and report this daemon as a changed member."""
        self._startup_ends_at = now + STARTUP_SECONDS
        self._next_probe = now + self.rng.random() * PROBE_PERIOD_SECONDS
        self._next_dead_probe = now + self.rng.random() * DEAD_PROBE_PERIOD_SECONDS
        self._next_cleanup = now + CLEANUP_PERIOD_SECONDS
        yield from self._notify_changed([self.identity.name])

    @handles(Woken)
    def on_woken(self, event: Woken, now: float) -> Iterable[Effect]:
        """Discard pending probes, since this process missed the answers."""
        self.prober.resume(event.pause)
        return []

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Announce to all fingers at once that this daemon is leaving."""
        leaving = self.local_member.after_event("announced_leaving").state
        self.view.announce_local(self.local_member.version + 1, leaving, now)
        yield from self._send_update(self.local_member, self.fingers())
        yield from self._notify_changed([self.identity.name])

    def _send_update(self, member: Member, names: list[str]) -> Iterator[Effect]:
        for name in names:
            if name not in (member.name, self.identity.name):
                yield self._ping(self.table.by_name[name], 0, (member,))

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Run the periodic tasks that are due."""
        if now >= self._next_probe:
            self._next_probe = max(self._next_probe + PROBE_PERIOD_SECONDS, now)
            yield from self._probe_next(now)
        if self.prober.probe_by_number:
            yield from self._request_indirect_probes(now)
            yield from self._handle_expired_probes(now)
        if self.prober.suspicion_ends_at:
            yield from self._notify_changed(self.view.expire_suspicions(now))
        if now >= self._next_dead_probe:
            yield from self._probe_dead(now)
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_PERIOD_SECONDS
            self.view.remove_ended(now)

    def _probe_next(self, now: float) -> Iterator[Effect]:
        name = self.prober.next_target(self.fingers())
        if name is not None:
            yield self.probe(name, now)

    def probe(self, name: str, now: float) -> Effect:
        """Start a probe of a member and return its ping."""
        member = self.table.by_name[name]
        number = self.prober.start(name, now)
        return self._ping(member, number, ())

    def _ping(
        self, target: Member, number: int, updates: tuple[Member, ...]
    ) -> SendMessage:
        if target.state != "alive":
            updates = (target, *updates)
        ping = Ping(
            number,
            target.incarnation,
            target.version,
            self.revision,
            self.table.digest,
            updates + self.view.updates.next_batch(),
        )
        return SendMessage(target.link_address, ping)

    def _request_indirect_probes(self, now: float) -> Iterator[Effect]:
        for number, probe in self.prober.due_for_indirect(now):
            member = self.table.by_name.get(probe.name)
            others = [name for name in self.fingers() if name != probe.name]
            intermediaries = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
            for name in intermediaries if member is not None else ():
                request = IndirectPing(
                    number, self.table.by_name[probe.name].link_address
                )
                yield SendMessage(self.table.by_name[name].link_address, request)

    def _handle_expired_probes(self, now: float) -> Iterator[Effect]:
        for probe in self.prober.pop_expired(now):
            yield from self._notify_changed(self._mark_probe_failed(probe, now))

    def _mark_probe_failed(self, probe: Probe, now: float) -> list[str]:
        return self.view.apply_event(probe.name, "probe_failed", now)

    def _probe_dead(self, now: float) -> Iterator[Effect]:
        is_healing = self.view.is_healing(now)
        period = (
            HEALING_PROBE_PERIOD_SECONDS if is_healing else DEAD_PROBE_PERIOD_SECONDS
        )
        self._next_dead_probe = now + period * (0.5 + self.rng.random())
        ended = self.table.ended_by_name
        dead = [name for name, member in ended.items() if member.state == "dead"]
        if dead:
            yield self.probe(self.rng.choice(dead), now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Probe a member after a lost link; suspect a member that refused the link."""
        member = self.by_link_address.get(event.peer)
        if member is None or member.name == self.identity.name:
            return
        if member.state not in RUNNING_STATES:
            return
        if not event.is_refused:
            yield self.probe(member.name, now)
            return
        yield from self._notify_changed(
            self.view.apply_event(member.name, "probe_failed", now)
        )
        updated = self.table.by_name[member.name]
        if updated.state == "suspect":
            self.prober.suspect(updated, now, REFUSED_SUSPICION_TIMEOUT_SECONDS)

    @handles_message(Ping)
    def on_ping(self, peer: str, ping: Ping, now: float) -> Iterator[Effect]:
        """Merge the updates of a probe and answer it."""
        yield from self._handle_heartbeat(peer, ping, now)
        local_member = self.local_member
        updates = self.view.updates.next_batch()
        if (ping.incarnation, ping.version) != (
            local_member.incarnation,
            local_member.version,
        ):
            updates = (local_member, *updates)
        sender = self.by_link_address.get(peer)
        if sender is not None and sender.state != "alive":
            updates = (sender, *updates)
        ack = Ack(ping.number, self.revision, self.table.digest, updates)
        yield SendMessage(peer, ack)

    @handles_message(Ack)
    def on_ack(self, peer: str, ack: Ack, now: float) -> Iterator[Effect]:
        """Finish the answered probe and notify the member that requested it."""
        probe = self.prober.finish(ack.number)
        if probe is not None and probe.requester:
            yield SendMessage(probe.requester, IndirectAck(probe.requester_number))
        yield from self._handle_heartbeat(peer, ack, now)

    def _handle_heartbeat(
        self, peer: str, heartbeat: Ping | Ack, now: float
    ) -> Iterator[Effect]:
        self._last_contact_at = now
        names = yield from self._merge(heartbeat.updates, now)
        yield from self._forward_leaving(names)
        if heartbeat.revision > self.revision:
            yield Notify(RevisionHeard(peer, heartbeat.revision))
        is_known = peer in self.by_link_address
        is_equal = heartbeat.digest == self.table.digest
        is_due = (
            now - self.view.changed_at >= CONVERGENCE_SECONDS
            or now < self._startup_ends_at
        )
        if not is_known or (is_due and not is_equal):
            yield from self.sync_with(peer, now)

    def _forward_leaving(self, names: list[str]) -> Iterator[Effect]:
        for name in names:
            member = self.table.by_name[name]
            if member.state == "leaving" and name != self.identity.name:
                fingers = self.fingers()
                count = min(LEAVE_FANOUT, len(fingers))
                yield from self._send_update(member, self.rng.sample(fingers, count))

    def sync_with(self, peer: str, now: float) -> Iterator[Effect]:
        """Request a table exchange with a peer, unless one was requested recently."""
        if now < self._next_sync:
            return
        period = (
            STARTUP_SYNC_INTERVAL_SECONDS
            if now < self._startup_ends_at
            else SYNC_INTERVAL_SECONDS
        )
        self._next_sync = now + period * (0.5 + self.rng.random())
        yield Count("knapweedlead.membership.syncs")
        yield SendMessage(peer, sync_request(self.local_member, self.table))

    @handles_message(IndirectPing)
    def on_indirect_ping(
        self, peer: str, request: IndirectPing, now: float
    ) -> Iterator[Effect]:
        """Probe a member on behalf of the sender."""
        member = self.by_link_address.get(request.target)
        if member is None:
            return
        number = self.prober.start(member.name, now, peer, request.number)
        yield self._ping(member, number, ())

    @handles_message(IndirectAck)
    def on_indirect_ack(
        self, peer: str, ack: IndirectAck, now: float
    ) -> Iterable[Effect]:
        """Finish the probe that another member carried out."""
        self.prober.finish(ack.number)
        return []

    @handles_message(SyncRequest)
    def on_sync_request(
        self, peer: str, request: SyncRequest, now: float
    ) -> Iterator[Effect]:
        """Send newer records to the peer and request the peer's newer records."""
        yield from self._merge((request.sender,), now)
        for reply in sync_replies(self.table, request):
            yield SendMessage(peer, reply)

    @handles_message(SyncReply)
    def on_sync_reply(
        self, peer: str, reply: SyncReply, now: float
    ) -> Iterator[Effect]:
        """Merge received records, send requested records and probe disputed members."""
        self.synced_at = now
        yield from self._merge(reply.members, now, is_gossiped=False)
        for answer in requested_members(self.table, reply.requested):
            yield SendMessage(peer, answer)
        count = min(MAX_DISPUTED_PROBES, len(reply.disputed))
        for name in self.rng.sample(reply.disputed, count):
            if name in self.table.by_name:
                yield self.probe(name, now)
