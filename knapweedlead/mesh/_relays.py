"""Selection of the daemons that watch the store for the whole fleet."""

import zlib
from collections.abc import Iterable

import attrs

RELAY_COUNT = 3
"""Daemons that watch the store and forward its changes to the others over links. Two
of them may fail at the same time."""
DEFICIT_GRACE = 1.0
"""Seconds with too few relays after which another daemon starts to watch."""
MAX_UNCONFIRMED = 3.0
"""Seconds without a confirmation from a relay after which a daemon watches the store
itself. Covers two watch periods of a relay, two probes on a link and a slow reply."""


@attrs.frozen
class RelayPeer:
    """A reachable daemon, and whether it watches the store."""

    name: str
    is_watching: bool


class RelayChoice:
    """Decides whether this daemon watches the store.

    The relays are the first daemons in the order of a hash of their names. The order
    does not depend on location, so the loss of a data centre rarely removes all
    relays.

    Parameters
    ----------
    local_name : str
    """

    def __init__(self, local_name: str) -> None:
        self.local_name = local_name
        self._deficit_since: float | None = None

    def should_watch(
        self, peers: Iterable[RelayPeer], unconfirmed_for: float, now: float
    ) -> bool:
        """Return whether this daemon should watch the store.

        Parameters
        ----------
        peers : iterable of RelayPeer
            Reachable daemons.
        unconfirmed_for : float
            Seconds since the configuration was last confirmed.
        now : float
        """
        own_key = hash_order(self.local_name)
        preceding = [peer for peer in peers if hash_order(peer.name) < own_key]
        if sum(peer.is_watching for peer in preceding) >= RELAY_COUNT:
            self._deficit_since = None
            return unconfirmed_for > MAX_UNCONFIRMED
        if len(preceding) < RELAY_COUNT or unconfirmed_for > MAX_UNCONFIRMED:
            return True
        if self._deficit_since is None:
            self._deficit_since = now
        return now - self._deficit_since > DEFICIT_GRACE


def hash_order(name: str) -> tuple[int, str]:
    """Return a sort key that is unrelated to the location of a daemon."""
    return zlib.crc32(name.encode()), name
