"""Status role: collects the revision and load of all members."""

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
from knapweedlead.configuration._resources import LOWEST_PRIORITY
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

COLLECTION_SECONDS = 1.0
"""Time limit in seconds for answers along the tree."""
HOP_TIME_SHARE = 0.85
"""Time limit of forwarded queries, as a fraction of the sender's own time limit."""
DIRECT_QUERY_SECONDS = 0.5
"""Time limit in seconds for answers to direct queries."""
MAX_DIRECT_QUERIES = 64
"""Most members queried directly."""

EMPTY_REPORT = MemberReport(0, LoadReport(0, 0, 0, LOWEST_PRIORITY + 1, False, False))
"""Report shown if no report of a member was received since the member's start."""


@attrs.frozen
class StatusCollected(Event):
    """The status of all members was collected, as a JSON-compatible document."""

    document: Any


@attrs.define(eq=False)
class _Collection:
    """Reports collected for one query.

    Parameters
    ----------
    requester : str
        Link address of the member that sent the query; empty for a local one.
    requester_number : int
        Number of the requester's query.
    deadline : float
        Time at which collecting ends even if answers are missing, in seconds.
    """

    requester: str
    requester_number: int
    deadline: float
    pending_addresses: set[str] = attrs.field(factory=set)
    report_by_name: dict[str, MemberReport] = attrs.field(factory=dict)
    is_direct: bool = False


class StatusRole(Role):
    """Queries all members along a partitioned tree, then missing members directly.

    Parameters
    ----------
    membership : MembershipRole
        Membership of the fleet.
    configuration : ConfigurationRole
        Source of the applied revision.
    local_load : callable
        Returns the load of the local guard at a given time.
    """

    def __init__(
        self,
        membership: MembershipRole,
        configuration: ConfigurationRole,
        local_load: Callable[[float], LoadReport],
    ) -> None:
        self.local_load = local_load
        self.membership = membership
        self.configuration = configuration
        self._tree = PartitionedTree(membership.rng)
        self._by_number: dict[int, _Collection] = {}
        self._last_number = 0
        self._local_number = 0
        self._report_by_name: dict[str, tuple[int, MemberReport]] = {}

    def collect(self, now: float) -> Iterator[Effect]:
        """Start collecting, unless already in progress; ends in `StatusCollected`."""
        if self._local_number in self._by_number:
            return
        collection = _Collection("", 0, now + COLLECTION_SECONDS)
        range_end = ring_position(self.membership.local_member.name)
        yield from self._query_tree(collection, range_end, COLLECTION_SECONDS, now)

    def _register(self, collection: _Collection) -> int:
        self._last_number += 1
        self._by_number[self._last_number] = collection
        if not collection.requester:
            self._local_number = self._last_number
        return self._last_number

    def _query_tree(
        self, collection: _Collection, range_end: int, seconds: float, now: float
    ) -> Iterator[Effect]:
        local_member = self.membership.local_member
        collection.report_by_name[local_member.name] = self._local_report(now)
        number = self._register(collection)
        fingers = self.membership.fingers()
        for target in self._tree.targets(
            local_member.name, range_end, fingers, fingers
        ):
            query = StatusQuery(number, target.range_end, seconds * HOP_TIME_SHARE)
            yield self._query(collection, target.name, query)
        yield from self._end_if_complete(number, now)
        yield WakeAt(collection.deadline)

    def _query(self, collection: _Collection, name: str, query: StatusQuery) -> Effect:
        address = self.membership.table.by_name[name].link_address
        collection.pending_addresses.add(address)
        return SendMessage(address, query)

    @handles_message(StatusQuery)
    def on_status_query(
        self, peer: str, query: StatusQuery, now: float
    ) -> Iterator[Effect]:
        """Collect the reports of the requested range, or report only this daemon."""
        seconds = min(max(query.seconds, 0.0), COLLECTION_SECONDS)
        collection = _Collection(peer, query.number, now + seconds)
        if seconds > 0.0:
            yield from self._query_tree(collection, query.range_end, seconds, now)
            return
        report_by_name = {self.membership.local_member.name: self._local_report(now)}
        yield SendMessage(peer, StatusAnswer(query.number, report_by_name))

    @handles_message(StatusAnswer)
    def on_status_answer(
        self, peer: str, answer: StatusAnswer, now: float
    ) -> Iterator[Effect]:
        """Add the reports for a range of the ring."""
        collection = self._by_number.get(answer.number)
        if collection is None or peer not in collection.pending_addresses:
            return
        collection.pending_addresses.discard(peer)
        collection.report_by_name.update(answer.report_by_name)
        yield from self._end_if_complete(answer.number, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Treat an unreachable member as having answered without reports."""
        if isinstance(event.message, StatusQuery):
            empty = StatusAnswer(event.message.number, {})
            yield from self.on_status_answer(event.peer, empty, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """End the collections whose deadline has passed."""
        if not self._by_number:
            return
        expired = [n for n, c in self._by_number.items() if c.deadline <= now]
        for number in expired:
            yield from self._end(number, now)

    def _end_if_complete(self, number: int, now: float) -> Iterator[Effect]:
        if not self._by_number[number].pending_addresses:
            yield from self._end(number, now)

    def _end(self, number: int, now: float) -> Iterator[Effect]:
        collection = self._by_number.pop(number)
        if collection.requester:
            answer = StatusAnswer(
                collection.requester_number, collection.report_by_name
            )
            yield SendMessage(collection.requester, answer)
            return
        missing = self._missing(collection)
        if missing and not collection.is_direct:
            yield from self._query_missing(collection, missing, now)
            return
        yield Notify(StatusCollected(self._document(collection)))

    def _missing(self, collection: _Collection) -> list[str]:
        known = self.membership.by_name
        return [name for name in known if name not in collection.report_by_name]

    def _query_missing(
        self, collection: _Collection, names: list[str], now: float
    ) -> Iterator[Effect]:
        collection.is_direct = True
        collection.deadline = now + DIRECT_QUERY_SECONDS
        collection.pending_addresses.clear()
        number = self._register(collection)
        for name in names[:MAX_DIRECT_QUERIES]:
            yield self._query(collection, name, StatusQuery(number, 0, 0.0))
        yield WakeAt(collection.deadline)

    def _local_report(self, now: float) -> MemberReport:
        return MemberReport(self.configuration.revision, self.local_load(now))

    def _document(self, collection: _Collection) -> dict[str, Any]:
        by_name = self.membership.table.by_name
        for name, report in collection.report_by_name.items():
            if name in by_name:
                self._report_by_name[name] = (by_name[name].incarnation, report)
        members = sorted(by_name.values(), key=attrgetter("name"))
        documents = [self._member_document(member) for member in members]
        running = self.membership.by_name
        count_by_revision = Counter(
            str(document["revision"])
            for document in documents
            if document["name"] in running
        )
        return {
            "revision": self.configuration.revision,
            "members": documents,
            "in_force_on": dict(count_by_revision),
        }

    def _member_document(self, member: Member) -> dict[str, Any]:
        incarnation, report = self._report_by_name.get(member.name, (0, EMPTY_REPORT))
        if incarnation != member.incarnation:
            report = EMPTY_REPORT
        load = report.load
        is_refusing = load.refused_priority <= LOWEST_PRIORITY
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
