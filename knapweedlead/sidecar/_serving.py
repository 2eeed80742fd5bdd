"""Channels through which peers and the local entry pass calls to the local guard."""

import asyncio
import math
from typing import Any

from knapweedlead.mesh import EntryCall, Failure, Reason, ServerAnswer, Target, Ticket
from knapweedlead.sidecar._frame_decoders import (
    FrameError,
    decode_call,
    decode_demand,
    decode_departure,
    decode_kind,
    decode_number,
    decode_probe,
    decode_state_request,
    decode_token_request,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._link_host import LinkHost
from knapweedlead.sidecar._wire import (
    FrameKind,
    failure_frame,
    fleet_state_frame,
    quarantined_frame,
)

STATE_PERIOD = 1.5
"""Seconds after which a state follows an answer. A link that carries answers is not
probed, and an answer does not tell how fast the backend server is."""
CALL_OBJECT_BYTES = 1024
"""Memory that a call takes besides its head and body."""


class AcceptedLink:
    """Passes the calls of a peer to the local guard; `Sender` of their tickets.

    Attributes
    ----------
    peer_name, peer_data_centre : str
        Name and data centre of the peer; empty until its first probe.
    """

    def __init__(self, host: LinkHost, connection: FrameConnection) -> None:
        self.host = host
        self.connection = connection
        self.ticket_by_number: dict[int, Ticket] = {}
        self.peer_name = ""
        self.peer_data_centre = ""
        self._state_sent_at = -math.inf
        self._probe_sent_at = 0.0
        self._probe_received_at = 0.0

    def on_frame(self, frame: list[Any]) -> None:
        """Handle a frame from the peer; one that cannot be decoded is ignored."""
        try:
            self._handle_frame(frame)
        except FrameError as error:
            self.host.record_bad_frame(self.peer_name, error)

    def _handle_frame(self, frame: list[Any]) -> None:
        kind = decode_kind(frame)
        if kind == FrameKind.CALL:
            self._handle_call(frame)
        elif kind == FrameKind.CANCEL:
            self._handle_cancel(frame)
        elif kind == FrameKind.PROBE:
            self._handle_probe(frame)
        elif kind == FrameKind.FLEET_STATE_REQUEST:
            known = decode_state_request(frame)
            self.connection.send(fleet_state_frame(self.host.fleet.state, known))
        elif kind == FrameKind.TOKEN_REQUEST:
            account, wanted, is_important = decode_token_request(frame)
            lent, retry_after = self.host.lend_tokens(account, wanted, is_important)
            kind = FrameKind.TOKEN_GRANT.value
            self.connection.send([kind, account, lent, is_important, retry_after])
        elif kind == FrameKind.SERVER_DEPARTED:
            self.host.handle_departure(self.peer_name, *decode_departure(frame))
        elif kind == FrameKind.DEMAND_REPORT:
            sender, part = decode_demand(frame)
            exchange = self.host.demand_exchange
            exchange.receive_report(sender, part, self.host.clock())
        elif kind == FrameKind.DEMAND_PEER_SUM:
            sender, part = decode_demand(frame)
            exchange = self.host.demand_exchange
            exchange.receive_peer_sum(sender, part, self.host.clock())

    def _handle_cancel(self, frame: list[Any]) -> None:
        ticket = self._take(decode_number(frame))
        if ticket is not None:
            self.host.guard.cancel(ticket, self.host.clock())

    def _take(self, number: int) -> Ticket | None:
        """Return a call that is not finished, and forget it."""
        ticket = self.ticket_by_number.pop(number, None)
        if ticket is not None:
            self.host.peer_call_memory.release(ticket)
        return ticket

    def _handle_probe(self, frame: list[Any]) -> None:
        sent_at, name, data_centre = decode_probe(frame)
        self._probe_sent_at = sent_at
        self._probe_received_at = self.host.clock()
        if name:
            self._identify(name, data_centre)
            self._send_quarantined()
        self.send_state()

    def _send_quarantined(self) -> None:
        """Tell the peer, which may have just started, what is in quarantine."""
        requests = self.host.quarantine.quarantined(self.host.clock())
        if requests:
            self.connection.send(quarantined_frame(requests))

    def _identify(self, name: str, data_centre: str) -> None:
        """Record which daemon opened the link."""
        self.peer_name = name
        self.peer_data_centre = data_centre
        is_remote = data_centre != self.host.fleet.local_member.data_centre
        self.connection.traffic = self.host.traffic.by_scope(is_remote)

    def _handle_call(self, frame: list[Any]) -> None:
        now = self.host.clock()
        number = decode_number(frame)
        try:
            ticket = decode_call(frame, self, now)
        except FrameError as error:
            self.host.record_bad_frame(self.peer_name, error)
            self._refuse(number, Reason.FAULT)
            return
        memory = self.host.peer_call_memory
        size = len(ticket.head) + len(ticket.body) + CALL_OBJECT_BYTES
        if memory.used + size > memory.limit:
            self._refuse(number, Reason.OVERLOADED)
            return
        self._take(number)
        memory.hold(ticket, size)
        self.ticket_by_number[number] = ticket
        self.host.guard.offer(ticket, now)

    def _refuse(self, number: int, reason: Reason) -> None:
        """Tell the peer that a call will not be run."""
        failure = Failure(reason, False)
        self.connection.send(failure_frame(number, failure, self._load()))

    def send_state(self) -> None:
        """Send the state of this daemon to the peer."""
        self._state_sent_at = self.host.clock()
        state = self.host.fleet.peer_state(self._probe_sent_at, self._probe_received_at)
        self.connection.send(state.to_frame())

    def answered(self, ticket: Ticket, answer: ServerAnswer) -> None:
        """Send an answer to the peer."""
        if self._take(ticket.number) is None:
            return
        now = self.host.clock()
        times = ticket.times(now)
        self.connection.send(
            [
                FrameKind.ANSWER.value,
                ticket.number,
                answer.status,
                answer.headers,
                answer.body,
                *self._load(),
                times.waited,
                times.ran,
            ]
        )
        if now - self._state_sent_at >= STATE_PERIOD:
            self.send_state()

    def failed(self, ticket: Ticket, failure: Failure) -> None:
        """Send a failure to the peer."""
        if self._take(ticket.number) is not None:
            self.connection.send(failure_frame(ticket.number, failure, self._load()))

    def _load(self) -> tuple[int, int]:
        guard = self.host.guard
        return len(guard.running_by_run), len(guard.queued_by_run)

    def cancel_all(self) -> None:
        """Cancel all calls of a peer whose link is lost."""
        now = self.host.clock()
        tickets, self.ticket_by_number = self.ticket_by_number, {}
        for ticket in tickets.values():
            self.host.peer_call_memory.release(ticket)
            self.host.guard.cancel(ticket, now)


class LocalChannel:
    """Passes the local entry's calls to the local guard; `Sender` of their tickets."""

    def __init__(self, host: LinkHost) -> None:
        self.host = host
        self.target: Target = None  # type: ignore[assignment]
        self._ticket_by_number: dict[int, Ticket] = {}

    def send_call(self, call: EntryCall, remaining: float) -> None:
        """Offer a call to the local guard, `remaining` seconds before its deadline."""
        now = self.host.clock()
        ticket = Ticket(
            number=call.number,
            sender=self,
            request_id=call.call.request_id,
            service=call.service,
            route=call.route.name,
            account=call.account_name,
            priority=call.priority,
            is_idempotent=call.route.is_idempotent,
            deadline=now + remaining,
            head=call.call.head,
            body=call.call.body,
            is_head_method=call.call.is_head_method,
        )
        self._ticket_by_number[call.number] = ticket
        self.host.guard.offer(ticket, now)

    def cancel_call(self, call: EntryCall) -> None:
        """Cancel a call that the guard has not finished."""
        ticket = self._ticket_by_number.pop(call.number, None)
        if ticket is not None:
            self.host.guard.cancel(ticket, self.host.clock())

    def answered(self, ticket: Ticket, answer: ServerAnswer) -> None:
        """Pass an answer to the entry."""
        self._ticket_by_number.pop(ticket.number, None)
        self._update_load()
        now = self.host.clock()
        self.host.entry.answered(ticket.number, answer, now, ticket.times(now))

    def failed(self, ticket: Ticket, failure: Failure) -> None:
        """Pass a failure to the entry after the guard has finished with the ticket."""
        self._ticket_by_number.pop(ticket.number, None)
        self._update_load()
        loop = asyncio.get_running_loop()
        loop.call_soon(self._report_failure, ticket.number, failure)

    def _report_failure(self, number: int, failure: Failure) -> None:
        self.host.entry.failed(number, failure, self.host.clock(), self.target)

    def _update_load(self) -> None:
        guard = self.host.guard
        self.target.apply_load(len(guard.running_by_run), len(guard.queued_by_run))
