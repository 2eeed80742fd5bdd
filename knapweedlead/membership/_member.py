"""What a daemon announces about itself."""

import attrs

from knapweedlead.messages import nested
from knapweedlead.node import Event
from knapweedlead.statecharts import Statechart

MEMBER_CHART = Statechart.load("knapweedlead.membership", "member.json")

RANK_BY_STATE = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3, "gone": 4}
"""Which judgement on the same announcement replaces which."""

RUNNING_STATES = frozenset({"alive", "suspect", "leaving"})
"""States of members whose process runs, as far as is known."""

ENDED_STATES = frozenset({"dead", "gone"})


@nested
@attrs.frozen
class Member:
    """A daemon as announced by itself and judged by its peers.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    incarnation : int
        Start identity; a higher one replaces a lower one.
    version : int
        Rises with each announcement of the same start.
    link_address, caller_address : str
        ``IP:PORT`` for links and for callers.
    region, data_centre, service, instance : str
        Where the daemon runs.
    slots, cold_slots, connections : int
        Limits of its backend server, in calls and connections.
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
        """Order among records of the same member; a higher one replaces."""
        rank = RANK_BY_STATE.get(self.state, 0)
        return self.incarnation, self.version, rank

    def judged(self, event: str) -> "Member":
        """Return the record after an event of ``member.json``."""
        state = MEMBER_CHART.advance(self.state, event)
        return self if state == self.state else attrs.evolve(self, state=state)


@attrs.frozen
class MembersChanged(Event):
    """Members appeared, changed state or left.

    Parameters
    ----------
    names : tuple of str
        Members concerned.
    """

    names: tuple[str, ...]


@attrs.frozen
class RevisionHeard(Event):
    """A member reported its configuration's revision on a heartbeat.

    Parameters
    ----------
    peer : str
        Link address of the member.
    revision : int
        Revision in force there.
    """

    peer: str
    revision: int
