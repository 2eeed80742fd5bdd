"""Exchange of member tables between two daemons."""

import itertools
from collections.abc import Iterable, Iterator

from knapweedlead.membership._member import Member
from knapweedlead.membership._messages import KnownMember, SyncReply, SyncRequest
from knapweedlead.membership._table import MemberTable

MEMBERS_PER_REPLY = 64
"""Most members in one message."""

SENT_STATES = frozenset({"alive", "leaving"})
"""States that a table exchange transfers; suspicions spread by gossip only."""


def sync_request(local_member: Member, table: MemberTable) -> SyncRequest:
    """Return a request that lists the running members of the table."""
    known = tuple(
        KnownMember(member.name, member.incarnation, member.version)
        for member in table.running_by_name.values()
        if member.name != local_member.name
    )
    return SyncRequest(local_member, known)


def sync_replies(table: MemberTable, request: SyncRequest) -> Iterator[SyncReply]:
    """Yield the messages that answer a request; at least one."""
    known_by_name = {known.name: known for known in request.known}
    newer = [
        member
        for member in table.by_name.values()
        if _should_send(member, known_by_name.get(member.name))
        and member.name != request.sender.name
    ]
    requested = tuple(
        known.name for known in request.known if _is_newer(known, table.by_name)
    )
    disputed = tuple(
        known.name
        for known in request.known
        if known.name in table.by_name and table.by_name[known.name].state == "dead"
    )
    batches = list(_batches_of(newer)) or [()]
    yield SyncReply(batches[0], requested, disputed)
    yield from (SyncReply(batch, (), ()) for batch in batches[1:])


def requested_members(table: MemberTable, names: Iterable[str]) -> Iterator[SyncReply]:
    """Return messages with the records that a peer requested."""
    members = [table.by_name[name] for name in names if name in table.by_name]
    sent = [member for member in members if member.state in SENT_STATES]
    return (SyncReply(batch, (), ()) for batch in _batches_of(sent))


def _should_send(member: Member, known: KnownMember | None) -> bool:
    if known is None:
        return member.state in SENT_STATES
    if member.state == "gone":
        return member.precedence[:2] >= (known.incarnation, known.version)
    is_newer = member.precedence[:2] > (known.incarnation, known.version)
    return is_newer and member.state in SENT_STATES


def _is_newer(known: KnownMember, by_name: dict[str, Member]) -> bool:
    member = by_name.get(known.name)
    if member is None:
        return True
    return (known.incarnation, known.version) > member.precedence[:2]


def _batches_of(members: list[Member]) -> Iterator[tuple[Member, ...]]:
    for start in itertools.count(0, MEMBERS_PER_REPLY):
        batch = tuple(members[start : start + MEMBERS_PER_REPLY])
        if not batch:
            return
        yield batch
