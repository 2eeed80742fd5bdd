"""Full exchange of member tables, in bounded parts."""

import itertools
from collections.abc import Iterable, Iterator

from knapweedlead.membership._member import Member
from knapweedlead.membership._messages import KnownMember, SyncReply, SyncRequest
from knapweedlead.membership._table import MemberTable

MEMBERS_PER_REPLY = 64
"""Members on one message."""

SENT_STATES = frozenset({"alive", "leaving"})
"""States in which a table is passed on; a suspicion spreads as news only."""


def sync_request(own: Member, table: MemberTable) -> SyncRequest:
    """Return the request that says what this table holds."""
    known = tuple(
        KnownMember(member.name, member.incarnation, member.version)
        for member in table.running_by_name.values()
        if member.name != own.name
    )
    return SyncRequest(own, known)


def sync_replies(table: MemberTable, request: SyncRequest) -> Iterator[SyncReply]:
    """Return the answer to a request; at least one message."""
    known_by_name = {known.name: known for known in request.known}
    newer = [
        member
        for member in table.by_name.values()
        if _is_to_be_sent(member, known_by_name.get(member.name))
        and member.name != request.sender.name
    ]
    wanted = tuple(
        known.name for known in request.known if _is_newer(known, table.by_name)
    )
    doubted = tuple(
        known.name
        for known in request.known
        if known.name in table.by_name and table.by_name[known.name].state == "dead"
    )
    parts = list(_parts_of(newer)) or [()]
    yield SyncReply(parts[0], wanted, doubted)
    yield from (SyncReply(part, (), ()) for part in parts[1:])


def wanted_members(table: MemberTable, names: Iterable[str]) -> Iterator[SyncReply]:
    """Return the records of members that a peer wants."""
    members = [table.by_name[name] for name in names if name in table.by_name]
    sent = [member for member in members if member.state in SENT_STATES]
    return (SyncReply(part, (), ()) for part in _parts_of(sent))


def _is_to_be_sent(member: Member, known: KnownMember | None) -> bool:
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


def _parts_of(members: list[Member]) -> Iterator[tuple[Member, ...]]:
    for start in itertools.count(0, MEMBERS_PER_REPLY):
        part = tuple(members[start : start + MEMBERS_PER_REPLY])
        if not part:
            return
        yield part
