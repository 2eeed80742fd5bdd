"""Connection to a silent peer on which the answers to calls are still awaited."""

from typing import Any

import attrs

from knapweedlead.mesh import Failure, Reason, Target
from knapweedlead.sidecar._frame_decoders import (
    FrameError,
    decode_answer,
    decode_failure,
    decode_kind,
    decode_load,
    decode_number,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._link_host import LinkHost
from knapweedlead.sidecar._wire import FrameKind

CALL_OUTCOMES = frozenset({FrameKind.ANSWER, FrameKind.FAILURE})
"""Kinds of frames that end an attempt; the second field is the number of the call."""


_ANSWER_LOAD = 5
_FAILURE_LOAD = 6
"""Positions of the load of the peer's server in the frames."""


def deliver_outcome(
    host: LinkHost, target: Target, frame: list[Any], now: float
) -> None:
    """Pass the outcome of an attempt at a target to the entry.

    An outcome that cannot be decoded ends the attempt as unknown.
    """
    number = decode_number(frame)
    is_answer = frame[0] == FrameKind.ANSWER
    try:
        target.apply_load(
            *decode_load(frame, _ANSWER_LOAD if is_answer else _FAILURE_LOAD)
        )
        if is_answer:
            answer, times = decode_answer(frame)
        else:
            failure = decode_failure(frame)
    except FrameError as error:
        host.record_bad_frame(target.name, error)
        is_answer, failure = False, Failure(Reason.BROKEN_ANSWER, True, True)
    if is_answer:
        host.entry.answered(number, answer, now, times)
    else:
        host.entry.failed(number, failure, now, target)


@attrs.define(eq=False)
class SilentConnection:
    """A connection that its link has replaced, kept for the answers to some calls.

    The peer may be paused or slow, and continue later. Calls that are not idempotent
    cannot be sent to another server, so that they wait for their answer until their
    deadline, or until the connection is lost.

    Parameters
    ----------
    host : LinkHost
    target : Target
    connection : FrameConnection
    numbers : set of int
        Numbers of the calls.
    """

    host: LinkHost
    target: Target
    connection: FrameConnection
    numbers: set[int]

    def __attrs_post_init__(self) -> None:
        self.connection.on_frame = self._on_frame
        self.connection.on_lost = self._on_lost

    @property
    def is_open(self) -> bool:
        """Whether an answer may still arrive."""
        return not self.connection.is_closed

    def tick(self) -> None:
        """Close the connection once no answer is awaited."""
        self.numbers.intersection_update(self.host.entry.call_by_number)
        if not self.numbers:
            self.connection.abort("no answer is awaited")

    def _on_frame(self, connection: FrameConnection, frame: list[Any]) -> None:
        try:
            if decode_kind(frame) in CALL_OUTCOMES:
                deliver_outcome(self.host, self.target, frame, self.host.clock())
                self.numbers.discard(frame[1])
                self.tick()
        except FrameError as error:
            self.host.record_bad_frame(self.target.name, error)
        except Exception as error:
            self.host.record_fault("link", error)
            connection.abort("frame that cannot be handled")

    def _on_lost(self, connection: FrameConnection, detail: str) -> None:
        numbers, self.numbers = self.numbers, set()
        self.host.entry.attempts_lost(numbers, self.target, self.host.clock())
