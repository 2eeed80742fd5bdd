"""A link on which calls are sent to another daemon."""

import asyncio
import itertools
from typing import Any

import attrs

from knapweedlead.http import split_address
from knapweedlead.mesh import (
    EntryCall,
    LinkAction,
    LinkMonitor,
    Member,
    ServerState,
    Target,
)
from knapweedlead.sidecar._frame_decoders import (
    FrameError,
    decode_change,
    decode_completion,
    decode_demand,
    decode_fleet_state,
    decode_kind,
    decode_number,
    decode_peer_state,
    decode_quarantined,
    decode_server_end,
    decode_token_grant,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._link_host import LinkHost
from knapweedlead.sidecar._silent_connection import (
    CALL_OUTCOMES,
    SilentConnection,
    deliver_outcome,
)
from knapweedlead.sidecar._wire import FrameKind, PeerState, call_frame

CONNECT_TIMEOUT = 1.0
"""Seconds until opening a link times out."""
RECONNECT_DELAY = 0.25
"""Seconds between attempts to open a link."""


@attrs.define(eq=False)
class OutgoingLink:
    """A link on which calls are sent to a peer; the channel of the peer's target."""

    host: LinkHost
    member: Member
    target: Target = None  # type: ignore[assignment]
    connection: FrameConnection | None = None
    opening: asyncio.Task[None] | None = None
    monitor: LinkMonitor = attrs.field(factory=lambda: LinkMonitor(0.0))
    reconnect_at: float = 0.0
    is_removed: bool = False
    is_watching: bool = False
    _pending_calls: set[int] = attrs.field(factory=set)
    _silent: list[SilentConnection] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Name of the peer."""
        return self.member.name

    def tick(self, links: int, now: float) -> None:
        """Open the link, probe the peer, or close the link, as needed.

        Parameters
        ----------
        links : int
            Number of outgoing links of this daemon.
        now : float
        """
        self._tick_silent()
        if self.connection is None:
            if self.opening is None and now >= self.reconnect_at:
                self.opening = asyncio.ensure_future(self._open())
            return
        is_needed = bool(self._pending_calls) or not self.target.is_up
        action = self.monitor.evaluate(is_needed, links, now, self.is_watching)
        if action is LinkAction.DROP:
            self._drop(self.connection)
            return
        if action is LinkAction.SUSPECT and self.target.is_up:
            self.target.is_up = False
            self.host.record_link_change(self.member.name, False, "silent")
            self.host.entry.target_suspected(self.target, now)
        if action is not LinkAction.IDLE:
            self._send_probe(self.connection, now)

    def _tick_silent(self) -> None:
        for silent in self._silent:
            silent.tick()
        self._silent = [silent for silent in self._silent if silent.is_open]

    def _drop(self, connection: FrameConnection) -> None:
        """Replace the connection to a silent peer.

        It is kept beside the new one while calls await answers on it that cannot be
        sent to another server.
        """
        entry = self.host.entry
        numbers = self._pending_calls & entry.unretryable_at(self.target)
        if not numbers:
            connection.abort("silent")
            return
        silent = SilentConnection(self.host, self.target, connection, numbers)
        self._silent.append(silent)
        self._on_lost(connection, "silent")

    @property
    def is_connected(self) -> bool:
        """Whether the peer may still send something."""
        return self.connection is not None or bool(self._silent)

    def _send_probe(self, connection: FrameConnection, now: float) -> None:
        self.monitor.record_probe(now)
        connection.send([FrameKind.PROBE.value, now])

    async def _open(self) -> None:
        host, port = split_address(self.member.link_address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(
                    lambda: FrameConnection(
                        self._on_frame, self._on_lost, self._on_open
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two are raised for an address that is none.
            if not isinstance(error, OSError):
                self.host.record_fault("link.open", error)
            self.reconnect_at = self.host.clock() + RECONNECT_DELAY
        finally:
            self.opening = None

    def _on_open(self, connection: FrameConnection) -> None:
        if self.is_removed:
            connection.abort("removed")
            return
        self.connection = connection
        now = self.host.clock()
        local = self.host.fleet.local_member
        is_remote = local.data_centre != self.member.data_centre
        connection.traffic = self.host.traffic.by_scope(is_remote)
        self.monitor = LinkMonitor(now)
        self.monitor.record_probe(now)
        connection.send([FrameKind.PROBE.value, now, local.name, local.data_centre])

    def _on_lost(self, connection: FrameConnection, detail: str) -> None:
        if self.connection is not connection:
            return
        now = self.host.clock()
        self.connection = None
        self._pending_calls.clear()
        self.reconnect_at = now + RECONNECT_DELAY
        self.target.is_up = False
        self.host.record_link_change(self.member.name, False, detail)
        awaited = set(itertools.chain(*(silent.numbers for silent in self._silent)))
        self.host.entry.target_lost(self.target, now, awaited)

    def close(self) -> None:
        """Close the link; it is not opened again."""
        self.is_removed = True
        for silent in self._silent:
            silent.connection.abort("removed")
        if self.connection is not None:
            self.connection.abort("removed")

    def send_call(self, call: EntryCall, remaining: float) -> None:
        """Send a call to the peer, `remaining` seconds before its deadline."""
        assert self.connection is not None
        self._pending_calls.add(call.number)
        self.connection.send(call_frame(call, remaining))

    def cancel_call(self, call: EntryCall) -> None:
        """Send a cancellation of a call to the peer."""
        self._pending_calls.discard(call.number)
        if self.connection is not None:
            self.connection.send([FrameKind.CANCEL.value, call.number])

    def _on_frame(self, connection: FrameConnection, frame: list[Any]) -> None:
        try:
            self._handle_frame(frame)
        except FrameError as error:
            self.host.record_bad_frame(self.name, error)
        except Exception as error:
            self.host.record_fault("link", error)
            connection.abort("frame that cannot be handled")

    def _handle_frame(self, frame: list[Any]) -> None:
        now = self.host.clock()
        self.monitor.record_message(now)
        kind = decode_kind(frame)
        if kind in CALL_OUTCOMES:
            self._pending_calls.discard(decode_number(frame))
            deliver_outcome(self.host, self.target, frame, now)
        elif kind == FrameKind.STATE:
            self._handle_state(decode_peer_state(frame))
        elif kind == FrameKind.FLEET_STATE:
            state = decode_fleet_state(frame, self.host.fleet.state)
            if state is not None:
                self.host.fleet.apply_state(state, self.member.name)
        elif kind == FrameKind.FLEET_CHANGE:
            base, change = decode_change(frame)
            if self.host.fleet.apply_peer_change(base, change, self.member.name):
                self._request_fleet_state()
        elif kind == FrameKind.DEMAND_FLEET_SUM:
            sender, total = decode_demand(frame)
            self.host.demand_exchange.receive_fleet_sum(sender, total, now)
        elif kind == FrameKind.SERVER_ENDED:
            self.host.handle_announcement(decode_server_end(frame), self.name)
        elif kind == FrameKind.REQUESTS_COMPLETED:
            self.host.handle_announcement(decode_completion(frame), self.name)
        elif kind == FrameKind.REQUESTS_QUARANTINED:
            self.host.quarantine.apply_quarantined(decode_quarantined(frame), now)
        elif kind == FrameKind.TOKEN_GRANT:
            self.host.receive_tokens(*decode_token_grant(frame))

    def _handle_state(self, state: PeerState) -> None:
        if not self.target.is_up:
            self.target.is_up = True
            self.host.record_link_change(self.member.name, True, "")
        self.is_watching = state.is_watching
        server = self.host.departures.apply(state.server)
        if server is not state.server:
            self._send_departure(server)
        self.target.apply_state(server)
        if self.host.fleet.handle_peer_state(state):
            self._request_fleet_state()

    def _send_departure(self, server: ServerState) -> None:
        """Tell the peer that its server leaves, which it does not know any more."""
        assert self.connection is not None
        kind = FrameKind.SERVER_DEPARTED.value
        self.connection.send([kind, server.instance, server.born])

    def _request_fleet_state(self) -> None:
        assert self.connection is not None
        known = self.host.fleet.state.configuration_position
        kind = FrameKind.FLEET_STATE_REQUEST.value
        self.connection.send([kind, known.revision, known.era])

    def request_tokens(self, account: str, wanted: int, is_important: bool) -> None:
        """Request tokens of an account from the peer."""
        assert self.connection is not None
        frame = [FrameKind.TOKEN_REQUEST.value, account, wanted, is_important]
        self.connection.send(frame)
