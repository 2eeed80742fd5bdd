"""Settings of a daemon in a mesh."""

import attrs


@attrs.frozen
class MeshSettings:
    """Addresses, limits and intervals of a daemon.

    Addresses are ``IP:PORT``, times are in seconds.

    Parameters
    ----------
    name, ip, data_centre, region, service : str
        Identity and location of the daemon and of its local backend server.
    caller_address : str
        Listener for calls of callers and of the local backend server.
    report_address : str
        Listener for heartbeats of the local backend server.
    ready_address : str
        Readiness endpoint, which reports whether the daemon accepts calls.
    server_address : str
        Address of the local backend server.
    link_port : int
        Port on `ip` for links of other daemons; the same for all daemons.
    metrics_port : int
    store_address : str
    heartbeat_period : float
    shutdown_time : float
        Time from the request to stop until the process is killed.
    drain_time : float
        Time within which a leaving backend server must stop receiving calls.
    revocation_time : float or None
        Time within which a withdrawn key must stop working; None for no limit.
    repeat_ratio, repeat_extra : float
        Retry budget of the fleet: a fraction of the calls, plus a constant number.
    quota_window : float
        Window over which an account's rate and burst are enforced.
    lease_time_min : float
        Shortest lease that the store grants.
    memory_mb : int
        Memory of the process.
    """

    name: str
    ip: str
    data_centre: str
    region: str
    service: str
    caller_address: str
    report_address: str
    ready_address: str
    server_address: str
    link_port: int
    metrics_port: int
    store_address: str
    heartbeat_period: float
    shutdown_time: float
    drain_time: float
    revocation_time: float | None
    repeat_ratio: float
    repeat_extra: float
    quota_window: float
    lease_time_min: float
    memory_mb: int
