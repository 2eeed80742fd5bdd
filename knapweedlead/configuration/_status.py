"""Role that collects the revisions in force on all members."""

from collections import Counter
from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any

import attrs

from knapweedlead.configuration._messages import (
    MemberReport,
    StatusAnswer,
    StatusQuery,
)
from knapweedlead.configuration._resources import LEAST_IMPORTANT
from knapweedlead.configuration._role import ConfigurationRole
from knapweedlead.configuration._spreading import PartitionedTree
from knapweedlead.membership import Member, MembershipRole, ring_position
from knapweedlead.messages import LoadReport
from knapweedlead.node import (
    Effect,
    Event,
    Notify,
    Role,
    SendFailed,
    SendMessage,
    Tick,
    WakeAt,
    handles,
    handles_message,
)

COLLECT_SECONDS = 1.0
"""Seconds for the answers along the tree."""
HOP_SHARE = 0.85
"""Share of its time that a member gives to those it asks."""
MISSING_SECONDS = 0.5
"""Seconds for the answers of members asked one by one."""
MAX_MISSING = 64
"""Members asked one by one."""

NO_REPORT = MemberReport(0, LoadReport(0, 0, 0, LEAST_IMPORTANT + 1, False, False))
"""Stands for a member that has reported nothing since its start."""


@attrs.frozen
class StatusCollected(Event):
    """The revisions in force are collected, as a JSON-compatible document."""

    document: Any


@attrs.define(eq=False)
class _Collection:
    """Answers under way for one question.

    Parameters
    ----------
    asker : str
        Link address of who asked; empty for this daemon.
    asker_number : int
        Number of the asker's question.
    deadline : float
        Time at which the answer goes out in any case, in seconds.
    """

    asker: str
    asker_number: int
    deadline: float
    awaited: set[str] = attrs.field(factory=set)
    report_by_name: dict[str, MemberReport] = attrs.field(factory=dict)
    is_one_by_one: bool = False


