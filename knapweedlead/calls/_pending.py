"""Calls that an entry has taken on for a caller."""

from collections.abc import Hashable

import attrs

from knapweedlead.calls._running import RunningCall
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
        Its route.
    account : str
        Client account; empty on open routes.
    metered : ClientAccount or None
        Account whose token the call takes; None for children and open routes.
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
    repeat_key : hashable or None
        Names the request over its caller's repeats; None where nothing does.
    headers : dict of str to str
        Headers passed on, lower-case names.
    state : str
        State of ``pending_call.json``.
    attempt : int
        Attempts sent so far.
    server : ObservedServer or None
        Where the attempt under way was sent.
    sent_at : float
        When it was sent, in seconds.
    lent : int
        Retry credits that it carries.
    tried : set of str
        Names of the members tried.
    may_have_run : bool
        Whether an earlier attempt may have reached a backend server.
    has_token : bool
        Whether a token of `metered` was taken.
    asked_claim : OnceClaimKey or None
        Once record that was asked for.
    claim : OnceClaimKey or None
        Once record held for the call.
    is_caller_gone : bool
        Whether nobody waits for the reply.
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
    repeat_key: Hashable = None
    headers: dict[str, str] = attrs.field(factory=dict)
    state: str = CHART.initial
    attempt: int = 0
    server: ObservedServer | None = None
    sent_at: float = 0.0
    lent: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    has_token: bool = False
    asked_claim: OnceClaimKey | None = None
    claim: OnceClaimKey | None = None
    is_caller_gone: bool = False

    def advance(self, event: str) -> None:
        """Take a transition of the chart."""
        self.state = CHART.advance(self.state, event)

    @property
    def peer(self) -> str:
        """Link address of the attempt under way; empty when there is none."""
        return self.server.member.link_address if self.server is not None else ""

    @property
    def is_resendable(self) -> bool:
        """Whether the call may run more than once."""
        return self.route.is_idempotent
