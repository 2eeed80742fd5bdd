"""Calls that an entry has taken on for a caller."""

import attrs

from knapweedlead.calls._running import RunningCall
from knapweedlead.configuration import ClientAccount, Route
from knapweedlead.node import CallReceived
from knapweedlead.requests import OnceClaimKey


@attrs.define(eq=False)
class PendingCall:
    """A caller's request, or a child call, from receipt to reply.

    Parameters
    ----------
    call_id : int
        Number of the call at this daemon.
    event : CallReceived
        The HTTP request.
    route : Route
        Its route.
    account : str
        Client account; empty on open routes.
    metered : ClientAccount or None
        Account whose token the call took; None for children and open routes.
    parent : RunningCall or None
        The running call on whose behalf a child call is made.
    request_id : bytes
        The same over the whole tree.
    priority : int
        0 is the most important.
    deadline : float
        Seconds on the clock of ``now``.
    credits : int
        Retry credits not lent to the attempt under way.
    hops : int
        Calls above this one.
    attempt : int
        Attempts sent so far.
    peer : str
        Link address of the attempt under way; empty when there is none.
    claim : OnceClaimKey or None
        Once record held for the call.
    """

    call_id: int
    event: CallReceived
    route: Route
    account: str
    metered: ClientAccount | None
    parent: RunningCall | None
    request_id: bytes
    priority: int
    deadline: float
    credits: int
    hops: int
    attempt: int = 0
    peer: str = ""
    claim: OnceClaimKey | None = None
    tried: set[str] = attrs.field(factory=set)
