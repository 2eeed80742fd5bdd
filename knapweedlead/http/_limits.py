"""Limits of callers' requests and connections."""

import attrs


@attrs.frozen
class HttpLimits:
    """Size and time limits of requests and connections.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of the header block and of the body.
    request_timeout : float
        Seconds allowed from the first byte of a request to its last.
    idle_timeout : float
        Seconds after which a connection without a request in flight, or whose
        caller does not read the responses, is closed.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    request_timeout: float = 30.0
    idle_timeout: float = 75.0
