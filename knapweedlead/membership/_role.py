"""Role that probes the members and passes on what changes."""

import random
from collections.abc import Iterable, Iterator

import attrs

from knapweedlead.membership._member import (
    RUNNING_STATES,
    Member,
    MembersChanged,
    RevisionHeard,
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
    PROBE_SECONDS,
    REFUSED_SUSPICION_SECONDS,
    Probe,
)
from knapweedlead.membership._sync import (
    sync_replies,
    sync_request,
    wanted_members,
)
from knapweedlead.membership._view import MemberView
from knapweedlead.node import (
    Count,
    Effect,
    Identity,
    LinkDown,
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

HELPERS = 3
"""Members asked to probe one that does not answer."""
URGENT_PARTNERS = 3
"""Members that are told at once that one leaves."""
DEAD_PROBE_SECONDS = 5.0
"""Period of pings to members held for dead."""
HEAL_PROBE_SECONDS = 0.2
"""The same while dead members return."""
CONTACT_SECONDS = 1.0
"""Seconds without a heartbeat after which a daemon counts as isolated."""
QUIET_SECONDS = 3.0
"""Seconds without a change after which tables should be equal."""
SYNC_SECONDS = 5.0
"""Least seconds between full exchanges that a daemon asks for."""
SETTLE_SECONDS = 10.0
"""Seconds after the start in which tables are exchanged more often."""
SETTLING_SYNC_SECONDS = 0.5
"""Least seconds between full exchanges in that time."""
DOUBTED_PROBES = 16
"""Doubted members probed after a full exchange."""
FORGET_SECONDS = 60.0
"""Period in which members that ended long ago are looked for."""


class MembershipRole(Role):
    """Knows the members by probes, news on heartbeats and full exchanges.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    slots, cold_slots, connections : int
        Limits of its backend server, in calls and connections.
    rng : random.Random
        Source of random choices.
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
        own = Member(
            **attrs.asdict(identity),
            version=1,
            slots=slots,
            cold_slots=cold_slots,
            connections=connections,
            state="alive",
        )
        self.view = MemberView(own, rng)
        self.table = self.view.table
        self.prober = self.view.prober
        self.revision = 0
        """Configuration's revision that the heartbeats report."""
        self.synced_at: float | None = None
        """Time of the last full exchange, in seconds; None before the first."""
        self.is_alone = False
        """Whether no seed answered at the start."""
        self._heard_at = 0.0
        self._settles_at = 0.0
        self._next_probe = 0.0
        self._next_dead_probe = 0.0
        self._next_sync = 0.0
        self._next_forget = 0.0

    @property
    def own(self) -> Member:
        """What this daemon announces about itself."""
        return self.view.own

    @property
    def by_name(self) -> dict[str, Member]:
        """Members that run, as far as is known, by name."""
        return self.table.running_by_name

    @property
    def by_link_address(self) -> dict[str, Member]:
        """All members by link address, those that ended lately included."""
        return self.table.by_link_address

    @property
    def has_joined(self) -> bool:
        """Return whether the members are known, or that there are none."""
        return self.is_alone or self.synced_at is not None

    def has_contact(self, now: float) -> bool:
        """Return whether another member was heard of late, if there is any."""
        is_only_one = len(self.table.by_name) == 1
        return is_only_one or now - self._heard_at <= CONTACT_SECONDS

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that may be sent work.

        Suspect ones are a last resort: a suspicion may be false.
        """
        return self.table.alive_of(service) or self.table.suspects_of(service)

    def relays_of(self, data_centre: str, count: int) -> list[Member]:
        """Return the first `count` live members of a data centre, in a fixed order."""
        return self.table.relays_of(data_centre, count)

    def fingers(self) -> list[str]:
        """Return the names of the members that this daemon probes, nearest first."""
        return self.table.ring.fingers_of(self.identity.name)

    def _changed(self, names: list[str]) -> Iterator[Effect]:
        if names:
            yield Notify(MembersChanged(tuple(names)))

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Spread the times of the periodic work, and announce the daemon."""
        self._settles_at = now + SETTLE_SECONDS
        self._next_probe = now + self.rng.random() * PROBE_SECONDS
        self._next_dead_probe = now + self.rng.random() * DEAD_PROBE_SECONDS
        self._next_forget = now + FORGET_SECONDS
        yield from self._changed([self.identity.name])

    @handles(Woken)
    def on_woken(self, event: Woken, now: float) -> Iterable[Effect]:
        """Blame no member for the own pause."""
        self.prober.resume(event.pause)
        return []

    @handles(ShutdownRequested)
    def on_shutdown(self, event: ShutdownRequested, now: float) -> Iterator[Effect]:
        """Announce at once that this daemon leaves."""
        leaving = self.own.judged("announced_leaving").state
        self.view.announce_own(self.own.version + 1, leaving, now)
        yield from self._tell_at_once(self.own, self.fingers())
        yield from self._changed([self.identity.name])

    def _tell_at_once(self, member: Member, names: list[str]) -> Iterator[Effect]:
        for name in names:
            if name not in (member.name, self.identity.name):
                yield self._ping(self.table.by_name[name], 0, (member,))

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Do the periodic work that is due."""
        if now >= self._next_probe:
            self._next_probe = max(self._next_probe + PROBE_SECONDS, now)
            yield from self._probe_next(now)
        if self.prober.by_number:
            yield from self._ask_for_help(now)
            yield from self._judge_silent(now)
        if self.prober.suspicion_ends_at:
            yield from self._changed(self.view.suspicions_over(now))
        if now >= self._next_dead_probe:
            yield from self._probe_dead(now)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_SECONDS
            self.view.forget_ended(now)

    def _probe_next(self, now: float) -> Iterator[Effect]:
        name = self.prober.next_partner(self.fingers())
        if name is not None:
            yield self.probe(name, now)

    def probe(self, name: str, now: float) -> Effect:
        """Return the ping that probes a member."""
        member = self.table.by_name[name]
        number = self.prober.begin(name, now)
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
            updates + self.view.news.take(),
        )
        return SendMessage(target.link_address, ping)

    def _ask_for_help(self, now: float) -> Iterator[Effect]:
        for number, probe in self.prober.due_for_help(now):
            member = self.table.by_name.get(probe.name)
            others = [name for name in self.fingers() if name != probe.name]
            helpers = self.rng.sample(others, min(HELPERS, len(others)))
            for name in helpers if member is not None else ():
                request = IndirectPing(
                    number, self.table.by_name[probe.name].link_address
                )
                yield SendMessage(self.table.by_name[name].link_address, request)

    def _judge_silent(self, now: float) -> Iterator[Effect]:
        for probe in self.prober.expired(now):
            yield from self._changed(self._judge_failed(probe, now))

    def _judge_failed(self, probe: Probe, now: float) -> list[str]:
        return self.view.judge(probe.name, "probe_failed", now)

    def _probe_dead(self, now: float) -> Iterator[Effect]:
        is_healing = self.view.is_healing(now)
        period = HEAL_PROBE_SECONDS if is_healing else DEAD_PROBE_SECONDS
        self._next_dead_probe = now + period * (0.5 + self.rng.random())
        ended = self.table.ended_by_name
        dead = [name for name, member in ended.items() if member.state == "dead"]
        if dead:
            yield self.probe(self.rng.choice(dead), now)

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, now: float) -> Iterator[Effect]:
        """Probe or suspect the member whose link was lost."""
        member = self.by_link_address.get(event.peer)
        if member is None or member.name == self.identity.name:
            return
        if member.state not in RUNNING_STATES:
            return
        if not event.is_refused:
            yield self.probe(member.name, now)
            return
        yield from self._changed(self.view.judge(member.name, "probe_failed", now))
        judged = self.table.by_name[member.name]
        if judged.state == "suspect":
            self.prober.suspect(judged, now, REFUSED_SUSPICION_SECONDS)

    @handles_message(Ping)
    def on_ping(self, peer: str, ping: Ping, now: float) -> Iterator[Effect]:
        """Answer a probe."""
        yield from self._take_up_heartbeat(peer, ping, now)
        own = self.own
        updates = self.view.news.take()
        if (ping.incarnation, ping.version) != (own.incarnation, own.version):
            updates = (own, *updates)
        sender = self.by_link_address.get(peer)
        if sender is not None and sender.state != "alive":
            updates = (sender, *updates)
        ack = Ack(ping.number, self.revision, self.table.digest, updates)
        yield SendMessage(peer, ack)

    @handles_message(Ack)
    def on_ack(self, peer: str, ack: Ack, now: float) -> Iterator[Effect]:
        """End the probe that is answered."""
        probe = self.prober.end(ack.number)
        if probe is not None and probe.asker:
            yield SendMessage(probe.asker, IndirectAck(probe.asker_number))
        yield from self._take_up_heartbeat(peer, ack, now)

    def _take_up_heartbeat(
        self, peer: str, heartbeat: Ping | Ack, now: float
    ) -> Iterator[Effect]:
        self._heard_at = now
        names = self.view.take_up(heartbeat.updates, now)
        yield from self._changed(names)
        yield from self._pass_on_leaving(names)
        if heartbeat.revision > self.revision:
            yield Notify(RevisionHeard(peer, heartbeat.revision))
        is_known = peer in self.by_link_address
        is_equal = heartbeat.digest == self.table.digest
        is_due = now - self.view.changed_at >= QUIET_SECONDS or now < self._settles_at
        if not is_known or (is_due and not is_equal):
            yield from self.sync_with(peer, now)

    def _pass_on_leaving(self, names: list[str]) -> Iterator[Effect]:
        for name in names:
            member = self.table.by_name[name]
            if member.state == "leaving" and name != self.identity.name:
                fingers = self.fingers()
                count = min(URGENT_PARTNERS, len(fingers))
                yield from self._tell_at_once(member, self.rng.sample(fingers, count))

    def sync_with(self, peer: str, now: float) -> Iterator[Effect]:
        """Ask a peer for a full exchange, unless there was one just now."""
        if now < self._next_sync:
            return
        period = SETTLING_SYNC_SECONDS if now < self._settles_at else SYNC_SECONDS
        self._next_sync = now + period * (0.5 + self.rng.random())
        yield Count("knapweedlead.membership.syncs")
        yield SendMessage(peer, sync_request(self.own, self.table))

    @handles_message(IndirectPing)
    def on_indirect_ping(
        self, peer: str, request: IndirectPing, now: float
    ) -> Iterator[Effect]:
        """Probe a member on the sender's behalf."""
        member = self.by_link_address.get(request.target)
        if member is None:
            return
        number = self.prober.begin(member.name, now, peer, request.number)
        yield self._ping(member, number, ())

    @handles_message(IndirectAck)
    def on_indirect_ack(
        self, peer: str, ack: IndirectAck, now: float
    ) -> Iterable[Effect]:
        """End the probe that another member made."""
        self.prober.end(ack.number)
        return []

    @handles_message(SyncRequest)
    def on_sync_request(
        self, peer: str, request: SyncRequest, now: float
    ) -> Iterator[Effect]:
        """Answer with what the sender lacks, and say what this daemon lacks."""
        yield from self._changed(self.view.take_up((request.sender,), now))
        for reply in sync_replies(self.table, request):
            yield SendMessage(peer, reply)

    @handles_message(SyncReply)
    def on_sync_reply(
        self, peer: str, reply: SyncReply, now: float
    ) -> Iterator[Effect]:
        """Take up what this daemon lacked, and send what the peer lacks."""
        self.synced_at = now
        yield from self._changed(self.view.take_up(reply.members, now, is_news=False))
        for answer in wanted_members(self.table, reply.wanted):
            yield SendMessage(peer, answer)
        count = min(DOUBTED_PROBES, len(reply.doubted))
        for name in self.rng.sample(reply.doubted, count):
            if name in self.table.by_name:
                yield self.probe(name, now)
