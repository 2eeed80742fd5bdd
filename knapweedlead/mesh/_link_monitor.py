"""Liveness of a link: when to probe the peer, and when to suspect or drop it."""

import enum

import attrs

PROBE_PERIOD = 0.3
"""Seconds between evaluations of a link, and between probes while a reply is due."""
PROBES_PER_SECOND = 40.0
"""Probes per second on all idle links of a daemon together. With their replies they use
about 10 KB/s, below the limit of 15 KB/s for control traffic."""
CONFIRMATION_PROBES_PER_SECOND = 250.0
"""Probes per second that one relay receives from the daemons whose configuration it
confirms, in a fleet in which each of them probes less often for that reason."""
MAX_CONFIRMATION_PERIOD = 0.75
"""Longest interval, in seconds, between probes of a relay; a quarter of the time after
which a daemon without a confirmation watches the store itself."""
SUSPECT_AFTER = 0.5
"""Seconds without a reply after which a link receives no new calls: two probes and the
retransmission of a lost packet."""
LOST_AFTER = 3.2
"""Seconds without a reply after which a link is dropped; longer than two
retransmissions of a lost packet."""
PAUSE_PERIODS = 3.0
"""Evaluation periods without an evaluation after which this daemon counts as paused.
Replies that arrived during the pause are still unread, so their absence is not
evidence that the peers are unresponsive."""


class LinkAction(enum.Enum):
    """Result of one evaluation of a link by `LinkMonitor`."""

    IDLE = "rest"
    PROBE = "ask"
    SUSPECT = "suspect"
    DROP = "drop"


@attrs.define(eq=False)
class LinkMonitor:
    """Decides when to probe the peer of one link, and when to suspect or drop it.

    A link on which replies are due is probed at each evaluation unless a message has
    just been received. Idle links share a fixed rate of probes, so that the load does
    not grow with the size of the fleet. A peer that confirms the configuration is
    probed less often in a large fleet, but several times within the time limit of a
    confirmation.

    Attributes
    ----------
    received_at : float
        Time at which the last message from the peer was received.
    unanswered_since : float or None
        Time of the first probe since the last message; None if no probe was sent since.
    """

    received_at: float
    unanswered_since: float | None = None
    _evaluated_at: float | None = None

    def record_message(self, now: float) -> None:
        """Record that a message from the peer was received."""
        self.received_at = now
        self.unanswered_since = None

    def record_probe(self, now: float) -> None:
        """Record that a probe was sent."""
        if self.unanswered_since is None:
            self.unanswered_since = now

    def evaluate(
        self, is_needed: bool, links: int, now: float, is_confirming: bool = False
    ) -> LinkAction:
        """Return the action to take now; called every `PROBE_PERIOD` seconds.

        Parameters
        ----------
        is_needed : bool
            Whether replies are due on the link.
        links : int
            Number of links of this daemon.
        now : float
        is_confirming : bool
            Whether the peer confirms the configuration.
        """
        evaluated_at, self._evaluated_at = self._evaluated_at, now
        if (
            evaluated_at is not None
            and now - evaluated_at > PAUSE_PERIODS * PROBE_PERIOD
        ):
            self.received_at = max(self.received_at, now - PROBE_PERIOD)
            self.unanswered_since = None
        if self.unanswered_since is not None:
            silence = now - self.unanswered_since
            if silence > LOST_AFTER:
                return LinkAction.DROP
            return LinkAction.SUSPECT if silence > SUSPECT_AFTER else LinkAction.PROBE
        period = _probe_period(is_needed, is_confirming, links)
        return LinkAction.PROBE if now - self.received_at >= period else LinkAction.IDLE


def _probe_period(is_needed: bool, is_confirming: bool, links: int) -> float:
    """Return the seconds without a message after which a link is probed."""
    shortest = PROBE_PERIOD / 2.0
    if is_needed:
        return shortest
    if is_confirming:
        shared = links / CONFIRMATION_PROBES_PER_SECOND
        return max(shortest, min(MAX_CONFIRMATION_PERIOD, shared))
    return max(PROBE_PERIOD, links / PROBES_PER_SECOND)
