"""Choice of the daemons that watch the store for the whole fleet."""

import zlib
from collections.abc import Iterable

import attrs

RELAY_COUNT = 3
"""Daemons that watch the store; the others learn from them over links. Two may be
lost at once."""
DEFICIT_GRACE = 1.0
"""Seconds for which too few relays are borne before another daemon watches."""
MAX_UNCONFIRMED = 3.0
"""Seconds without a confirmation from a relay after which a daemon asks the store
itself; a relay's watch twice, two questions on a link, and a slow answer."""


@attrs.frozen
class RelayPeer:
    """A daemon that can be reached, and whether it watches the store."""

    name: str
    is_watching: bool


class RelayChoice:
    """Decides whether this daemon watches the store.

    The daemons stand in an order that has nothing to do with where they are, so
    that the loss of a data centre rarely takes all relays.

    Parameters
    ----------
    own_name : str
    """

    def __init__(self, local_name: str) -> None:
        self.local_name = local_name
        self._deficit_since: float | None = None

    def should_watch(
        self, peers: Iterable[RelayPeer], unconfirmed_for: float, now: float
    ) -> bool:
        """Return whether to watch.

        Parameters
        ----------
        peers : iterable of RelayPeer
            Daemons that can be reached.
        unconfirmed_for : float
            Seconds since the configuration was last confirmed.
        now : float
        """
        own = _sort_key(self.local_name)
        before = [peer for peer in peers if _sort_key(peer.name) < own]
        if sum(peer.is_watching for peer in before) >= RELAY_COUNT:
            self._deficit_since = None
            return unconfirmed_for > MAX_UNCONFIRMED
        if len(before) < RELAY_COUNT or unconfirmed_for > MAX_UNCONFIRMED:
            return True
        if self._deficit_since is None:
            self._deficit_since = now
        return now - self._deficit_since > DEFICIT_GRACE


def _sort_key(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
