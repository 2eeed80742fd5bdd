"""Settings of a daemon in a mesh."""

import attrs


@attrs.frozen
class MeshSettings:
    """Where a daemon listens, whom it talks to and within which bounds.

    Addresses are ``IP:PORT``, times are in seconds.

    Parameters
    ----------
    name, ip, data_centre, region, service : str
        Of the daemon and of the backend server beside it.
    caller_address : str
        Takes calls of callers and of the own backend server.
    report_address : str
        Takes the heartbeats of the own backend server.
    ready_address : str
        Tells whether the daemon takes calls.
    server_address : str
        The own backend server.
    link_port : int
        Takes the links of other daemons, on `ip`; the same on all of them.
    metrics_port : int
    store_address : str
    heartbeat_period : float
    shutdown_time : float
        From the request to stop until the process is killed.
    drain_time : float
        Within which a leaving backend server must be left alone.
    revocation_time : float or None
        Within which a withdrawn key must stop working; None where no bound holds.
    repeat_ratio, repeat_extra : float
        The fleet's budget of repeats: a share of the calls, and a number besides.
    quota_window : float
        Window over which an account's rate and burst are bounded.
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
