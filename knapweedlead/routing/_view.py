"""The servers of one service, grouped by distance."""

import attrs

from knapweedlead.configuration import Catalogue
from knapweedlead.membership import Member
from knapweedlead.node import Identity
from knapweedlead.routing._server import HEALTHY, ObservedServer

ALIVE = "alive"


@attrs.define(eq=False)
class ServiceView:
    """The servers of a service that may be sent calls.

    Parameters
    ----------
    servers : list of ObservedServer
        All servers that may be sent calls.
    pools : list of list of ObservedServer
        The same servers by distance, nearest first; suspect members come last.
    has_out_of_service : bool
        Whether servers were omitted because operators took them out of service.
    unhealthy : dict of str to ObservedServer
        Servers that are ejected or being probed, by name.
    """

    servers: list[ObservedServer]
    pools: list[list[ObservedServer]]
    has_out_of_service: bool
    unhealthy: dict[str, ObservedServer]


def distance(identity: Identity, member: Member) -> int:
    """Return the distance to a member.

    0 is the same data centre, 1 the same region, 2 another region, and 3 a member
    that is not alive.
    """
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
    """Group the servers of a service by distance, keeping earlier observations.

    Parameters
    ----------
    identity : Identity
        Identity of the local daemon.
    members : list of Member
        Members of the service that may be sent calls.
    catalogue : Catalogue
        Resources, with the data centres and backend servers out of service.
    by_name : dict of str to ObservedServer
        Observed servers by member name; updated in place.
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
        has_out_of_service=len(in_service) < len(members),
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
