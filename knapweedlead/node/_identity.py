"""Who a daemon is."""

import attrs


@attrs.frozen
class Identity:
    """Name, start identity and place of a daemon.

    Parameters
    ----------
    name : str
        Member name, unique in the fleet.
    incarnation : int
        Start identity; rises with each start under the same name.
    link_address : str
        ``IP:PORT`` at which the daemon accepts links.
    caller_address : str
        ``IP:PORT`` at which the daemon accepts callers.
    region, data_centre : str
        Where the daemon runs.
    service : str
        Service of the backend server beside it.
    instance : str
        Name of the instance.
    """

    name: str
    incarnation: int
    link_address: str
    caller_address: str
    region: str
    data_centre: str
    service: str
    instance: str
