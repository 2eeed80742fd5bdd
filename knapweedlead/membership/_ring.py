"""Order of the members by hash: probe partners and relays."""

import bisect
import hashlib
from functools import lru_cache

FINGER_BASE = 2


@lru_cache(maxsize=8192)
def ring_position(name: str) -> int:
    """Return a member's place on the ring, of 63 bits."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


class Ring:
    """Names ordered by the hash of each.

    A member's fingers are those 1, 2, 4, 8, ... places behind it, so that each
    member is the finger of as many others as it has fingers.
    """

    def __init__(self) -> None:
        self._places: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._places)

    def add(self, name: str) -> None:
        """Add a name that is not on the ring."""
        bisect.insort(self._places, (ring_position(name), name))

    def remove(self, name: str) -> None:
        """Remove a name that is on the ring."""
        place = (ring_position(name), name)
        del self._places[bisect.bisect_left(self._places, place)]

    def fingers_of(self, name: str) -> list[str]:
        """Return the fingers of a name, nearest first."""
        count = len(self._places)
        start = bisect.bisect_left(self._places, (ring_position(name), name))
        has_name = start < count and self._places[start][1] == name
        # A name that is not on the ring has its successor at distance 1.
        origin = start if has_name else start - 1
        others = count - 1 if has_name else count
        distances = [FINGER_BASE**i for i in range(max(0, others).bit_length())]
        return [
            self._places[(origin + distance) % count][1]
            for distance in distances
            if distance <= others
        ]
