"""What the daemon knows of its fleet, and how it spreads."""

import math
import random
from collections.abc import Callable

from result import Err

from knapweedlead.mesh import (
    Entry,
    FleetChange,
    FleetState,
    Freshness,
    Guard,
    Member,
    MeshConfiguration,
    RelayChoice,
    Roster,
    apply_change,
)
from knapweedlead.platform import decode_configuration
from knapweedlead.sidecar._doors import CallerDoor
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._wire import PeerState, change_frame

STORE = "store"
"""Source of what this daemon has read itself."""
STATE_TIMEOUT = 0.3
"""Seconds for which one peer's answer is waited for before another one is asked."""
EARLIEST_LEAD = -1e6
"""Seconds that stand for a configuration that was never confirmed."""


class FleetWatch:
    """Puts operators' declarations and the list of members in force.

    They come from the store or from a peer; the newest revision holds.

    Parameters
    ----------
    own : Member
    entry : Entry
    guard : Guard
    links : Links
    callers : CallerDoor
    recorder : MeshRecorder
    clock : callable
    rng : random.Random

    Attributes
    ----------
    state : FleetState
        The newest state known.
    is_watching : bool
        Whether this daemon's watch of the store is answered.
    """

    def __init__(
        self,
        own: Member,
        entry: Entry,
        guard: Guard,
        links: Links,
        callers: CallerDoor,
        recorder: MeshRecorder,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.own = own
        self.entry = entry
        self.guard = guard
        self.links = links
        self.callers = callers
        self.recorder = recorder
        self.clock = clock
        self.rng = rng
        self.state = FleetState()
        self.is_watching = False
        self.roster = Roster()
        self.relay_choice = RelayChoice(own.name)
        self._asked_until = -math.inf
        self._is_reached_by_step: dict[str, bool] = {}

    @property
    def freshness(self) -> Freshness:
        """When the configuration was last confirmed."""
        return self.entry.freshness

    # What the store and the peers tell.

    def take_state(self, state: FleetState, source: str) -> None:
        """Put a newer state of the fleet in force.

        Parameters
        ----------
        state : FleetState
        source : str
            Name of the peer that told it, or ``store``.
        """
        self._asked_until = -math.inf
        known = self.state
        if state.revision <= known.revision:
            return
        now = self.clock()
        self.state = state
        if state.configuration_revision > known.configuration_revision:
            self._take_configuration(state, source)
        configuration = self.entry.configuration
        if configuration is not None:
            self.guard.apply_configuration(configuration, state.evacuated, now)
        if state.evacuated != known.evacuated:
            names = ",".join(sorted(state.evacuated))
            self.recorder.log(
                "evacuated", data_centres=names, revision=state.revision, source=source
            )
        if state.member_by_name != known.member_by_name:
            self._members_changed(state.member_by_name, source, now)

    def take_store_change(self, base: int, change: FleetChange) -> None:
        """Take what the store told after a revision, and pass it on to all peers."""
        if change.revision <= self.state.revision:
            return
        self.take_state(apply_change(self.state, change), STORE)
        self.links.broadcast(change_frame(base, change))

    def take_peer_change(self, base: int, change: FleetChange, source: str) -> bool:
        """Take changes that a peer passes on; return whether to ask for the state.

        Parameters
        ----------
        base : int
            Revision after which the changes are whole.
        change : FleetChange
            Without the configuration, where that has changed.
        source : str
            Name of the peer.
        """
        known = self.state
        if change.revision <= known.revision:
            return False
        has_gap = known.revision < base
        if has_gap or change.configuration_revision > known.configuration_revision:
            return self._may_ask()
        self.take_state(apply_change(known, change), source)
        return False

    def _may_ask(self) -> bool:
        """Return whether to ask for the state, unless a peer has just been asked."""
        now = self.clock()
        if now < self._asked_until:
            return False
        self._asked_until = now + STATE_TIMEOUT
        return True

    def _take_configuration(self, state: FleetState, source: str) -> None:
        decoded = decode_configuration(state.configuration)
        if isinstance(decoded, Err):
            self.recorder.bad_input("configuration", str(decoded.err_value))
            return
        configuration = decoded.ok_value
        current = self.entry.configuration
        if current is not None and configuration.version <= current.version:
            return
        self._record_accounts(current, configuration)
        self.entry.configuration = configuration
        self.callers.set_limits(configuration.limits)
        self.recorder.log(
            "configuration",
            version=configuration.version,
            revision=state.revision,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.account_by_name),
        )

    def _record_accounts(
        self, before: MeshConfiguration | None, after: MeshConfiguration
    ) -> None:
        known = {} if before is None else before.account_by_name
        for name, account in after.account_by_name.items():
            if known.get(name) != account:
                self.recorder.log(
                    "account",
                    account=name,
                    rate=account.rate,
                    burst=account.burst,
                    keys=len(account.keys),
                    version=after.version,
                )

    def _members_changed(
        self, by_name: dict[str, Member], source: str, now: float
    ) -> None:
        self.roster.replace(by_name, now)
        self.links.set_members(by_name)
        self.divide_quotas(now)
        self.recorder.log("members", count=len(by_name), source=source)

    def divide_quotas(self, now: float) -> None:
        """Divide rates and budgets among the daemons that may admit calls."""
        linked = frozenset(link.name for link in self.links.lenders())
        members = self.roster.names(now) | linked
        configuration = self.entry.configuration
        if configuration is not None:
            accounts = configuration.account_by_name
            self.entry.quotas.set_members(members, now, accounts)
        self.entry.retry_budget.daemon_count = max(1, len(members))

    # Confirmations.

    def confirm(self, asked_at: float) -> None:
        """Note that the store knew nothing newer at a time."""
        self.freshness.confirm(asked_at)

    def peer_state(self, asked_at: float, heard_at: float) -> PeerState:
        """Return what to tell a peer that asked."""
        lead = max(self.freshness.confirmed_at - heard_at, EARLIEST_LEAD)
        server = self.guard.state(self.clock())
        return PeerState(asked_at, lead, self.state.revision, self.is_watching, server)

    def take_peer_state(self, state: PeerState) -> bool:
        """Take what a peer tells; return whether to ask it for later changes."""
        own = self.state.revision
        if state.revision > own:
            return self._may_ask()
        if state.revision == own and state.asked_at > 0.0:
            self.freshness.confirm_by_peer(state.asked_at, state.lead)
        return False

    # Watching the store.

    def should_watch(self) -> bool:
        """Return whether this daemon watches the store."""
        now = self.clock()
        unconfirmed_for = now - self.freshness.confirmed_at
        peers = self.links.relay_peers()
        return self.relay_choice.should_watch(peers, unconfirmed_for, now)

    def watching_changed(self, is_watching: bool) -> None:
        """Tell the peers whether this daemon's watch is answered."""
        if is_watching != self.is_watching:
            self.is_watching = is_watching
            self.recorder.log("relay", is_watching=is_watching)
            self.links.tell_all()

    def store_changed(self, step: str, is_reached: bool, detail: str) -> None:
        """Record that the store was lost or reached again."""
        if self._is_reached_by_step.get(step) != is_reached:
            self._is_reached_by_step[step] = is_reached
            event = "store_reached" if is_reached else "store_lost"
            self.recorder.log(event, step=step, detail=detail)

    def registered(self, is_registered: bool) -> None:
        """Record whether the daemon is listed."""
        self.recorder.log("registered", is_registered=is_registered)
