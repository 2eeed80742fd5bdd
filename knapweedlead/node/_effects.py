"""Effects: operations that the node returns and the shell executes."""

from typing import Any

import attrs

from knapweedlead.messages import Message
from knapweedlead.node._events import Event
from knapweedlead.store import StoreOperation


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class SendMessage(Effect):
    """Send a message to the daemon at a link address, opening a link if needed.

    A message that could not be written is reported by `SendFailed`.
    """

    peer: str
    message: Message


@attrs.frozen
class OpenLink(Effect):
    """Open a link before it is needed; answered by `LinkUp` or `LinkDown`."""

    peer: str


@attrs.frozen
class CloseLink(Effect):
    """Close the link to the daemon at a link address."""

    peer: str


@attrs.frozen
class ReplyToCaller(Effect):
    """Send the complete response of an HTTP exchange."""

    exchange: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class ReplyToOperator(Effect):
    """Answer an operator request with a typed reply of the operator API."""

    exchange: int
    reply: Any


@attrs.frozen
class RunOnBackendServer(Effect):
    """Send a request to the local backend server.

    Parameters
    ----------
    run : int
        Identifier of the run in `RunAnswered`, `RunFailed` and `CancelRun`.
    method, path : str
        Method and target of the request line.
    headers : dict of str to str
        Header names are lower case.
    body : bytes
        Complete request body.
    timeout : float
        Seconds allowed for connecting, and again for the answer.
    """

    run: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


@attrs.frozen
class CancelRun(Effect):
    """Cancel a run by closing its connection."""

    run: int


@attrs.frozen
class StoreCall(Effect):
    """Call the platform's store; answered by `StoreAnswered` with the same `call`."""

    call: int
    operation: StoreOperation


@attrs.frozen
class WakeAt(Effect):
    """Request a `Tick` at a given time.

    Parameters
    ----------
    time : float
        Seconds on the monotonic clock of ``now``.
    """

    time: float


@attrs.frozen
class Notify(Effect):
    """Dispatch an event to the roles of the node within the same `Node.handle` call."""

    event: Event


@attrs.frozen
class HandlerFailed(Effect):
    """Count and log an exception that a handler raised.

    Parameters
    ----------
    handler : str
        Qualified name of the handler.
    event : Event
        Event that was handled.
    error : Exception
    """

    handler: str
    event: Event
    error: Exception


@attrs.frozen
class Count(Effect):
    """Add to a counter.

    Parameters
    ----------
    name : str
        Metric name, such as ``"knapweedlead.refusals"``.
    labels : tuple of (str, str)
        Label names and values; both come from fixed sets.
    amount : int
        Increment.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    amount: int = 1


@attrs.frozen
class Observe(Effect):
    """Record a duration, in seconds, in a histogram."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LogEvent(Effect):
    """Write one log line with key=value fields."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()
