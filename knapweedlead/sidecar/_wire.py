"""Encoding of the frames between daemons."""

import enum
import math
import zlib
from functools import lru_cache
from typing import Any

import attrs

from knapweedlead.mesh import (
    DemandSum,
    EntryCall,
    Failure,
    FleetChange,
    FleetState,
    Member,
    Reason,
    RouteDemand,
    ServerState,
)

_SERVER_FIELDS = len(attrs.fields(ServerState))
_MEMBER_FIELDS = len(attrs.fields(Member))


class FrameKind(enum.IntEnum):
    """Kind of a frame; the first field of each frame.

    Kind 11 was used by earlier versions. Unknown kinds are ignored, and so are fields
    that a later version appends to a frame.
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


def decode_failure(frame: list[Any]) -> Failure:
    """Return the failure in a frame; an unknown reason is decoded as a failed run."""
    _, _, reason, may_have_run, was_sent, retry_after = frame[:6]
    try:
        known = Reason(reason)
    except ValueError:
        return Failure(Reason.FAILED, True, True)
    return Failure(known, bool(may_have_run), bool(was_sent), float(retry_after))


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
    revision : int
        Revision of the sender's fleet state.
    is_watching : bool
        Whether the sender watches the store.
    server : ServerState
        State of the sender's local backend server.
    """

    requested_at: float
    lead: float
    revision: int
    is_watching: bool
    server: ServerState

    def to_frame(self) -> list[Any]:
        """Return the frame that carries this state."""
        return [
            FrameKind.STATE.value,
            self.requested_at,
            self.lead,
            self.revision,
            self.is_watching,
            *attrs.astuple(self.server),
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> "PeerState":
        """Return the state in a frame."""
        requested_at, lead, revision, is_watching = frame[1:5]
        server = ServerState(*frame[5 : 5 + _SERVER_FIELDS])
        return cls(requested_at, lead, revision, is_watching, server)


def fleet_state_frame(state: FleetState, known_configuration: int) -> list[Any]:
    """Return the frame with a fleet state.

    Parameters
    ----------
    state : FleetState
    known_configuration : int
        Revision of the receiver's configuration; the configuration is left out of
        the frame if `state` has the same revision of the configuration.
    """
    is_known = state.configuration_revision == known_configuration
    return [
        FrameKind.FLEET_STATE.value,
        state.revision,
        state.configuration_revision,
        b"" if is_known else _compressed(state.configuration),
        sorted(state.evacuated),
        [list(attrs.astuple(member)) for member in state.member_by_name.values()],
    ]


@lru_cache(maxsize=4)
def _compressed(configuration: bytes) -> bytes:
    """Compress a configuration; cached, since each version is sent to many peers."""
    return zlib.compress(configuration)


def decode_fleet_state(frame: list[Any], known: FleetState) -> FleetState:
    """Return the fleet state in a frame.

    The configuration is copied from `known` if `known` has the same revision of the
    configuration; the frame may then leave the configuration out.
    """
    revision, configuration_revision, compressed, evacuated, rows = frame[1:6]
    is_known = configuration_revision == known.configuration_revision
    members = [Member(*row[:_MEMBER_FIELDS]) for row in rows]
    return FleetState(
        revision=revision,
        configuration=known.configuration if is_known else zlib.decompress(compressed),
        configuration_revision=configuration_revision,
        evacuated=frozenset(evacuated),
        member_by_name={member.name: member for member in members},
    )


def change_frame(base: int, change: FleetChange) -> list[Any]:
    """Return the frame with changes after revision `base`.

    A changed configuration is not part of the frame, only its revision.
    """
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


def decode_change(frame: list[Any]) -> tuple[int, FleetChange]:
    """Return the base revision of the changes in a frame, and the changes."""
    base, revision, configuration_revision, evacuated, returned, rows, left = frame[1:8]
    change = FleetChange(
        revision=revision,
        configuration_revision=configuration_revision,
        evacuated=tuple(evacuated),
        returned=tuple(returned),
        joined=tuple(Member(*row[:_MEMBER_FIELDS]) for row in rows),
        left=tuple(left),
    )
    return base, change


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


def decode_demand(frame: list[Any]) -> tuple[str, DemandSum]:
    """Return the sender and the sum of demands in a frame.

    Raises
    ------
    ValueError
        If a number is negative or not finite.
    """
    sender, demand_by_service, rows = frame[1:4]
    estimate_by_route = {}
    weight_by_route = {}
    for route, row in rows.items():
        slot_time, ratio_by_child, weight = row[:3]
        ratios = {child: _amount(ratio) for child, ratio in ratio_by_child.items()}
        estimate_by_route[route] = RouteDemand(_amount(slot_time), ratios)
        weight_by_route[route] = _amount(weight)
    demand = {service: _amount(slots) for service, slots in demand_by_service.items()}
    return str(sender), DemandSum(demand, estimate_by_route, weight_by_route)


def _amount(value: Any) -> float:
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"expected a finite number of at least 0, got {value!r}")
    return amount
