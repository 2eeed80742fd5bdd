"""Events that the shell reports to the node."""

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
    """The shell has started and can execute effects."""


@attrs.frozen
class Tick(Event):
    """A fixed period has elapsed, or the time of a `WakeAt` has been reached."""


@attrs.frozen
class Woken(Event):
    """The process was paused; dispatched before the first event after the pause.

    Parameters
    ----------
    pause : float
        Seconds since the previous event.
    """

    pause: float


@attrs.frozen
class ShutdownRequested(Event):
    """A graceful shutdown of the process was requested."""


@attrs.frozen
class CallReceived(Event):
    """A complete HTTP request from a caller or from the local backend server.

    Parameters
    ----------
    exchange : int
        Identifier of the HTTP exchange, used in the reply.
    method, path : str
        Method and target of the request line.
    headers : dict of str to str
        Header names are lower case.
    body : bytes
        Complete request body.
    peer : str
        Socket address of the caller.
    """

    exchange: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: str


@attrs.frozen
class CallerGone(Event):
    """A caller closed its connection before the reply was sent."""

    exchange: int


@attrs.frozen
class MessageReceived(Event):
    """A message arrived on a link; `peer` is the link address of the sender."""

    peer: str
    message: Message


@attrs.frozen
class LinkUp(Event):
    """A link is open and both sides have proved possession of the fleet secret."""

    peer: str
    name: str
    incarnation: int


@attrs.frozen
class LinkDown(Event):
    """A link was lost or could not be opened; messages sent on it may not have arrived.

    Parameters
    ----------
    peer : str
        Link address.
    is_refused : bool
        Whether the connection was refused, so that nothing listens at the address.
    """

    peer: str
    is_refused: bool


@attrs.frozen
class SendFailed(Event):
    """A message was never written to a link, so no part of it reached the receiver."""

    peer: str
    message: Message


@attrs.frozen
class RunAnswered(Event):
    """The local backend server sent a complete answer to a run."""

    run: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class RunFailed(Event):
    """A run ended without a complete answer.

    Parameters
    ----------
    run : int
        Identifier of the run.
    was_sent : bool
        Whether any byte of the request may have been written.
    detail : str
        Cause of the failure.
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
        Identifier given in `StoreCall`.
    result : Result
        The store's answer or a `StoreError`.
    """

    call: int
    result: Result[StoreResult, StoreError]


@attrs.frozen
class OperatorCallReceived(Event):
    """An authenticated request to the operator API.

    Parameters
    ----------
    exchange : int
        Identifier of the exchange, used in the reply.
    request : object
        Typed request of the operator API.
    """

    exchange: int
    request: Any
