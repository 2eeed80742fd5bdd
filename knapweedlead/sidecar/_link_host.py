"""What the links of a daemon need of it."""

from typing import Protocol

from knapweedlead.mesh import Entry, FleetState, Guard, Target
from knapweedlead.sidecar._wire import PeerState


class LinkHost(Protocol):
    """What links need of the daemon."""

    entry: Entry
    guard: Guard
    fleet_state: FleetState

    def clock(self) -> float:
        """Return the present time."""

    def peer_state(self, asked_at: float, heard_at: float) -> PeerState:
        """Return what to tell a peer that asked."""

    def take_peer_state(self, target: Target, state: PeerState) -> bool:
        """Take what a peer tells; return whether it knows a newer configuration."""

    def take_fleet_state(self, state: FleetState, source: str) -> None:
        """Take a peer's fleet state."""

    def take_tokens(self, account: str, tokens: int, is_important: bool) -> None:
        """Take tokens that a peer lent."""

    def lend_tokens(self, account: str, wanted: int, is_important: bool) -> int:
        """Return the tokens lent to a peer."""

    def link_changed(self, name: str, is_up: bool, detail: str) -> None:
        """Record that a link was opened or lost."""
