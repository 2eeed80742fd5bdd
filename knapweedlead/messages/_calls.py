"""Messages that carry calls between daemons (codes 10 to 19)."""

import attrs

from knapweedlead.messages._codec import message, nested


@nested
@attrs.frozen
class LoadReport:
    """What a guard tells entries about its backend server on each answer.

    Parameters
    ----------
    limit : int
        Concurrency limit in force, in calls.
    in_flight : int
        Calls running on the backend server.
    queued : int
        Calls waiting in the guard's queue.
    refused_priority : int
        Calls of this priority or a less important one (a higher number) are
        being refused; `NO_PRIORITY_REFUSED` when none is.
    is_cold : bool
        Whether the backend server is in its cold start.
    is_draining : bool
        Whether the backend server takes no new work.
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
    """A call sent by an entry to the daemon beside a backend server.

    Parameters
    ----------
    request_id : bytes
        16 bytes naming the caller's request; the same over its whole tree.
    call_id : int
        Number of the call at the sending daemon.
    attempt : int
        Attempt number, from 1; with `call_id` it names one exchange.
    account, route, service : str
        Names of the client account, the route and the target service.
    priority : int
        0 is the most important.
    deadline_ms : int
        Milliseconds left when the message was sent.
    retry_credits : int
        Retries that the callee's subtree may spend.
    hops : int
        Calls above this one in the tree.
    is_idempotent : bool
        Whether the call may run more than once.
    idempotency_key : str
        The caller's key, empty where there is none.
    method, path : str
        Of the HTTP request towards the backend server.
    headers : dict of str to str
        Headers passed through, lower-case names.
    body : bytes
        The whole request body.
    revision : int
        Configuration revision under which the sender admitted the call.
    is_forwarded : bool
        Whether the call has left the data centre of its first entry.
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
    """The whole answer of a backend server.

    Parameters
    ----------
    request_id : bytes
        As in the request.
    call_id, attempt : int
        As in the request.
    status : int
        HTTP status.
    headers : dict of str to str
        Headers passed back, lower-case names.
    body : bytes
        The whole answer body.
    digest : bytes
        xxh3-64 of the body, 8 bytes.
    unused_credits : int
        Retry credits that come back.
    load : LoadReport
        State of the guard when it answered.
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
    """A call that has no answer.

    Parameters
    ----------
    request_id : bytes
        As in the request.
    call_id, attempt : int
        As in the request.
    outcome : str
        ``not_run`` or ``unknown``.
    reason : str
        A `RefusalReason` value.
    retry_after_ms : int
        Milliseconds after which a retry may succeed; 0 where nothing is known.
    unused_credits : int
        Retry credits that come back.
    load : LoadReport
        State of the guard when it refused.
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
    """The sender no longer wants the answer of a call."""

    request_id: bytes
    call_id: int
    attempt: int
