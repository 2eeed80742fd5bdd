"""Events that the shell reports to the core."""

from typing import Any

import attrs
from result import Result

from knapweedlead.errors import StoreError
from knapweedlead.messages import Message
from knapweedlead.store import StoreResult


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class Started(Event):
    """The shell is ready to carry out effects."""


@attrs.frozen
class Tick(Event):
    """A fixed period has passed, or a `WakeAt` time has come."""


@attrs.frozen
class Woken(Event):
    """The process was paused; raised by the core itself before other events.

    Parameters
    ----------
    pause : float
        Seconds since the event before.
    """

    pause: float


@attrs.frozen
class ShutdownRequested(Event):
    """The operator asked the process to stop gracefully."""


@attrs.frozen
class CallReceived(Event):
    """A whole HTTP request from a caller, or from the own backend server.

    Parameters
    ----------
    exchange : int
        Number of the HTTP exchange, for the reply.
    method, path : str
        Of the request line.
    headers : dict of str to str
        Lower-case names.
    body : bytes
        The whole body.
    peer : str
        Address of the caller.
    """

    exchange: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: str


@attrs.frozen
class CallerGone(Event):
    """The caller closed its connection before the reply."""

    exchange: int


@attrs.frozen
class MessageReceived(Event):
    """A message came over a link; `peer` is the sender's link address."""

    peer: str
    message: Message


@attrs.frozen
class LinkUp(Event):
    """A link is open and both sides proved the fleet's secret."""

    peer: str
    name: str
    incarnation: int


@attrs.frozen
class LinkDown(Event):
    """A link was lost; messages sent on it may not have arrived.

    Parameters
    ----------
    peer : str
        Link address.
    is_refused : bool
        Whether the address refused the connection.
    """

    peer: str
    is_refused: bool


@attrs.frozen
class SendFailed(Event):
    """A message was never written to a link, so its receiver saw nothing of it."""

    peer: str
    message: Message


@attrs.frozen
class RunAnswered(Event):
    """The own backend server answered a run in whole."""

    run: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class RunFailed(Event):
    """A run has no whole answer.

    Parameters
    ----------
    run : int
        Number of the run.
    was_sent : bool
        Whether any byte of the request was written.
    detail : str
        What went wrong.
    """

    run: int
    was_sent: bool
    detail: str


@attrs.frozen
class StoreAnswered(Event):
    """A store call ended.

    Parameters
    ----------
    call : int
        Number given in `StoreCall`.
    result : Result
        The answer or the `StoreError`.
    """

    call: int
    result: Result[StoreResult, StoreError]


@attrs.frozen
class OperatorCallReceived(Event):
    """A request to the operator API that its credential admitted.

    Parameters
    ----------
    exchange : int
        Number of the exchange, for the reply.
    request : object
        A typed operator request.
    """

    exchange: int
    request: Any
