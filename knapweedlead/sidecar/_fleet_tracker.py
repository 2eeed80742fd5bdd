"""The daemon's view of the fleet, and its distribution to the peers."""

import math
import random
from collections.abc import Callable

import attrs
from result import Err

from knapweedlead.mesh import (
    Departures,
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
from knapweedlead.positions import StorePosition
from knapweedlead.sidecar._departure_log import DepartureLog
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._listeners import CallerListener
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._wire import PeerState, change_frame

STORE_SOURCE = "store"
"""Source of a state that this daemon has read from the store itself."""
STATE_REQUEST_TIMEOUT = 0.3
"""Seconds to wait for a peer's fleet state before the state is requested from another
peer."""
MAX_LOGGED_PROBLEMS = 20
"""Undecodable entries of one configuration that are logged."""
UNCONFIRMED_LEAD = -1e6
"""Lead, in seconds, that is sent for a configuration that was never confirmed."""
RESTORE_GRACE = 5.0
"""Seconds after the store has come back from a copy in which evacuations that the copy
lacks are kept even if the whole state is read again; their writers restore them."""


class FleetTracker:
    """Applies the operators' configuration, evacuations and the list of members.

    These are received from the store or from a peer; the latest position is applied.
    A store that comes back from a copy withdraws nothing by that: the configuration
    with the highest version stays in force, and data centres stay evacuated until the
    store mentions them again.

    Parameters
    ----------
    local_member : Member
    entry : Entry
    guard : Guard
    links : Links
    caller_listener : CallerListener
    recorder : MeshRecorder
    clock : callable
    rng : random.Random
    departures : Departures
    departure_log : DepartureLog

    Attributes
    ----------
    state : FleetState
        The newest state known.
    is_watching : bool
        Whether this daemon watches the store and the store answers.
    """

    def __init__(
        self,
        local_member: Member,
        entry: Entry,
        guard: Guard,
        links: Links,
        caller_listener: CallerListener,
        recorder: MeshRecorder,
        clock: Callable[[], float],
        rng: random.Random,
        departures: Departures,
        departure_log: DepartureLog,
    ) -> None:
        self.departures = departures
        self.departure_log = departure_log
        self.local_member = local_member
        self.entry = entry
        self.guard = guard
        self.links = links
        self.caller_listener = caller_listener
        self.recorder = recorder
        self.clock = clock
        self.rng = rng
        self.state = FleetState()
        self.is_watching = False
        self.roster = Roster(local_member.name)
        self.relay_choice = RelayChoice(local_member.name)
        self._request_pending_until = -math.inf
        self._kept_evacuations: frozenset[str] = frozenset()
        self._era_began_at = -math.inf
        self._is_reachable_by_step: dict[str, bool] = {}
        entry.quotas.has_share = False
        entry.retry_budget.daemon_count = 0

    @property
    def freshness(self) -> Freshness:
        """Time of the last confirmation of the configuration."""
        return self.entry.freshness

    # Updates from the store and from peers.

    def apply_state(self, state: FleetState, source: str) -> None:
        """Apply a whole state of the fleet if it is newer than the known state.

        Of a state that is not newer, only a configuration with a higher version is
        applied: its sender may know one that the store has lost.

        Parameters
        ----------
        state : FleetState
        source : str
            Name of the peer that sent the state, or ``store``.
        """
        self._request_pending_until = -math.inf
        known = self.state
        if state.position <= known.position:
            self._adopt_configuration(state, source)
            return
        now = self.clock()
        if known.position.revision and state.position.era > known.position.era:
            self._begin_era(state, source, now)
        kept: frozenset[str] = frozenset()
        if state.position.era > known.position.era:
            kept = self._evacuated - state.evacuated
            departures = known.departure_by_key | state.departure_by_key
            state = attrs.evolve(state, departure_by_key=departures)
        elif now - self._era_began_at <= RESTORE_GRACE:
            kept = self._kept_evacuations - state.evacuated
        self._apply_newer(state, kept, source, now)

    def _begin_era(self, state: FleetState, source: str, now: float) -> None:
        """Record that the store has come back from a copy."""
        before, after = self.state.position, state.position
        self._era_began_at = now
        self.departure_log.restore()
        self.recorder.count("store.eras")
        self.recorder.log(
            "store_restored",
            era=after.era,
            era_before=before.era,
            revision=after.revision,
            revision_before=before.revision,
            kept_data_centres=",".join(sorted(self._evacuated - state.evacuated)),
            unlisted_members=len(
                self.state.member_by_name.keys() - state.member_by_name.keys()
            ),
            source=source,
        )

    def _adopt_configuration(self, state: FleetState, source: str) -> None:
        """Apply the configuration of a state that is not newer, if its version is."""
        if not state.configuration:
            return
        if state.configuration_position == self.state.configuration_position:
            return
        configuration = decode_configuration(state.configuration)
        if isinstance(configuration, Err) or not self._is_newer(configuration.ok_value):
            return
        self._put_in_force(configuration.ok_value, state, source)
        self.state = attrs.evolve(
            self.state,
            configuration=state.configuration,
            configuration_position=state.configuration_position,
        )
        self._inform_guard(self.clock())

    def _apply_newer(
        self, state: FleetState, kept: frozenset[str], source: str, now: float
    ) -> None:
        known, evacuated_before = self.state, self._evacuated
        self.state, self._kept_evacuations = state, kept
        if state.departure_by_key != known.departure_by_key:
            self._apply_departures(state, now)
        if state.configuration_position != known.configuration_position:
            self._apply_configuration(known, source)
        self._inform_guard(now)
        if self._evacuated != evacuated_before:
            names = ",".join(sorted(self._evacuated))
            self.recorder.log(
                "evacuated",
                data_centres=names,
                revision=state.position.revision,
                source=source,
            )
        if (
            not known.position.revision
            or state.member_by_name != known.member_by_name
            or state.known_names != known.known_names
        ):
            self._apply_members(state, source, now)

    def _apply_departures(self, state: FleetState, now: float) -> None:
        by_key = state.departures_at(self.local_member.name)
        self.departure_log.learn(by_key)
        self.guard.apply_departures(by_key.values(), now)
        for start in state.departure_by_key.values():
            self.departures.remember((start.instance, start.born))

    @property
    def _evacuated(self) -> frozenset[str]:
        """Data centres out of service, by the store's state or kept over its return."""
        return self.state.evacuated | self._kept_evacuations

    def _inform_guard(self, now: float) -> None:
        configuration = self.entry.configuration
        if configuration is not None:
            self.guard.apply_configuration(configuration, self._evacuated, now)

    def apply_store_change(self, base: StorePosition, change: FleetChange) -> None:
        """Apply changes read from the store after `base`, and broadcast them."""
        if change.position <= self.state.position:
            return
        if change.position.era != self.state.position.era:
            return
        self._apply_change(change, STORE_SOURCE)
        self.links.broadcast(change_frame(base, change))

    def _apply_change(self, change: FleetChange, source: str) -> None:
        self._request_pending_until = -math.inf
        mentioned = frozenset((*change.evacuated, *change.returned))
        kept = self._kept_evacuations - mentioned
        state = apply_change(self.state, change)
        self._apply_newer(state, kept, source, self.clock())

    def apply_peer_change(
        self, base: StorePosition, change: FleetChange, source: str
    ) -> bool:
        """Apply changes sent by a peer; return whether to request its whole state.

        Parameters
        ----------
        base : StorePosition
            Position after which the changes are complete.
        change : FleetChange
            Never contains the configuration itself, even if the configuration changed.
        source : str
            Name of the peer.
        """
        known = self.state
        if change.position <= known.position:
            return False
        has_gap = known.position < base or change.position.era != known.position.era
        if has_gap or change.configuration_position > known.configuration_position:
            return self._may_request_state()
        self._apply_change(change, source)
        return False

    def _may_request_state(self) -> bool:
        """Return whether to request the state now; False while a request is pending."""
        now = self.clock()
        if now < self._request_pending_until:
            return False
        self._request_pending_until = now + STATE_REQUEST_TIMEOUT
        return True

    def _apply_configuration(self, known: FleetState, source: str) -> None:
        """Put the configuration of the state in force unless its version is older."""
        if not self.state.configuration:
            self._keep_configuration(known)
            return
        decoded = decode_configuration(self.state.configuration)
        if isinstance(decoded, Err):
            self._record_unreadable()
            self.recorder.bad_input("configuration", str(decoded.err_value))
            return
        self.entry.unreadable_since = None
        configuration = decoded.ok_value
        for problem in configuration.problems[:MAX_LOGGED_PROBLEMS]:
            self.recorder.bad_input("configuration_entry", problem)
        current = self.entry.configuration
        if self._is_newer(configuration):
            self._put_in_force(configuration, self.state, source)
        elif current is not None and configuration.version < current.version:
            self._keep_configuration(known)

    def _keep_configuration(self, known: FleetState) -> None:
        """Keep the known configuration in the state, so that peers get it."""
        self.state = attrs.evolve(
            self.state,
            configuration=known.configuration,
            configuration_position=known.configuration_position,
        )

    def _is_newer(self, configuration: MeshConfiguration) -> bool:
        current = self.entry.configuration
        return current is None or configuration.version > current.version

    def _put_in_force(
        self, configuration: MeshConfiguration, state: FleetState, source: str
    ) -> None:
        self._record_accounts(self.entry.configuration, configuration)
        self.entry.configuration = configuration
        self.caller_listener.set_limits(configuration.limits)
        self.recorder.log(
            "configuration",
            version=configuration.version,
            revision=state.position.revision,
            era=state.position.era,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.account_by_name),
            problems=len(configuration.problems),
        )

    def _record_unreadable(self) -> None:
        """Record since when the configuration in force may be outdated."""
        if self.entry.unreadable_since is None:
            self.entry.unreadable_since = self.freshness.confirmed_at

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

    def _apply_members(self, state: FleetState, source: str, now: float) -> None:
        by_name = state.member_by_name
        self.roster.replace(by_name, state.known_names, now)
        self.links.set_members(by_name)
        self.divide_quotas(now)
        self.recorder.log(
            "members", count=len(by_name), known=len(state.names), source=source
        )

    def divide_quotas(self, now: float) -> None:
        """Divide quotas and retry budgets among the daemons that may admit calls.

        A list that is not known to be whole divides nothing.
        """
        linked = frozenset(link.name for link in self.links.open_links())
        members = self.roster.names(now) | linked
        is_whole = self.roster.is_whole(now)
        quotas = self.entry.quotas
        if is_whole != quotas.has_share:
            self.recorder.log("rates_divided", daemons=len(members), is_whole=is_whole)
        configuration = self.entry.configuration
        accounts = {} if configuration is None else configuration.account_by_name
        quotas.set_members(members, now, accounts, is_whole)
        self.entry.retry_budget.daemon_count = len(members) if is_whole else 0

    def gone_members(self) -> list[str]:
        """Return the daemons that have been without a lease for so long to be gone."""
        return self.roster.gone_names(self.clock())

    def forget_members(self, names: list[str]) -> None:
        """Record that daemons are not in the store's roster any more."""
        known_names = self.state.known_names.difference(names)
        self.state = attrs.evolve(self.state, known_names=known_names)
        now = self.clock()
        self.roster.replace(self.state.member_by_name, known_names, now)
        self.recorder.log("members_gone", names=",".join(sorted(names)))

    # Confirmations.

    def is_unlisted(self, registered_at: float) -> bool:
        """Return whether the store does not list this daemon after it registered.

        False unless the known state was the newest one at some time after that.
        """
        listed = self.state.member_by_name.get(self.local_member.name)
        is_known = self.freshness.confirmed_at > registered_at
        return is_known and listed != self.local_member

    def confirm(self, requested_at: float, position: StorePosition) -> None:
        """Record that the store's newest position at `requested_at` was `position`.

        This confirms the known state only if it includes that position.
        """
        known = self.state.position
        if known.era == position.era and known >= position:
            self.freshness.confirm(requested_at)

    def peer_state(self, requested_at: float, received_at: float) -> PeerState:
        """Return the state to send to a peer.

        Parameters
        ----------
        requested_at : float
            Time in the peer's last probe, by the clock of the peer.
        received_at : float
            Time at which the probe arrived, by the clock of this daemon.
        """
        lead = max(self.freshness.confirmed_at - received_at, UNCONFIRMED_LEAD)
        return PeerState(
            requested_at,
            lead,
            self.state.position,
            self.is_watching,
            self.guard.state(self.clock()),
            self._version,
        )

    @property
    def _version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        configuration = self.entry.configuration
        return 0 if configuration is None else configuration.version

    def handle_peer_state(self, state: PeerState) -> bool:
        """Apply a peer's state; return whether to request its newer fleet state."""
        position = self.state.position
        if state.position > position or state.configuration_version > self._version:
            return self._may_request_state()
        if state.position == position and state.requested_at > 0.0:
            self.freshness.confirm_by_peer(state.requested_at, state.lead)
        return False

    # Watching the store.

    def should_watch(self) -> bool:
        """Return whether this daemon is to watch the store."""
        now = self.clock()
        unconfirmed_for = now - self.freshness.confirmed_at
        peers = self.links.relay_peers()
        return self.relay_choice.should_watch(peers, unconfirmed_for, now)

    def set_watching(self, is_watching: bool) -> None:
        """Record whether the store answers this daemon's watch; inform the peers."""
        if is_watching != self.is_watching:
            self.is_watching = is_watching
            self.recorder.log("relay", is_watching=is_watching)
            self.links.send_state_to_all()

    def record_store_reachability(
        self, step: str, is_reached: bool, detail: str
    ) -> None:
        """Log when the store becomes unreachable, or reachable again, in a step."""
        if self._is_reachable_by_step.get(step) != is_reached:
            self._is_reachable_by_step[step] = is_reached
            event = "store_reached" if is_reached else "store_lost"
            self.recorder.log(event, step=step, detail=detail)

    def record_fault(self, step: str, error: BaseException) -> None:
        """Count and log an unexpected exception."""
        self.recorder.fault(step, error)

    def record_registration(self, is_registered: bool) -> None:
        """Log whether the daemon is registered in the store."""
        self.recorder.log("registered", is_registered=is_registered)
