"""A link on which calls go to another daemon and answers come back."""

import asyncio
from typing import Any

import attrs

from knapweedlead.http import split_address
from knapweedlead.mesh import (
    AttemptTimes,
    EntryCall,
    LinkAction,
    LinkMonitor,
    Member,
    RouteDemand,
    ServerAnswer,
    Target,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._link_host import LinkHost
from knapweedlead.sidecar._wire import (
    FrameKind,
    PeerState,
    call_frame,
    change_of,
    demand_of,
    failure_of,
    fleet_state_of,
)

CONNECT_TIMEOUT = 1.0
"""Seconds for opening a link."""
RECONNECT_PAUSE = 0.25
"""Seconds between tries to open a link."""


@attrs.define(eq=False)
class OutgoingLink:
    """A link on which calls go to a peer and answers come back.

    It is the channel of the peer's target.
    """

    host: LinkHost
    member: Member
    target: Target = None  # type: ignore[assignment]
    connection: FrameConnection | None = None
    opening: asyncio.Task[None] | None = None
    watch: LinkMonitor = attrs.field(factory=lambda: LinkMonitor(0.0))
    retry_at: float = 0.0
    is_removed: bool = False
    is_watching: bool = False
    rows: dict[str, RouteDemand] = attrs.field(factory=dict)
    demand_by_service: dict[str, float] = attrs.field(factory=dict)
    _awaited: set[int] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """Name of the peer."""
        return self.member.name

    def tick(self, links: int, now: float) -> None:
        """Open, question or drop the link, one of so many."""
        if self.connection is None:
            if self.opening is None and now >= self.retry_at:
                self.opening = asyncio.ensure_future(self._open())
            return
        is_needed = bool(self._awaited) or self.is_watching or not self.target.is_up
        step = self.watch.evaluate(is_needed, links, now)
        if step is LinkAction.DROP:
            self.connection.abort("silent")
            return
        if step is LinkAction.SUSPECT and self.target.is_up:
            self.target.is_up = False
            self.host.link_changed(self.member.name, False, "silent")
            self.host.entry.target_suspected(self.target, now)
        if step is not LinkAction.IDLE:
            self._ask(self.connection, now)

    def _ask(self, connection: FrameConnection, now: float) -> None:
        self.watch.record_probe(now)
        connection.send([FrameKind.ASK.value, now])

    async def _open(self) -> None:
        host, port = split_address(self.member.link_address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(
                    lambda: FrameConnection(self._on_frame, self._on_lost, self._made),
                    host,
                    port,
                )
        except (OSError, TimeoutError):
            self.retry_at = self.host.clock() + RECONNECT_PAUSE
        finally:
            self.opening = None

    def _made(self, connection: FrameConnection) -> None:
        if self.is_removed:
            connection.abort("removed")
            return
        self.connection = connection
        now = self.host.clock()
        self.watch = LinkMonitor(now)
        self._ask(connection, now)

    def _on_lost(self, connection: FrameConnection, detail: str) -> None:
        if self.connection is not connection:
            return
        now = self.host.clock()
        self.connection = None
        self._awaited.clear()
        self.retry_at = now + RECONNECT_PAUSE
        self.target.is_up = False
        self.host.link_changed(self.member.name, False, detail)
        self.host.entry.target_lost(self.target, now)

    def close(self) -> None:
        """Drop the link for good."""
        self.is_removed = True
        if self.connection is not None:
            self.connection.abort("removed")

    def send_call(self, call: EntryCall, remaining: float) -> None:
        """Pass a call to the peer."""
        assert self.connection is not None
        self._awaited.add(call.number)
        self.connection.send(call_frame(call, remaining))

    def cancel_call(self, call: EntryCall) -> None:
        """Tell the peer that nobody waits for a call."""
        self._awaited.discard(call.number)
        if self.connection is not None:
            self.connection.send([FrameKind.CANCEL.value, call.number])

    def _on_frame(self, connection: FrameConnection, frame: list[Any]) -> None:
        now = self.host.clock()
        self.watch.record_message(now)
        kind = frame[0]
        if kind == FrameKind.ANSWER:
            _, number, status, headers, body, running, queued, waited, ran = frame
            self._awaited.discard(number)
            self.target.apply_load(running, queued)
            answer = ServerAnswer(status, headers, body)
            times = AttemptTimes(waited, ran)
            self.host.entry.answered(number, answer, now, times)
        elif kind == FrameKind.FAILURE:
            self._awaited.discard(frame[1])
            self.target.apply_load(frame[6], frame[7])
            self.host.entry.failed(frame[1], failure_of(frame), now, self.target)
        elif kind == FrameKind.STATE:
            self._take_state(PeerState.of(frame))
        elif kind == FrameKind.FLEET_STATE:
            state = fleet_state_of(frame, self.host.fleet.state)
            self.host.fleet.take_state(state, self.member.name)
        elif kind == FrameKind.FLEET_CHANGE:
            base, change = change_of(frame)
            if self.host.fleet.take_peer_change(base, change, self.member.name):
                self._want_fleet_state()
        elif kind == FrameKind.DEMAND:
            rows, self.demand_by_service = demand_of(frame)
            self.rows = rows or self.rows
        elif kind == FrameKind.TOKENS:
            self.host.take_tokens(*frame[1:])

    def _take_state(self, state: PeerState) -> None:
        if not self.target.is_up:
            self.target.is_up = True
            self.host.link_changed(self.member.name, True, "")
        self.is_watching = state.is_watching
        self.target.apply_state(state.server)
        if self.host.fleet.take_peer_state(state):
            self._want_fleet_state()

    def _want_fleet_state(self) -> None:
        assert self.connection is not None
        known = self.host.fleet.state.configuration_revision
        self.connection.send([FrameKind.WANT_FLEET_STATE.value, known])

    def request_tokens(self, account: str, wanted: int, is_important: bool) -> None:
        """Ask the peer for tokens of an account."""
        assert self.connection is not None
        frame = [FrameKind.WANT_TOKENS.value, account, wanted, is_important]
        self.connection.send(frame)
