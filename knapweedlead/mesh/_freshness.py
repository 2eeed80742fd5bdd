"""Time since the daemon's configuration was last confirmed to be the newest one."""

import math

import attrs


@attrs.define(eq=False)
class Freshness:
    """Time at which the active configuration was last confirmed.

    A confirmation counts from the time at which it was requested, not from the
    time at which it arrived.
    """

    confirmed_at: float = -math.inf

    def confirm(self, requested_at: float) -> None:
        """Record that the store held no newer configuration at `requested_at`."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def confirm_by_peer(self, requested_at: float, lead: float) -> None:
        """Record the confirmation of a peer that has the same configuration.

        Parameters
        ----------
        requested_at : float
            Time at which this daemon sent its probe to the peer.
        lead : float
            Seconds from the arrival of the probe at the peer to the last confirmation
            of the peer's configuration; negative if the confirmation was earlier.
        """
        self.confirm(requested_at + min(lead, 0.0))

    def is_fresh(self, now: float, bound: float) -> bool:
        """Return whether the last confirmation is less than `bound` seconds old."""
        return now - self.confirmed_at < bound
