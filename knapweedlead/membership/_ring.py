"""Hash ring of the members; determines probe targets and relays."""

import bisect
import hashlib
from functools import lru_cache

FINGER_BASE = 2


@lru_cache(maxsize=8192)
def ring_position(name: str) -> int:
    """Return a member's position on the ring, a 63-bit hash of its name."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


class Ring:
    """Names ordered by their hash.

    A member's fingers are its successors at distances 1, 2, 4, 8, ..., so that
    each member is a finger of as many others as it has fingers.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, name: str) -> None:
        """Add a name that is not on the ring."""
        bisect.insort(self._entries, (ring_position(name), name))

    def remove(self, name: str) -> None:
        """Remove a name that is on the ring."""
        entry = (ring_position(name), name)
        del self._entries[bisect.bisect_left(self._entries, entry)]

    def fingers_of(self, name: str) -> list[str]:
        """Return the fingers of a name, nearest first."""
        count = len(self._entries)
        start = bisect.bisect_left(self._entries, (ring_position(name), name))
        has_name = start < count and self._entries[start][1] == name
        # For a name not on the ring, its successor is at distance 1.
        origin = start if has_name else start - 1
        others = count - 1 if has_name else count
        distances = [FINGER_BASE**i for i in range(max(0, others).bit_length())]
        return [
            self._entries[(origin + distance) % count][1]
            for distance in distances
            if distance <= others
        ]