class StatusRole(Role):
    """Asks all members along a partitioned tree, then the silent ones singly.

    Parameters
    ----------
    membership : MembershipRole
        Knows the members.
    configuration : ConfigurationRole
        Knows the revision in force.
    load_of : callable
        Returns the state of the own guard at a time.
    """

    def __init__(
        self,
        membership: MembershipRole,
        configuration: ConfigurationRole,
        load_of: Callable[[float], LoadReport],
    ) -> None:
        self.load_of = load_of
        self.membership = membership
        self.configuration = configuration
        self._tree = PartitionedTree(membership.rng)
        self._by_number: dict[int, _Collection] = {}
        self._last_number = 0
        self._own_number = 0
        self._report_by_name: dict[str, tuple[int, MemberReport]] = {}

    def collect(self, now: float) -> Iterator[Effect]:
        """Start to collect, unless that is under way; ends in `StatusCollected`."""
        if self._own_number in self._by_number:
            return
        collection = _Collection("", 0, now + COLLECT_SECONDS)
        until = ring_position(self.membership.own.name)
        yield from self._ask_tree(collection, until, COLLECT_SECONDS, now)

    def _begin(self, collection: _Collection) -> int:
        self._last_number += 1
        self._by_number[self._last_number] = collection
        if not collection.asker:
            self._own_number = self._last_number
        return self._last_number

    def _ask_tree(
        self, collection: _Collection, until: int, seconds: float, now: float
    ) -> Iterator[Effect]:
        own = self.membership.own
        collection.report_by_name[own.name] = self._own_report(now)
        number = self._begin(collection)
        fingers = self.membership.fingers()
        for target in self._tree.targets(own.name, until, fingers, fingers):
            query = StatusQuery(number, target.until, seconds * HOP_SHARE)
            yield self._ask(collection, target.name, query)
        yield from self._end_if_whole(number, now)
        yield WakeAt(collection.deadline)

    def _ask(self, collection: _Collection, name: str, query: StatusQuery) -> Effect:
        address = self.membership.table.by_name[name].link_address
        collection.awaited.add(address)
        return SendMessage(address, query)

    @handles_message(StatusQuery)
    def on_status_query(
        self, peer: str, query: StatusQuery, now: float
    ) -> Iterator[Effect]:
        """Ask the own part of the ring and answer for it."""
        seconds = min(max(query.seconds, 0.0), COLLECT_SECONDS)
        collection = _Collection(peer, query.number, now + seconds)
        if seconds > 0.0:
            yield from self._ask_tree(collection, query.until, seconds, now)
            return
        own = {self.membership.own.name: self._own_report(now)}
        yield SendMessage(peer, StatusAnswer(query.number, own))

    @handles_message(StatusAnswer)
    def on_status_answer(
        self, peer: str, answer: StatusAnswer, now: float
    ) -> Iterator[Effect]:
        """Take up the answer for a part of the ring."""
        collection = self._by_number.get(answer.number)
        if collection is None or peer not in collection.awaited:
            return
        collection.awaited.discard(peer)
        collection.report_by_name.update(answer.report_by_name)
        yield from self._end_if_whole(answer.number, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Wait no longer for a member that cannot be reached."""
        if isinstance(event.message, StatusQuery):
            nothing = StatusAnswer(event.message.number, {})
            yield from self.on_status_answer(event.peer, nothing, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """End the collections whose time is over."""
        if not self._by_number:
            return
        over = [n for n, c in self._by_number.items() if c.deadline <= now]
        for number in over:
            yield from self._end(number, now)

    def _end_if_whole(self, number: int, now: float) -> Iterator[Effect]:
        if not self._by_number[number].awaited:
            yield from self._end(number, now)

    def _end(self, number: int, now: float) -> Iterator[Effect]:
        collection = self._by_number.pop(number)
        if collection.asker:
            answer = StatusAnswer(collection.asker_number, collection.report_by_name)
            yield SendMessage(collection.asker, answer)
            return
        missing = self._missing(collection)
        if missing and not collection.is_one_by_one:
            yield from self._ask_one_by_one(collection, missing, now)
            return
        yield Notify(StatusCollected(self._document(collection)))

    def _missing(self, collection: _Collection) -> list[str]:
        known = self.membership.by_name
        return [name for name in known if name not in collection.report_by_name]

    def _ask_one_by_one(
        self, collection: _Collection, names: list[str], now: float
    ) -> Iterator[Effect]:
        collection.is_one_by_one = True
        collection.deadline = now + MISSING_SECONDS
        collection.awaited.clear()
        number = self._begin(collection)
        for name in names[:MAX_MISSING]:
            yield self._ask(collection, name, StatusQuery(number, 0, 0.0))
        yield WakeAt(collection.deadline)

    def _own_report(self, now: float) -> MemberReport:
        return MemberReport(self.configuration.revision, self.load_of(now))

    def _document(self, collection: _Collection) -> dict[str, Any]:
        by_name = self.membership.table.by_name
        for name, report in collection.report_by_name.items():
            if name in by_name:
                self._report_by_name[name] = (by_name[name].incarnation, report)
        members = sorted(by_name.values(), key=attrgetter("name"))
        documents = [self._member_document(member) for member in members]
        running = self.membership.by_name
        in_force_on = Counter(
            str(document["revision"])
            for document in documents
            if document["name"] in running
        )
        return {
            "revision": self.configuration.revision,
            "members": documents,
            "in_force_on": dict(in_force_on),
        }

    def _member_document(self, member: Member) -> dict[str, Any]:
        incarnation, report = self._report_by_name.get(member.name, (0, NO_REPORT))
        if incarnation != member.incarnation:
            report = NO_REPORT
        load = report.load
        is_refusing = load.refused_priority <= LEAST_IMPORTANT
        return {
            "name": member.name,
            "service": member.service,
            "data_centre": member.data_centre,
            "region": member.region,
            "state": member.state,
            "revision": report.revision,
            "is_cold": load.is_cold,
            "is_draining": load.is_draining,
            "in_flight": load.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "refused_priority": load.refused_priority if is_refusing else None,
        }
