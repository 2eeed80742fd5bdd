"""Which calls a daemon still accepts during a planned stop."""

import attrs

ACCEPT_TIME = 2.5
"""Seconds for which a stopping daemon accepts all calls: two failed readiness probes,
one second apart, after which callers go elsewhere, and some time for the last one."""
MAX_ACCEPT_SHARE = 0.5
"""Largest fraction of the shutdown time for which all calls are accepted; the rest is
left for their answers."""


@attrs.frozen
class StopSchedule:
    """Times of a planned stop.

    Calls keep arriving on open connections, and from the local backend server, until
    the process is gone. Later in the stop, a call is accepted only if its deadline is
    before the time at which the daemon stops waiting for answers, so that it is either
    answered or refused as not run.

    Parameters
    ----------
    accept_until : float
        Time until which all calls are accepted.
    answer_until : float
        Time until which answers are awaited.
    """

    accept_until: float
    answer_until: float

    @classmethod
    def begin(
        cls, now: float, shutdown_time: float, answer_until: float
    ) -> "StopSchedule":
        """Return the schedule of a stop that begins now.

        Parameters
        ----------
        now : float
        shutdown_time : float
            Seconds until the process is killed.
        answer_until : float
            Time until which answers are awaited.
        """
        accept_time = min(ACCEPT_TIME, MAX_ACCEPT_SHARE * shutdown_time)
        return cls(now + accept_time, answer_until)

    def accepts(self, deadline: float, now: float) -> bool:
        """Return whether a call with a given deadline is accepted now."""
        return now <= self.accept_until or deadline <= self.answer_until
