"""Pending calls of an entry."""

from collections.abc import Hashable

import attrs

from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.configuration import ClientAccount, Route
from knapweedlead.node import CallReceived
from knapweedlead.requests import OnceClaimKey
from knapweedlead.routing import ObservedServer
from knapweedlead.statecharts import Statechart

CHART = Statechart.load("knapweedlead.calls", "pending_call.json")

METERING = "metering"
CLAIMING = "claiming"
WAITING = "waiting"
UNDER_WAY = "under_way"
ENDED = "ended"


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
        Route that matches the path of the request.
    account : str
        Name of the client account; empty on open routes.
    metered_account : ClientAccount or None
        Account charged for the call; None for child calls and open routes.
    parent : GuardCall or None
        Running call that made this child call; None for a root call.
    request_id : bytes
        ID shared by all calls of the call tree.
    priority : int
        Priority; 0 is the highest.
    deadline : float
        Seconds on the clock of ``now``.
    credits : int
        Retry credits that are not lent to the attempt in flight.
    hops : int
        Number of ancestors in the call tree.
    retry_key : hashable or None
        Identifies the request across its caller's retries; None if the route is
        not idempotent or the caller sent no identifier.
    headers : dict of str to str
        Headers to forward, with lower-case names.
    state : str
        State of ``pending_call.json``.
    attempt : int
        Attempts sent so far.
    server : ObservedServer or None
        Server of the attempt in flight.
    sent_at : float
        Time when the last attempt was sent, in seconds on the clock of ``now``.
    lent_credits : int
        Retry credits lent to the attempt in flight.
    tried : set of str
        Names of the members to which attempts were sent.
    may_have_run : bool
        Whether an earlier attempt may have reached a backend server.
    has_token : bool
        Whether a token of `metered_account` was acquired.
    requested_claim : OnceClaimKey or None
        Idempotency key that was requested for the call.
    claim : OnceClaimKey or None
        Idempotency key that was granted to the call.
    is_caller_gone : bool
        Whether the caller closed its connection or the parent run ended.
    """

    call_id: int
    event: CallReceived
    route: Route
    account: str
    metered_account: ClientAccount | None
    parent: GuardCall | None
    request_id: bytes
    priority: int
    deadline: float
    credits: int
    hops: int
    retry_key: Hashable = None
    headers: dict[str, str] = attrs.field(factory=dict)
    state: str = CHART.initial
    attempt: int = 0
    server: ObservedServer | None = None
    sent_at: float = 0.0
    lent_credits: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    has_token: bool = False
    requested_claim: OnceClaimKey | None = None
    claim: OnceClaimKey | None = None
    is_caller_gone: bool = False

    def advance(self, event: str) -> None:
        """Apply an event of ``pending_call.json`` to the state."""
        self.state = CHART.advance(self.state, event)

    @property
    def peer(self) -> str:
        """Link address of the attempt in flight; empty if there is none."""
        return self.server.member.link_address if self.server is not None else ""

    @property
    def is_resendable(self) -> bool:
        """Whether the call may safely run more than once."""
        return self.route.is_idempotent
