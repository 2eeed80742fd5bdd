"""Member records and events of membership."""

import attrs

from knapweedlead.checks import check_address, check_count, check_name
from knapweedlead.messages import nested
from knapweedlead.node import Event
from knapweedlead.statecharts import Statechart

MEMBER_CHART = Statechart.load("knapweedlead.membership", "member.json")

RANK_BY_STATE = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3, "gone": 4}
"""Rank of states with equal incarnation and version; a higher rank wins."""

MAX_LIMIT = 1_000_000
"""Largest limit of a backend server that a record may state."""

RUNNING_STATES = frozenset({"alive", "suspect", "leaving"})
"""States of members whose process is presumed to run."""

ENDED_STATES = frozenset({"dead", "gone"})


@nested
@attrs.frozen
class Member:
    """Record of a daemon: the daemon's announcement and the state observed by peers.

    Parameters
    ----------
    name : str
        Name of the daemon, unique in the fleet.
    incarnation : int
        Identifies a start of the process; records of a later start are higher.
    version : int
        Rises with each announcement within an incarnation.
    link_address, caller_address : str
        ``IP:PORT`` for links, and ``IP:PORT`` for callers.
    region, data_centre, service, instance : str
        Location and service of the daemon.
    slots, cold_slots, connections : int
        Limits of the backend server: concurrent calls, concurrent calls during
        a cold start, and connections.
    state : str
        A state of ``member.json``.
    """

    name: str
    incarnation: int
    version: int
    link_address: str
    caller_address: str
    region: str
    data_centre: str
    service: str
    instance: str
    slots: int
    cold_slots: int
    connections: int
    state: str

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key among records of one member; the highest record wins."""
        rank = RANK_BY_STATE.get(self.state, 0)
        return self.incarnation, self.version, rank

    def after_event(self, event: str) -> "Member":
        """Return the record in the state that an event of ``member.json`` leads to."""
        state = MEMBER_CHART.advance(self.state, event)
        return self if state == self.state else attrs.evolve(self, state=state)


def check_member(member: Member) -> None:
    """Check a record that another program has written.

    Raises
    ------
    ValueError
        If a name cannot be encoded, an address cannot be connected to, a number is out
        of range, or the state is unknown.
    """
    for name in (
        member.name,
        member.region,
        member.data_centre,
        member.service,
        member.instance,
    ):
        check_name(name)
    for address in (member.link_address, member.caller_address):
        check_address(address)
    for number in (member.incarnation, member.version):
        check_count(number)
    for limit in (member.slots, member.cold_slots, member.connections):
        check_count(limit, MAX_LIMIT)
    if member.state not in RANK_BY_STATE:
        raise ValueError(f"expected a known state, got {member.state!r}")


@attrs.frozen
class MembersChanged(Event):
    """Members appeared, changed state or left.

    Parameters
    ----------
    names : tuple of str
        Names of the members affected.
    """

    names: tuple[str, ...]


@attrs.frozen
class RevisionHeard(Event):
    """A heartbeat reported a higher configuration revision than the local one.

    Parameters
    ----------
    peer : str
        Link address of the member.
    revision : int
        Revision applied by the member.
    """

    peer: str
    revision: int
