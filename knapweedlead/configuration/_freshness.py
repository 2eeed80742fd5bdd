"""Evidence that the revision in force is still the newest."""

import math

MAX_EVIDENCE_AGE_SECONDS = 6.0
"""Seconds after which evidence no longer lets a daemon serve."""


class Freshness:
    """Times up to which the revision in force was the newest, in seconds.

    Attributes
    ----------
    confirmed_at : float
        The store held no higher revision at this time.
    outage_at : float
        The store was out of reach from most data centres at this time, so that
        no change could be accepted there.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.outage_at = -math.inf
        self._cut_off_at_by_data_centre: dict[str, float] = {}

    def is_fresh(self, now: float) -> bool:
        """Return whether the revision in force may be served."""
        return now - max(self.confirmed_at, self.outage_at) <= MAX_EVIDENCE_AGE_SECONDS

    def confirm(self, time: float) -> None:
        """Record that the store held no higher revision at a time."""
        self.confirmed_at = max(self.confirmed_at, time)

    def record_outage(self, time: float) -> None:
        """Record that the store was out of reach from most data centres."""
        self.outage_at = max(self.outage_at, time)

    def record_cut_off(self, data_centre: str, time: float) -> None:
        """Record that a relay of a data centre did not reach the store."""
        self._cut_off_at_by_data_centre[data_centre] = time

    def detect_outage(self, data_centres: set[str]) -> None:
        """Conclude an outage where the relays of most data centres are cut off.

        Parameters
        ----------
        data_centres : set of str
            All data centres with members.
        """
        times = sorted(
            (
                time
                for name, time in self._cut_off_at_by_data_centre.items()
                if name in data_centres
            ),
            reverse=True,
        )
        majority = len(data_centres) // 2 + 1
        if len(times) >= majority:
            self.record_outage(times[majority - 1])
