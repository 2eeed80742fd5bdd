"""Requests and answers in the form that the platform prescribes."""

import math
from functools import partial

from result import Err, Ok, Result

from knapweedlead.errors import CodecError
from knapweedlead.mesh import Call, ServerNotice

REQUEST_ID = "knapweedlead-request-id"
DEADLINE = "knapweedlead-deadline-ms"
EXPECT_INSTANCE = "knapweedlead-expect-instance"
TENANT = "knapweedlead-tenant"
CALLER_SERVICE = "knapweedlead-caller-service"
SEAL = "knapweedlead-response-seal"
NOT_EXECUTED = "knapweedlead-not-executed"
INSTANCE_ID = "knapweedlead-instance-id"
COLD = "knapweedlead-cold-ms"
SERVER_LIMIT = "server-limit"
SERVER_LEAVING = "server-leaving"

KEY_SCHEME = "token "
MISDIRECTED_STATUS = 421

_MS_PER_S = 1000.0

_DROPPED_REQUEST_HEADERS = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        TENANT,
        CALLER_SERVICE,
        SEAL,
        NOT_EXECUTED,
        INSTANCE_ID,
        "authorization",
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection, or that callers must not set."""

_DROPPED_ANSWER_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "trailer", "transfer-encoding"}
)


def decode_call(
    method: str, target: str, headers: dict[str, str], body: bytes, local_service: str
) -> Result[Call, CodecError]:
    """Decode a caller's request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The complete body.
    local_service : str
        Service on this machine, from which the request originates.
    """
    request_id = headers.get(REQUEST_ID, "")
    host = headers.get("host", "")
    if not request_id or not host or not target.startswith("/"):
        detail = f"expected a request id, a host and a path, got {method} {target!r}"
        return Err(CodecError("request.decode", headers.get("host", "-"), detail))
    return Ok(
        Call(
            request_id=request_id,
            host=host.partition(":")[0],
            path=target.partition("?")[0],
            caller_timeout=_parse_timeout(headers),
            key=_parse_key(headers),
            encode_head=partial(
                _encode_head, method, target, headers, len(body), local_service
            ),
            body=body,
            is_head_method=method == "HEAD",
        )
    )


def _encode_head(
    method: str, target: str, headers: dict[str, str], length: int, local_service: str
) -> bytes:
    """Return the request head for a backend server, up to the `CALLER_SERVICE` header.

    `server_request` adds the remaining headers.
    """
    connection_options = headers.get("connection", "").lower()
    hop_by_hop_names = (
        {name.strip() for name in connection_options.split(",")}
        if connection_options
        else ()
    )
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in headers.items()
        if name not in _DROPPED_REQUEST_HEADERS and name not in hop_by_hop_names
    ]
    if length or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {length}")
    lines.append(f"{CALLER_SERVICE}: {local_service}\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def _parse_timeout(headers: dict[str, str]) -> float:
    """Return the seconds that the caller waits; infinite if the request has no limit.

    The lowest of several limits holds. A limit that has passed is 0. An unreadable one
    is ignored, since the route has a limit of its own.
    """
    try:
        parts = headers[DEADLINE].split(",")
        timeout = min(float(part) for part in parts) / _MS_PER_S
    except (KeyError, ValueError):
        return math.inf
    return math.inf if math.isnan(timeout) else max(0.0, timeout)


def _parse_key(headers: dict[str, str]) -> str | None:
    authorization = headers.get("authorization", "")
    if authorization[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return authorization[len(KEY_SCHEME) :].strip()


def server_request(
    head: bytes, body: bytes, account: str, instance: str, remaining: float
) -> bytes:
    """Return a complete request for a backend server.

    Parameters
    ----------
    head, body : bytes
        Head and body of the decoded call.
    account : str
        Name of the client account; empty for none.
    instance : str
        Identifier of the start of the backend server that is to run the request.
    remaining : float
        Seconds until the deadline.
    """
    milliseconds = max(1, int(remaining * _MS_PER_S))
    lines = f"{DEADLINE}: {milliseconds}\r\n{EXPECT_INSTANCE}: {instance}\r\n"
    if account:
        lines += f"{TENANT}: {account}\r\n"
    return b"%s%s\r\n%s" % (head, lines.encode("latin-1"), body)


def answer_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a backend server's answer that are sent to the caller."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _DROPPED_ANSWER_HEADERS
    }


def decode_server_notice(headers: dict[str, str]) -> ServerNotice:
    """Decode what a backend server states about itself in the headers of an answer.

    Anything but ``0`` in the header of a leaving server means that it leaves. Of
    several limits, the lowest one holds. That there is no limit follows only from an
    answer that certainly comes from the server, to a request that it ran.
    """
    is_leaving = headers.get(SERVER_LEAVING, "0").strip() != "0"
    return ServerNotice(_decode_rate_limit(headers), is_leaving)


def _decode_rate_limit(headers: dict[str, str]) -> float | None:
    text = headers.get(SERVER_LIMIT)
    if text is None:
        has_run = is_sealed(headers) and not is_declined(headers)
        return math.inf if has_run else None
    try:
        limit = min(float(part) for part in text.split(","))
    except ValueError:
        return None
    return limit if 0.0 <= limit < math.inf else None


def is_misdirected(status: int) -> bool:
    """Return whether the request reached another start of the server than expected."""
    return status == MISDIRECTED_STATUS


def is_declined(headers: dict[str, str]) -> bool:
    """Return whether the backend server states that it did not run the request."""
    return NOT_EXECUTED in headers


def is_sealed(headers: dict[str, str]) -> bool:
    """Return whether an answer has the header by which a backend server signs it."""
    return SEAL in headers
