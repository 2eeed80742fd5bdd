"""Times in idempotency keys."""

import uuid

_TIMED_VERSION = 7
_TIME_SHIFT = 80
_MS_PER_S = 1000


def minted_at(idempotency_key: str) -> float | None:
    """Return the Unix time in a UUIDv7 key, in seconds; None where it has none.

    Examples
    --------
    >>> minted_at("01890a5d-ac96-774b-bcce-b302099a8057")
    1688118045.846
    >>> minted_at("ticket-4711") is None
    True
    """
    try:
        value = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if value.version != _TIMED_VERSION:
        return None
    return (value.int >> _TIME_SHIFT) / _MS_PER_S
