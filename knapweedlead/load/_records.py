"""What a load generator remembers of each call."""

import attrs

OUTCOME_ANSWERED = "answered"
OUTCOME_FAILED = "failed"
OUTCOME_NOT_SENT = "not_sent"


@attrs.define
class CallRecord:
    """One call of a stream, over all its attempts.

    Parameters
    ----------
    stream : str
        Name of the stream.
    started_at : float
        Seconds since the start of the run.
    latency : float
        Seconds from arrival to the last answer.
    status : int
        HTTP status of the last answer; 0 without one.
    outcome : str
        ``answered``, ``failed``, ``not_sent`` or the refusal's reason.
    retries : int
        Attempts beyond the first.
    cuts : int
        Attempts that were sent and lost their connection before an answer.
    """

    stream: str
    started_at: float
    latency: float = 0.0
    status: int = 0
    outcome: str = OUTCOME_FAILED
    retries: int = 0
    cuts: int = 0
