"""HTTP headers that the layer reads, passes on or withholds."""

AUTHORIZATION = "authorization"
"""``Bearer KEY`` of a caller; never passed on."""
IDEMPOTENCY_KEY = "idempotency-key"
DEADLINE = "knapweedlead-deadline-ms"
"""Milliseconds left; lowered at each hop."""
PARENT = "knapweedlead-parent"
"""Token of the running call on whose behalf a child call is made."""
TRACEPARENT = "traceparent"

_WITHHELD = frozenset(
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


def passed_on(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without keys and hop-by-hop ones."""
    return {name: value for name, value in headers.items() if name not in _WITHHELD}
