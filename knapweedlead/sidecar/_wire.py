"""Frames between daemons: their kinds and their fields."""

import enum
from typing import Any

import attrs

from knapweedlead.mesh import EntryCall, Failure, OperatorState, Reason, ServerState


class FrameKind(enum.IntEnum):
    """First field of each frame."""

    CALL = 1
    CANCEL = 2
    ASK = 3
    ANSWER = 4
    FAILURE = 5
    STATE = 6
    WANT_OPERATOR_STATE = 7
    OPERATOR_STATE = 8
    WANT_TOKENS = 9
    TOKENS = 10


def call_frame(call: EntryCall, remaining: float) -> list[Any]:
    """Return the frame that passes a call to the daemon beside its server."""
    return [
        FrameKind.CALL.value,
        call.number,
        call.call.request_id,
        call.service,
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
        Of the sender's operator state.
    server : ServerState
        Of the backend server beside the sender.
    """

    asked_at: float
    lead: float
    revision: int
    server: ServerState

    def frame(self) -> list[Any]:
        """Return the frame."""
        head = [FrameKind.STATE.value, self.asked_at, self.lead, self.revision]
        return head + list(attrs.astuple(self.server))

    @classmethod
    def of(cls, frame: list[Any]) -> "PeerState":
        """Return the state in a frame."""
        return cls(frame[1], frame[2], frame[3], ServerState(*frame[4:]))


def operator_frame(state: OperatorState) -> list[Any]:
    """Return the frame with an operator state."""
    return [
        FrameKind.OPERATOR_STATE.value,
        state.revision,
        state.configuration,
        sorted(state.evacuated),
    ]


def operator_state_of(frame: list[Any]) -> OperatorState:
    """Return the operator state in a frame."""
    return OperatorState(frame[1], frame[2], frozenset(frame[3]))
