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
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without credentials and hop-by-hop headers.

    Hop-by-hop headers are also those that ``Connection`` names (RFC 9110, section
    7.6.1).
    """
    options = headers.get("connection", "").lower().split(",")
    dropped = _NOT_FORWARDED.union(map(str.strip, options))
    return {name: value for name, value in headers.items() if name not in dropped}
