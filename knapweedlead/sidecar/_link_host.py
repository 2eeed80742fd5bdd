"""Interfaces of the daemon that its links use."""

from typing import Protocol

from knapweedlead.http import BufferBudget
from knapweedlead.mesh import (
    Announcement,
    DemandExchange,
    Departures,
    Entry,
    FleetChange,
    FleetState,
    Guard,
    Member,
    RequestQuarantine,
    Ticket,
)
from knapweedlead.positions import StorePosition
from knapweedlead.sidecar._traffic import LinkTraffic
from knapweedlead.sidecar._wire import PeerState


class FleetView(Protocol):
    """Fleet state that links send and receive."""

    state: FleetState
    local_member: Member

    def peer_state(self, requested_at: float, received_at: float) -> PeerState:
        """Return the state that answers a peer's probe."""

    def handle_peer_state(self, state: PeerState) -> bool:
        """Apply a peer's state; return whether to request its newer fleet state."""

    def apply_peer_change(
        self, base: StorePosition, change: FleetChange, source: str
    ) -> bool:
        """Apply changes sent by a peer; return whether to request its whole state."""

    def apply_state(self, state: FleetState, source: str) -> None:
        """Apply a fleet state if it is newer than the known state."""


class LinkHost(Protocol):
    """Interface of the daemon that links use."""

    entry: Entry
    guard: Guard
    demand_exchange: DemandExchange
    departures: Departures
    quarantine: RequestQuarantine
    traffic: LinkTraffic
    peer_call_memory: BufferBudget[Ticket]

    @property
    def fleet(self) -> FleetView:
        """The daemon's view of the fleet."""

    def clock(self) -> float:
        """Return the current time in seconds."""

    def receive_tokens(
        self, name: str, tokens: int, is_important: bool, retry_after: float
    ) -> None:
        """Handle a peer's answer to a token request, with the tokens that it lent."""

    def lend_tokens(
        self, name: str, wanted: int, is_important: bool
    ) -> tuple[int, float]:
        """Lend tokens; return their number, and the seconds to wait if it is 0."""

    def handle_departure(self, peer: str, instance: str, born: int) -> None:
        """Handle a peer's word that a start of the local backend server leaves."""

    def handle_announcement(self, announcement: Announcement, peer: str) -> None:
        """Handle a peer's word about requests that may end backend servers."""

    def record_link_change(self, name: str, is_up: bool, detail: str) -> None:
        """Log that a link was opened or lost."""

    def record_bad_frame(self, peer: str, error: ValueError) -> None:
        """Count and log a frame of a peer that cannot be decoded."""

    def record_fault(self, step: str, error: BaseException) -> None:
        """Count and log an unexpected exception."""
