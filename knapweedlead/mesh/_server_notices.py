"""What a backend server states about itself in its answers."""

import math

import attrs


@attrs.frozen
class ServerNotice:
    """Statement of a backend server in one of its answers.

    Parameters
    ----------
    rate_limit : float or None
        Calls per second that the server accepts from all callers together; infinite
        if it states no limit, None if the stated limit could not be decoded.
    is_leaving : bool
        Whether the server leaves and must receive no more calls.
    """

    rate_limit: float | None = math.inf
    is_leaving: bool = False
