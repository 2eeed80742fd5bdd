"""Creation times in idempotency keys."""

import uuid

_UUID_VERSION = 7
_TIME_SHIFT = 80
_MS_PER_S = 1000


def key_creation_time(idempotency_key: str) -> float | None:
    """Return the Unix time of a UUIDv7 key in seconds, or None for other keys.

    Examples
    --------
    >>> key_creation_time("01890a5d-ac96-774b-bcce-b302099a8057")
    1688118045.846
    >>> key_creation_time("ticket-4711") is None
    True
    """
    try:
        value = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if value.version != _UUID_VERSION:
        return None
    return (value.int >> _TIME_SHIFT) / _MS_PER_S
