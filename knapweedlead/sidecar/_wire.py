"""Encoding of the frames between daemons."""

import enum
import zlib
from collections.abc import Iterable
from functools import lru_cache
from typing import Any

import attrs

from knapweedlead.mesh import (
    Announcement,
    Completion,
    DemandSum,
    DepartedStart,
    EntryCall,
    Failure,
    FleetChange,
    FleetState,
    Quarantined,
    ServerState,
)
from knapweedlead.positions import StorePosition


class FrameKind(enum.IntEnum):
    """Kind of a frame; the first field of each frame.

    Kind 11 was used by earlier versions. Unknown kinds are ignored, and so are fields
    that a later version appends to a frame. The eras of positions were appended so, and
    are 0 in the frames of earlier versions.
    """

    CALL = 1
    CANCEL = 2
    PROBE = 3
    ANSWER = 4
    FAILURE = 5
    STATE = 6
    FLEET_STATE_REQUEST = 7
    FLEET_STATE = 8
    TOKEN_REQUEST = 9
    TOKEN_GRANT = 10
    FLEET_CHANGE = 12
    DEMAND_REPORT = 13
    DEMAND_PEER_SUM = 14
    DEMAND_FLEET_SUM = 15
    SERVER_DEPARTED = 16
    SERVER_ENDED = 17
    REQUESTS_COMPLETED = 18
    REQUESTS_QUARANTINED = 19


def call_frame(call: EntryCall, remaining: float) -> list[Any]:
    """Return the frame that sends a call to the daemon of its target."""
    return [
        FrameKind.CALL.value,
        call.number,
        call.call.request_id,
        call.service,
        call.route.name,
        call.account_name,
        call.priority,
        call.route.is_idempotent,
        remaining,
        call.call.head,
        call.call.body,
        call.call.is_head_method,
    ]


def failure_frame(number: int, failure: Failure, load: tuple[int, int]) -> list[Any]:
    """Return the frame that reports an attempt without an answer."""
    return [
        FrameKind.FAILURE.value,
        number,
        failure.reason.value,
        failure.may_have_run,
        failure.was_sent,
        failure.retry_after,
        *load,
    ]


@attrs.frozen
class PeerState:
    """State that a daemon sends on its links.

    Parameters
    ----------
    requested_at : float
        Timestamp of the receiver's last probe, on the receiver's clock; 0.0 before
        the first probe.
    lead : float
        Seconds from the arrival of that probe to the last confirmation of the
        sender's configuration; negative if the confirmation came first.
    position : StorePosition
        Position of the sender's fleet state.
    is_watching : bool
        Whether the sender watches the store.
    server : ServerState
        State of the sender's local backend server.
    configuration_version : int
        Version of the configuration that the sender has in force; 0 if none.
    """

    requested_at: float
    lead: float
    position: StorePosition
    is_watching: bool
    server: ServerState
    configuration_version: int = 0

    def to_frame(self) -> list[Any]:
        """Return the frame that carries this state."""
        return [
            FrameKind.STATE.value,
            self.requested_at,
            self.lead,
            self.position.revision,
            self.is_watching,
            *attrs.astuple(self.server),
            self.position.era,
            self.configuration_version,
        ]


def fleet_state_frame(
    state: FleetState, known_configuration: StorePosition
) -> list[Any]:
    """Return the frame with a fleet state.

    Parameters
    ----------
    state : FleetState
    known_configuration : StorePosition
        Position of the receiver's configuration; the configuration is left out of
        the frame if `state` has the same position of the configuration.
    """
    is_known = state.configuration_position == known_configuration
    return [
        FrameKind.FLEET_STATE.value,
        state.position.revision,
        state.configuration_position.revision,
        b"" if is_known else _compressed(state.configuration),
        sorted(state.evacuated),
        [list(attrs.astuple(member)) for member in state.member_by_name.values()],
        state.position.era,
        state.configuration_position.era,
        sorted(state.known_names.difference(state.member_by_name)),
        _departure_rows(state.departure_by_key),
    ]


@lru_cache(maxsize=4)
def _compressed(configuration: bytes) -> bytes:
    """Compress a configuration; cached, since each version is sent to many peers."""
    return zlib.compress(configuration)


def change_frame(base: StorePosition, change: FleetChange) -> list[Any]:
    """Return the frame with changes after position `base`.

    A changed configuration is not part of the frame, only its position.
    """
    return [
        FrameKind.FLEET_CHANGE.value,
        base.revision,
        change.position.revision,
        change.configuration_position.revision,
        list(change.evacuated),
        list(change.returned),
        [list(attrs.astuple(member)) for member in change.joined],
        list(change.left),
        base.era,
        change.position.era,
        change.configuration_position.era,
        list(change.remembered),
        list(change.forgotten),
        _departure_rows(change.departed),
        list(change.dropped),
    ]


def _departure_rows(by_key: dict[str, DepartedStart]) -> list[list[Any]]:
    return [[key, *attrs.astuple(start)] for key, start in by_key.items()]


def demand_frame(kind: FrameKind, sender: str, part: DemandSum) -> list[Any]:
    """Return the frame of a demand kind that carries a sum of demands."""
    return [
        kind.value,
        sender,
        part.demand_by_service,
        {
            route: [estimate.slot_time, estimate.ratio_by_child, weight]
            for route, estimate in part.estimate_by_route.items()
            if (weight := part.weight_by_route.get(route, 0.0)) > 0.0
        },
    ]


def announcement_frame(announcement: Announcement) -> list[Any]:
    """Return the frame that tells peers about requests that may end servers."""
    if isinstance(announcement, Completion):
        kind = FrameKind.REQUESTS_COMPLETED.value
        return [kind, list(announcement.fingerprints)]
    runs = [list(attrs.astuple(run)) for run in announcement.runs]
    kind = FrameKind.SERVER_ENDED.value
    return [kind, announcement.instance, announcement.born, runs]


def quarantined_frame(requests: Iterable[Quarantined]) -> list[Any]:
    """Return the frame with the requests in quarantine."""
    rows = [[request.fingerprint, request.seconds] for request in requests]
    return [FrameKind.REQUESTS_QUARANTINED.value, rows]
