"""Bytes that a daemon sends on links, by purpose and distance."""

from collections import Counter
from collections.abc import Callable

from knapweedlead.sidecar._wire import FrameKind

_PURPOSE_BY_KIND = {
    FrameKind.CALL: "call",
    FrameKind.CANCEL: "call",
    FrameKind.ANSWER: "answer",
    FrameKind.FAILURE: "answer",
    FrameKind.PROBE: "probe",
    FrameKind.STATE: "state",
    FrameKind.SERVER_DEPARTED: "state",
    FrameKind.FLEET_STATE_REQUEST: "configuration",
    FrameKind.FLEET_STATE: "configuration",
    FrameKind.FLEET_CHANGE: "configuration",
    FrameKind.TOKEN_REQUEST: "tokens",
    FrameKind.TOKEN_GRANT: "tokens",
    FrameKind.DEMAND_REPORT: "demand",
    FrameKind.DEMAND_PEER_SUM: "demand",
    FrameKind.DEMAND_FLEET_SUM: "demand",
    FrameKind.SERVER_ENDED: "quarantine",
    FrameKind.REQUESTS_COMPLETED: "quarantine",
    FrameKind.REQUESTS_QUARANTINED: "quarantine",
}

TrafficCount = Callable[[int, int], None]
"""Counts a frame of a kind and of a size in bytes."""


class LinkTraffic:
    """Frames and bytes sent, by purpose, to the own and to other data centres.

    Attributes
    ----------
    frames, bytes_sent : Counter
        By label: purpose, and ``same`` or ``other`` for the data centre.
    """

    def __init__(self) -> None:
        self.frames: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        self._count_by_scope = {
            is_remote: self._counting("other" if is_remote else "same")
            for is_remote in (False, True)
        }

    def by_scope(self, is_remote: bool) -> TrafficCount:
        """Return the function that counts frames to other or to the own data centre."""
        return self._count_by_scope[is_remote]

    def _counting(self, scope: str) -> TrafficCount:
        label_by_kind = {
            kind.value: f"{purpose},{scope}"
            for kind, purpose in _PURPOSE_BY_KIND.items()
        }

        def count(kind: int, size: int) -> None:
            label = label_by_kind[kind]
            self.frames[label] += 1
            self.bytes_sent[label] += size

        return count
