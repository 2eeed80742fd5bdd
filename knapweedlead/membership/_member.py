"""What a daemon announces about itself."""

import attrs

from knapweedlead.messages import nested
from knapweedlead.node import Event


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


@attrs.frozen
class MembersChanged(Event):
    """Members appeared, changed state or left.

    Parameters
    ----------
    names : tuple of str
        Members concerned.
    """

    names: tuple[str, ...]
