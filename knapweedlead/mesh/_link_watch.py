"""Liveness of a link: when to question the peer, and when to doubt it."""

import enum

import attrs

ASK_PERIOD = 0.3
"""Seconds between looks at a link, and between questions while an answer is due."""
PROBES_PER_SECOND = 40.0
"""Questions on all idle links of a daemon together. With their answers they take some
10 KB/s, below the 15 KB/s that control may cost."""
SUSPECT_AFTER = 0.5
"""Seconds without an answer after which a link takes no new calls: two questions, and
a lost packet that is sent again."""
LOST_AFTER = 3.2
"""Seconds without an answer after which a link is dropped; longer than a lost packet
takes to be sent again twice."""
PAUSE_PERIODS = 3.0
"""Looks that have to be missed for this daemon to count as paused: what its peers
answered meanwhile is still unread, so their silence means nothing."""


class LinkStep(enum.Enum):
    """What to do about a link."""

    REST = "rest"
    ASK = "ask"
    SUSPECT = "suspect"
    DROP = "drop"


@attrs.define(eq=False)
class LinkWatch:
    """Decides when to question the peer of one link.

    A link on which answers are due, or whose peer confirms the configuration, is
    questioned at each look unless the peer was just heard. Idle links share a number
    of questions a second, so that the load does not grow with the size of the fleet.

    Attributes
    ----------
    heard_at : float
        Time at which anything came from the peer.
    unanswered_since : float or None
        Time of the first question since then.
    """

    heard_at: float
    unanswered_since: float | None = None
    _looked_at: float | None = None

    def heard(self, now: float) -> None:
        """Note that something came from the peer."""
        self.heard_at = now
        self.unanswered_since = None

    def asked(self, now: float) -> None:
        """Note a question."""
        if self.unanswered_since is None:
            self.unanswered_since = now

    def look(self, is_needed: bool, links: int, now: float) -> LinkStep:
        """Return what to do.

        Parameters
        ----------
        is_needed : bool
            Whether answers are due on the link, or confirmations.
        links : int
            Links of this daemon.
        now : float
        """
        looked_at, self._looked_at = self._looked_at, now
        if looked_at is not None and now - looked_at > PAUSE_PERIODS * ASK_PERIOD:
            self.heard_at = max(self.heard_at, now - ASK_PERIOD)
            self.unanswered_since = None
        if self.unanswered_since is not None:
            silence = now - self.unanswered_since
            if silence > LOST_AFTER:
                return LinkStep.DROP
            return LinkStep.SUSPECT if silence > SUSPECT_AFTER else LinkStep.ASK
        idle_period = max(ASK_PERIOD, links / PROBES_PER_SECOND)
        period = ASK_PERIOD / 2.0 if is_needed else idle_period
        return LinkStep.ASK if now - self.heard_at >= period else LinkStep.REST
