"""Idempotency keys that contain their creation time (UUIDv7)."""

import random
import uuid

_MS_PER_S = 1000
_TIMESTAMP_SHIFT = 80
_VERSION = 7
_VARIANT = 0b10


def make_idempotency_key(wall_time: float, rng: random.Random) -> str:
    """Return a UUIDv7 as text.

    Parameters
    ----------
    wall_time : float
        Creation time, in seconds since the Unix epoch.
    rng : random.Random
        Source of the random bits.
    """
    milliseconds = int(wall_time * _MS_PER_S) & (2**48 - 1)
    value = milliseconds << _TIMESTAMP_SHIFT
    value |= _VERSION << 76
    value |= rng.getrandbits(12) << 64
    value |= _VARIANT << 62
    value |= rng.getrandbits(62)
    return str(uuid.UUID(int=value))
