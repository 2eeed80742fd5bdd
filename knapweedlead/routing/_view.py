"""The servers of one service, arranged for choosing."""

import attrs

from knapweedlead.configuration import Catalogue
from knapweedlead.membership import Member
from knapweedlead.node import Identity
from knapweedlead.routing._server import HEALTHY, ObservedServer

ALIVE = "alive"


@attrs.define(eq=False)
class ServiceView:
    """The servers of a service that may be sent work.

    Parameters
    ----------
    servers : list of ObservedServer
        All of them.
    pools : list of list of ObservedServer
        The same, nearest first; suspect members come last.
    is_any_out : bool
        Whether servers were left out because operators took them out.
    unhealthy : dict of str to ObservedServer
        Those that are ejected or on probation, by name.
    """

    servers: list[ObservedServer]
    pools: list[list[ObservedServer]]
    is_any_out: bool
    unhealthy: dict[str, ObservedServer]


def distance(identity: Identity, member: Member) -> int:
    """Return how far a member is: 0 same data centre, 3 suspect."""
    if member.state != ALIVE:
        return 3
    if member.data_centre == identity.data_centre:
        return 0
    return 1 if member.region == identity.region else 2


def build_view(
    identity: Identity,
    members: list[Member],
    catalogue: Catalogue,
    by_name: dict[str, ObservedServer],
    now: float,
) -> ServiceView:
    """Arrange the members of a service; keeps what was observed of them.

    Parameters
    ----------
    identity : Identity
        The daemon that chooses.
    members : list of Member
        Members of the service that may be sent work.
    catalogue : Catalogue
        Statements on data centres and backend servers.
    by_name : dict of str to ObservedServer
        What was observed so far; brought up to date here.
    now : float
        Seconds, monotonic.
    """
    in_service = [
        member
        for member in members
        if catalogue.is_backend_server_in_service(member.name, member.data_centre)
    ]
    servers = [_observed(member, by_name, now) for member in in_service]
    pools = [
        [server for server in servers if distance(identity, server.member) == level]
        for level in range(4)
    ]
    return ServiceView(
        servers=servers,
        pools=[pool for pool in pools if pool],
        is_any_out=len(in_service) < len(members),
        unhealthy={s.member.name: s for s in servers if s.state != HEALTHY},
    )


def _observed(
    member: Member, by_name: dict[str, ObservedServer], now: float
) -> ObservedServer:
    server = by_name.get(member.name)
    if server is None or server.member.incarnation != member.incarnation:
        server = ObservedServer(member, now)
        by_name[member.name] = server
    server.member = member
    return server
