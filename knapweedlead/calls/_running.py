"""Calls that a guard has taken on."""

import attrs

from knapweedlead.messages import CallRequest


@attrs.define(eq=False)
class RunningCall:
    """A call waiting for or running on the own backend server.

    Parameters
    ----------
    run : int
        Number of the run.
    token : str
        Names this call in its child calls; unguessable.
    sender : str
        Link address of the entry.
    request : CallRequest
        As received.
    arrived_at, deadline : float
        Seconds on the clock of ``now``.
    credits : int
        Retry credits not lent to child calls.
    started_at : float
        When it was sent to the backend server, in seconds.
    failed_children : set of bytes
        Fingerprints of child calls that failed; the next one alike is a retry.
    """

    run: int
    token: str
    sender: str
    request: CallRequest
    arrived_at: float
    deadline: float
    credits: int
    started_at: float = 0.0
    failed_children: set[bytes] = attrs.field(factory=set)

    @property
    def key(self) -> tuple[str, int, int]:
        """What names the exchange: sender, call and attempt."""
        return self.sender, self.request.call_id, self.request.attempt
