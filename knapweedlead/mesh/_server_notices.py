"""What a backend server states about itself in its answers."""

import attrs


@attrs.frozen
class ServerNotice:
    """Statement of a backend server in one of its answers.

    Parameters
    ----------
    rate_limit : float or None
        Calls per second that the server accepts from all callers together; infinite
        if it has no limit, None if the answer does not tell.
    is_leaving : bool
        Whether the server leaves and must receive no more calls.
    """

    rate_limit: float | None = None
    is_leaving: bool = False


NO_NOTICE = ServerNotice()
