"""How long ago this daemon knew that its configuration was the newest one."""

import math

import attrs


@attrs.define(eq=False)
class Freshness:
    """Time at which the configuration in force was last confirmed.

    A confirmation counts from the time at which it was asked for, not from the
    time at which it came.
    """

    confirmed_at: float = -math.inf

    def confirm(self, asked_at: float) -> None:
        """Note that the store, asked at a time, knew nothing newer."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def confirm_by_peer(self, asked_at: float, lead: float) -> None:
        """Note what a peer with the same configuration has confirmed.

        Parameters
        ----------
        asked_at : float
            Time at which this daemon sent its question.
        lead : float
            Seconds from the arrival of the question at the peer to the peer's own
            confirmation; negative where that came before.
        """
        self.confirm(asked_at + min(lead, 0.0))

    def is_fresh(self, now: float, bound: float) -> bool:
        """Return whether the last confirmation is younger than a bound in seconds."""
        return now - self.confirmed_at < bound
