"""Frames between daemons: their kinds and their fields."""

import enum
import zlib
from functools import lru_cache
from typing import Any

import attrs

from knapweedlead.mesh import (
    EntryCall,
    Failure,
    FleetChange,
    FleetState,
    Member,
    Reason,
    RouteDemand,
    ServerState,
)


class FrameKind(enum.IntEnum):
    """First field of each frame."""

    CALL = 1
    CANCEL = 2
    ASK = 3
    ANSWER = 4
    FAILURE = 5
    STATE = 6
    WANT_FLEET_STATE = 7
    FLEET_STATE = 8
    WANT_TOKENS = 9
    TOKENS = 10
    DEMAND = 11
    FLEET_CHANGE = 12


def call_frame(call: EntryCall, remaining: float) -> list[Any]:
    """Return the frame that passes a call to the daemon beside its server."""
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


def failure_of(frame: list[Any]) -> Failure:
    """Return the failure in a frame; an unknown reason counts as a failed run."""
    _, _, reason, may_have_run, was_sent, retry_after = frame[:6]
    try:
        known = Reason(reason)
    except ValueError:
        return Failure(Reason.FAILED, True, True)
    return Failure(known, bool(may_have_run), bool(was_sent), float(retry_after))


@attrs.frozen
class PeerState:
    """What a daemon tells on its links.

    Parameters
    ----------
    asked_at : float
        Time in the last question of the receiver; 0.0 before there was one.
    lead : float
        Seconds from that question's arrival to the last confirmation of the
        sender's configuration.
    revision : int
        Of the sender's fleet state.
    is_watching : bool
        Whether the sender watches the store.
    server : ServerState
        Of the backend server beside the sender.
    """

    asked_at: float
    lead: float
    revision: int
    is_watching: bool
    server: ServerState

    def frame(self) -> list[Any]:
        """Return the frame."""
        return [
            FrameKind.STATE.value,
            self.asked_at,
            self.lead,
            self.revision,
            self.is_watching,
            *attrs.astuple(self.server),
        ]

    @classmethod
    def of(cls, frame: list[Any]) -> "PeerState":
        """Return the state in a frame."""
        asked_at, lead, revision, is_watching = frame[1:5]
        return cls(asked_at, lead, revision, is_watching, ServerState(*frame[5:]))


def fleet_frame(state: FleetState, known_configuration: int) -> list[Any]:
    """Return the frame with a fleet state.

    Parameters
    ----------
    state : FleetState
    known_configuration : int
        Revision of the receiver's configuration, which is left out if it is the
        newest.
    """
    is_known = state.configuration_revision == known_configuration
    return [
        FrameKind.FLEET_STATE.value,
        state.revision,
        state.configuration_revision,
        b"" if is_known else _packed(state.configuration),
        sorted(state.evacuated),
        [list(attrs.astuple(member)) for member in state.member_by_name.values()],
    ]


@lru_cache(maxsize=4)
def _packed(configuration: bytes) -> bytes:
    """Return a configuration compressed; each version is sent to many peers."""
    return zlib.compress(configuration)


def fleet_state_of(frame: list[Any], known: FleetState) -> FleetState:
    """Return the fleet state in a frame, completed by what the receiver knows."""
    _, revision, configuration_revision, packed, evacuated, rows = frame
    is_known = configuration_revision == known.configuration_revision
    members = [Member(*row) for row in rows]
    return FleetState(
        revision=revision,
        configuration=known.configuration if is_known else zlib.decompress(packed),
        configuration_revision=configuration_revision,
        evacuated=frozenset(evacuated),
        member_by_name={member.name: member for member in members},
    )


def change_frame(base: int, change: FleetChange) -> list[Any]:
    """Return the frame with changes after a revision; a configuration is left out."""
    return [
        FrameKind.FLEET_CHANGE.value,
        base,
        change.revision,
        change.configuration_revision,
        change.evacuated,
        change.returned,
        [list(attrs.astuple(member)) for member in change.joined],
        change.left,
    ]


def change_of(frame: list[Any]) -> tuple[int, FleetChange]:
    """Return the revision after which the changes of a frame hold, and the changes."""
    _, base, revision, configuration_revision, evacuated, returned, rows, left = frame
    change = FleetChange(
        revision=revision,
        configuration_revision=configuration_revision,
        evacuated=tuple(evacuated),
        returned=tuple(returned),
        joined=tuple(Member(*row) for row in rows),
        left=tuple(left),
    )
    return base, change


def demand_frame(
    rows: dict[str, RouteDemand], demand_by_service: dict[str, float]
) -> list[Any]:
    """Return the frame that tells what routes ask for and what callers ask for."""
    return [
        FrameKind.DEMAND.value,
        {route: [row.slot_time, row.ratio_by_child] for route, row in rows.items()},
        dict(demand_by_service),
    ]


def demand_of(
    frame: list[Any],
) -> tuple[dict[str, RouteDemand], dict[str, float]]:
    """Return what a demand frame tells."""
    _, rows, demand_by_service = frame
    return {route: RouteDemand(*row) for route, row in rows.items()}, demand_by_service
