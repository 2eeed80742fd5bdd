"""Input of the admission policies: queued calls and samples of ended calls."""

import attrs

IMPORTANT_PRIORITY = 0
"""Priority of the calls that are shed last and have reserved slots."""


@attrs.frozen
class QueuedCall:
    """A call that requests a slot of the backend server.

    Parameters
    ----------
    run : int
        Number that the guard gave the call.
    account : str
        Client account; empty on open routes.
    route : str
        Name of the route.
    priority : int
        0 is the most important.
    weight : float
        Weight of the account in fair queueing, relative to other accounts.
    arrived_at, deadline : float
        In seconds, on the same clock as ``now``.
    """

    run: int
    account: str
    route: str
    priority: int
    weight: float
    arrived_at: float
    deadline: float


@attrs.frozen
class Sample:
    """Result of a call that ended or stalled on the backend server.

    Parameters
    ----------
    slowdown : float
        Time without child calls divided by the typical time of the route; 1.0
        while the typical time is unknown.
    is_failure : bool
        Whether the backend server failed, rather than the caller or a child call.
    in_flight : int
        Calls in flight when this call ended or stalled, this call included.
    started_at : float
        When the call started, in seconds on the same clock as ``now``. The
        result reflects the limits that applied at that time.
    """

    slowdown: float
    is_failure: bool
    in_flight: int
    started_at: float
