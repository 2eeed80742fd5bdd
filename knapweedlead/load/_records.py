"""Records of the calls of a load run."""

import attrs

OUTCOME_ANSWERED = "answered"
OUTCOME_FAILED = "failed"
OUTCOME_NOT_SENT = "not_sent"


@attrs.define
class CallRecord:
    """Call of a stream, including all its attempts.

    Parameters
    ----------
    stream : str
        Name of the stream.
    started_at : float
        Arrival time, in seconds since the start of the run.
    latency : float
        Seconds from arrival to the end of the last attempt.
    status : int
        HTTP status of the last attempt; 0 if there was no response.
    outcome : str
        ``answered``, ``failed``, ``not_sent``, the reason of a refusal, or
        ``status_N`` for an error response without a reason.
    retries : int
        Attempts after the first.
    cuts : int
        Attempts that were sent but lost their connection before a response.
    """

    stream: str
    started_at: float
    latency: float = 0.0
    status: int = 0
    outcome: str = OUTCOME_FAILED
    retries: int = 0
    cuts: int = 0
