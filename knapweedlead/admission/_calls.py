"""What admission decides on: calls that ask for a slot, and how calls ended."""

import attrs

IMPORTANT_PRIORITY = 0
"""Priority of the calls that are shed last and have a reserve of slots."""


@attrs.frozen
class QueuedCall:
    """A call that asks for a slot of the backend server.

    Parameters
    ----------
    run : int
        Number of the call at its guard.
    account : str
        Client account; empty on open routes.
    route : str
        Name of the route.
    priority : int
        0 is the most important.
    weight : float
        Share of the account relative to others.
    arrived_at, deadline : float
        Seconds on the clock of ``now``.
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
    """How one call fared on the backend server.

    Parameters
    ----------
    slowdown : float
        Own time of the backend server over the usual one of the route; 1.0
        while none is known.
    is_failure : bool
        Whether the backend server itself failed.
    in_flight : int
        Calls that ran when this one ended, itself included.
    started_at : float
        Seconds on the clock of ``now``; the limits that held then shaped it.
    """

    slowdown: float
    is_failure: bool
    in_flight: int
    started_at: float
