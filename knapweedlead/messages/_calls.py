"""Messages that carry calls between daemons (codes 10 to 19)."""

import attrs

from knapweedlead.messages._codec import message, nested


@nested
@attrs.frozen
class LoadReport:
    """State of a guard and its backend server, sent to entries with each answer.

    Parameters
    ----------
    limit : int
        Current concurrency limit, in calls.
    in_flight : int
        Calls that the backend server is processing.
    queued : int
        Calls waiting in the guard's queue.
    refused_priority : int
        Calls of this priority and of less important ones (higher numbers) are
        refused; `NO_PRIORITY_REFUSED` when none are.
    is_cold : bool
        Whether the backend server is in its cold start.
    is_draining : bool
        Whether the backend server is draining and accepts no new calls.
    """

    limit: int
    in_flight: int
    queued: int
    refused_priority: int
    is_cold: bool
    is_draining: bool


@message(10)
@attrs.frozen
class CallRequest:
    """A call that an entry sends to the guard of a backend server.

    Parameters
    ----------
    request_id : bytes
        16-byte identifier of the caller's request, shared by its whole call tree.
    call_id : int
        Identifier of the call at the sending daemon.
    attempt : int
        Attempt number, from 1; identifies one exchange together with `call_id`.
    account, route, service : str
        Names of the client account, the route and the target service.
    priority : int
        Priority; 0 is the most important.
    deadline_ms : int
        Milliseconds left until the deadline when the message was sent.
    retry_credits : int
        Retries that the callee and its own calls may use in total.
    hops : int
        Depth of this call in the call tree.
    is_idempotent : bool
        Whether the call may be executed more than once.
    idempotency_key : str
        Idempotency key of the caller; empty if the caller sent none.
    method, path : str
        Method and target of the HTTP request to the backend server.
    headers : dict of str to str
        Forwarded request headers; names are lower case.
    body : bytes
        Complete request body.
    revision : int
        Revision of the configuration under which the sender admitted the call.
    is_forwarded : bool
        Whether the receiver is in another data centre than the sending entry.
    """

    request_id: bytes
    call_id: int
    attempt: int
    account: str
    route: str
    service: str
    priority: int
    deadline_ms: int
    retry_credits: int
    hops: int
    is_idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    revision: int
    is_forwarded: bool


@message(11)
@attrs.frozen
class CallAnswer:
    """The complete answer of a backend server.

    Parameters
    ----------
    request_id : bytes
        As in the request.
    call_id, attempt : int
        As in the request.
    status : int
        HTTP status.
    headers : dict of str to str
        Forwarded response headers; names are lower case.
    body : bytes
        Complete response body.
    digest : bytes
        xxh3-64 of the body, 8 bytes.
    unused_credits : int
        Unused retry credits, returned to the sender of the call.
    load : LoadReport
        State of the guard at the time of the answer.
    """

    request_id: bytes
    call_id: int
    attempt: int
    status: int
    headers: dict[str, str]
    body: bytes
    digest: bytes
    unused_credits: int
    load: LoadReport


@message(12)
@attrs.frozen
class CallRefusal:
    """A call that ended without an answer of the backend server.

    Parameters
    ----------
    request_id : bytes
        As in the request.
    call_id, attempt : int
        As in the request.
    outcome : str
        ``not_run`` if the call was not executed, ``unknown`` if it may have been.
    reason : str
        Value of a `RefusalReason`.
    retry_after_ms : int
        Milliseconds after which a retry may succeed; 0 if unknown.
    unused_credits : int
        Unused retry credits, returned to the sender of the call.
    load : LoadReport
        State of the guard at the time of the refusal.
    """

    request_id: bytes
    call_id: int
    attempt: int
    outcome: str
    reason: str
    retry_after_ms: int
    unused_credits: int
    load: LoadReport


@message(13)
@attrs.frozen
class CallCancel:
    """Cancels an attempt whose answer the sender no longer needs."""

    request_id: bytes
    call_id: int
    attempt: int
