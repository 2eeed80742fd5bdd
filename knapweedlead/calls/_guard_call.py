"""Call that a guard has accepted."""

import attrs

from knapweedlead.messages import CallRequest


@attrs.define(eq=False)
class GuardCall:
    """A call that is queued for or running on the local backend server.

    Parameters
    ----------
    run : int
        Number of the run.
    token : str
        Random token with which child calls identify their parent.
    sender : str
        Link address of the entry.
    request : CallRequest
        The message as received.
    arrived_at, deadline : float
        Seconds on the clock of ``now``.
    credits : int
        Retry credits not lent to child calls.
    started_at : float
        Time when the call was sent to the backend server, in seconds.
    failed_children : set of bytes
        Keys of failed child calls; another child call with the same key is a
        retry.
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
        """Sender, call ID and attempt number."""
        return self.sender, self.request.call_id, self.request.attempt
