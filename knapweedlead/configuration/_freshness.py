"""Evidence that the applied revision is the newest."""

import math

MAX_EVIDENCE_AGE_SECONDS = 6.0
"""Seconds for which evidence allows a daemon to serve its revision."""


class Freshness:
    """Tracks the latest times at which the applied revision was the newest.

    Attributes
    ----------
    confirmed_at : float
        Latest time, in seconds, at which the store held no higher revision.
    outage_at : float
        Latest time, in seconds, at which the store was unreachable from most
        data centres, so that no change could be accepted there.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.outage_at = -math.inf
        self._cut_off_at_by_data_centre: dict[str, float] = {}

    def is_fresh(self, now: float) -> bool:
        """Return whether the evidence allows serving the applied revision."""
        return now - max(self.confirmed_at, self.outage_at) <= MAX_EVIDENCE_AGE_SECONDS

    def confirm(self, time: float) -> None:
        """Record a time at which the store held no higher revision."""
        self.confirmed_at = max(self.confirmed_at, time)

    def record_outage(self, time: float) -> None:
        """Record a time at which most data centres could not reach the store."""
        self.outage_at = max(self.outage_at, time)

    def record_cut_off(self, data_centre: str, time: float) -> None:
        """Record a time at which a relay of a data centre could not reach the store."""
        self._cut_off_at_by_data_centre[data_centre] = time

    def detect_outage(self, data_centres: set[str]) -> None:
        """Record an outage if relays of most data centres have been cut off.

        Only the latest report of each data centre counts. The recorded time is the
        latest time since which a majority of data centres has sent such a report.

        Parameters
        ----------
        data_centres : set of str
            Names of all data centres with members.
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
