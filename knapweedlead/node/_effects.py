"""Effects that the core asks the shell to carry out."""

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

    A message that could not be written comes back as `SendFailed`.
    """

    peer: str
    message: Message


@attrs.frozen
class OpenLink(Effect):
    """Open a link ahead of use; answered by `LinkUp` or `LinkDown`."""

    peer: str


@attrs.frozen
class CloseLink(Effect):
    """Close the link to an address."""

    peer: str


@attrs.frozen
class ReplyToCaller(Effect):
    """Answer an HTTP exchange in whole."""

    exchange: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class ReplyToOperator(Effect):
    """Answer an operator's request; `reply` is a typed operator reply."""

    exchange: int
    reply: Any


@attrs.frozen
class RunOnBackendServer(Effect):
    """Send a request to the own backend server.

    Parameters
    ----------
    run : int
        Number of the run, for `RunAnswered`, `RunFailed` and `CancelRun`.
    method, path : str
        Of the request line.
    headers : dict of str to str
        Lower-case names.
    body : bytes
        The whole body.
    timeout : float
        Seconds until the shell gives the run up.
    """

    run: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


@attrs.frozen
class CancelRun(Effect):
    """Close the connection of a run, which cancels it."""

    run: int


@attrs.frozen
class StoreCall(Effect):
    """Call the platform's store; answered by `StoreAnswered`."""

    call: int
    operation: StoreOperation


@attrs.frozen
class WakeAt(Effect):
    """Report a `Tick` at a time.

    Parameters
    ----------
    time : float
        On the clock of ``now``, in seconds.
    """

    time: float


@attrs.frozen
class Notify(Effect):
    """Hand an event to the other roles of the same core at once."""

    event: Event


@attrs.frozen
class Count(Effect):
    """Add to a counter.

    Parameters
    ----------
    name : str
        Metric name, such as ``"knapweedlead.refusals"``.
    labels : tuple of (str, str)
        Attribute names and values from closed lists.
    amount : int
        What to add.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    amount: int = 1


@attrs.frozen
class Observe(Effect):
    """Record a value in a histogram."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LogEvent(Effect):
    """Write one log line of key=value pairs."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()
