"""Identity of a daemon in the fleet."""

import attrs


@attrs.frozen
class Identity:
    """Name, incarnation, addresses and location of a daemon.

    Parameters
    ----------
    name : str
        Member name, unique in the fleet.
    incarnation : int
        Incarnation number; increases with each start under the same name.
    link_address : str
        ``IP:PORT`` at which the daemon accepts links.
    caller_address : str
        ``IP:PORT`` at which the daemon accepts caller connections.
    region, data_centre : str
        Location of the daemon.
    service : str
        Service of the local backend server.
    instance : str
        Name of the instance that the daemon runs on.
    """

    name: str
    incarnation: int
    link_address: str
    caller_address: str
    region: str
    data_centre: str
    service: str
    instance: str
