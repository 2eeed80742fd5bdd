"""HTTP headers that are read, forwarded or removed."""

AUTHORIZATION = "authorization"
"""``Bearer KEY`` of a caller; never forwarded."""
IDEMPOTENCY_KEY = "idempotency-key"
DEADLINE = "knapweedlead-deadline-ms"
"""Remaining time in milliseconds; reduced at each hop."""
PARENT = "knapweedlead-parent"
"""Token of the running call that makes a child call."""
TRACEPARENT = "traceparent"

_NOT_FORWARDED = frozenset(
    {
        AUTHORIZATION,
        DEADLINE,
        PARENT,
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without credentials and hop-by-hop headers."""
    return {
        name: value for name, value in headers.items() if name not in _NOT_FORWARDED
    }
