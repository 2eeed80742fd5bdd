"""Registers the daemon in the store, and watches the store for the fleet."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Err

from knapweedlead.backoffs import FullJitter
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.mesh import FleetChange, FleetState, Member
from knapweedlead.platform import PlatformStore
from knapweedlead.positions import StorePosition

LEASE_TIME = 6.0
"""Seconds for which a daemon stays registered without renewing its lease; longer than
the time for which an isolated daemon keeps admitting calls with keys."""
RENEWAL_PERIOD = 2.0
"""Seconds between renewals; a third of the lease time, so that two of them may fail."""
RETRY_BASE_DELAY = 0.6
"""Upper bound, in seconds, of the first delay between retries while the store is
unavailable; it doubles with each retry."""
MAX_REGISTER_DELAY = 1.5
"""Upper bound, in seconds, of the delays between attempts to register: a registration
that expired during an outage has to be restored within about two seconds of the end of
the outage."""
MAX_WATCH_DELAY = 3.0
"""Upper bound, in seconds, of the delays between attempts to watch, which cost ten
times as much as a renewal; the first daemon that succeeds confirms the configuration
to the other daemons."""
WATCH_WAIT = 0.9
"""Seconds that the store waits for changes before it answers a watch. Each answer
confirms the configuration, which has to happen well within the time in which a
withdrawn key must stop working."""
ERA_CHECK_PERIOD = 0.5
"""Seconds between checks whether the store has come back from a copy, which may not
hold the registration."""
REWRITE_SPREAD = 0.5
"""Seconds over which the daemons of a fleet spread their registrations after that."""
MAX_FORGOTTEN = 16
"""Daemons that one call removes from the roster; each takes two of the 32 entries that
the store accepts in a call."""
RELAY_CHECK_PERIOD = 0.1
"""Seconds between checks whether this daemon is to watch the store."""


class SyncHost(Protocol):
    """Interface of the daemon that `StoreSync` uses."""

    rng: random.Random
    clock: Callable[[], float]
    state: FleetState

    def should_watch(self) -> bool:
        """Return whether this daemon is to watch the store."""

    def apply_state(self, state: FleetState, source: str) -> None:
        """Apply the whole state read from the store."""

    def apply_store_change(self, base: StorePosition, change: FleetChange) -> None:
        """Apply the changes in the store after `base`."""

    def is_unlisted(self, registered_at: float) -> bool:
        """Return whether the store does not list this daemon after it registered."""

    def confirm(self, requested_at: float, position: StorePosition) -> None:
        """Record that the store's newest position at `requested_at` was `position`."""

    def gone_members(self) -> list[str]:
        """Return the daemons that have been without a lease for so long to be gone."""

    def forget_members(self, names: list[str]) -> None:
        """Record that daemons are not in the store's roster any more."""

    def set_watching(self, is_watching: bool) -> None:
        """Record whether the store answers this daemon's watch."""

    def record_store_reachability(
        self, step: str, is_reached: bool, detail: str
    ) -> None:
        """Record whether the store was reached in a step, ``register`` or ``watch``."""

    def record_registration(self, is_registered: bool) -> None:
        """Record whether the daemon is registered in the store."""

    def record_fault(self, step: str, error: BaseException) -> None:
        """Count and log an unexpected exception."""


class StoreSync:
    """Keeps the daemon registered and follows the changes in the store.

    Parameters
    ----------
    host : SyncHost
    store : PlatformStore
    local_member : Member
    """

    def __init__(
        self, host: SyncHost, store: PlatformStore, local_member: Member
    ) -> None:
        self.host = host
        self.store = store
        self.local_member = local_member
        self._lease = 0
        self._lease_era = 0
        self._era = 0
        self._registered_at = 0.0
        self._backoff_by_step = {
            "register": FullJitter(RETRY_BASE_DELAY, MAX_REGISTER_DELAY),
            "watch": FullJitter(RETRY_BASE_DELAY, MAX_WATCH_DELAY),
        }
        self._failures_by_step: Counter[str] = Counter()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the registration and the watch as background tasks."""
        for step, loop in (
            ("register", self._keep_registered),
            ("watch", self._follow_store),
        ):
            self._tasks.append(asyncio.ensure_future(self._supervise(step, loop)))

    async def stop(self) -> None:
        """Stop both tasks and revoke the lease, which deregisters the daemon.

        The number of a lease of an earlier era may be that of another daemon's lease.
        """
        for task in self._tasks:
            task.cancel()
        if self._lease and not self._is_lease_outdated:
            await self.store.revoke_lease(self._lease)

    @property
    def _is_lease_outdated(self) -> bool:
        """Whether the store has come back from a copy since it granted the lease."""
        return self._era > self._lease_era

    async def _supervise(self, step: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop without end; start it again after an unexpected exception."""
        while True:
            try:
                await loop()
            except Exception as error:
                self._failures_by_step[step] += 1
                self.host.record_fault(f"store.{step}", error)
                await asyncio.sleep(self._retry_delay(step))

    async def _keep_registered(self) -> None:
        """Stay registered, once a first state is known.

        Whether that state names this daemon tells if an earlier process of the same
        name was registered.
        """
        while not self._lease and not self.host.state.position.revision:
            await asyncio.sleep(RELAY_CHECK_PERIOD)
        while True:
            is_registered = await (self._renew() if self._lease else self._register())
            if is_registered:
                await self._await_renewal()
            elif self._lease or self._failures_by_step["register"]:
                await asyncio.sleep(self._retry_delay("register"))

    async def _await_renewal(self) -> None:
        """Wait until the lease is to be renewed, or until it is outdated."""
        for _ in range(round(RENEWAL_PERIOD / ERA_CHECK_PERIOD)):
            await asyncio.sleep(ERA_CHECK_PERIOD)
            if self._is_lease_outdated:
                await self._drop_outdated_lease()
                return

    async def _drop_outdated_lease(self) -> None:
        self._drop_lease()
        await asyncio.sleep(self.host.rng.uniform(0.0, REWRITE_SPREAD))

    def _drop_lease(self) -> None:
        self._lease = 0
        self.host.record_registration(False)

    async def _register(self) -> bool:
        """Register the daemon under a new lease; return whether this succeeded."""
        granted = await self.store.grant_lease(LEASE_TIME)
        if isinstance(granted, Err):
            self._record_failure("register", granted.err_value)
            return False
        lease = granted.ok_value.lease
        written = await self.store.register(self.local_member, lease)
        if isinstance(written, Err):
            self._record_failure("register", written.err_value)
            return False
        self._observe_era(written.ok_value)
        if written.ok_value != granted.ok_value.era:
            return False
        self._lease, self._lease_era = lease, written.ok_value
        self._registered_at = self.host.clock()
        self._record_success("register")
        self.host.record_registration(True)
        return True

    async def _renew(self) -> bool:
        """Renew the lease; return whether it is valid and the daemon is registered.

        The entry may be lost while the lease is valid: another writer has replaced it,
        or an earlier registration was executed late and expired with its own lease.
        """
        renewed = await self.store.renew_lease(self._lease)
        if not isinstance(renewed, Err):
            self._record_success("register")
            self._observe_era(renewed.ok_value)
            if self._is_lease_outdated:
                await self._drop_outdated_lease()
                return False
            if not self.host.is_unlisted(self._registered_at):
                return True
            self._drop_lease()
            return False
        if renewed.err_value.fault is StoreFault.CONFLICT:
            # The lease has expired, but the store answers: register without a delay.
            self._record_success("register")
            self._drop_lease()
        else:
            self._record_failure("register", renewed.err_value)
        return False

    async def _follow_store(self) -> None:
        """Read the store once, then watch it whenever this daemon is a relay."""
        needs_read = True
        while True:
            self._observe_era(self.host.state.position.era)
            if needs_read:
                needs_read = not await self._read_state()
            elif self.host.should_watch():
                needs_read = not await self._watch_once()
            else:
                self.host.set_watching(False)
                await asyncio.sleep(RELAY_CHECK_PERIOD)

    def _observe_era(self, era: int) -> None:
        self._era = max(self._era, era)

    async def _read_state(self) -> bool:
        requested_at = self.host.clock()
        base = self.host.state.position
        result = await self.store.read_state()
        if isinstance(result, Err):
            await self._handle_watch_failure(result.err_value)
            return False
        position = result.ok_value.position
        if position < base:
            await self._handle_watch_failure(self._position_error(position, base))
            return False
        self._record_success("watch")
        self.host.apply_state(result.ok_value, "store")
        self.host.confirm(requested_at, position)
        return True

    def _position_error(
        self, position: StorePosition, base: StorePosition
    ) -> StoreError:
        detail = f"expected {base} or later, got {position}"
        fault = StoreFault.UNKNOWN_OUTCOME
        return StoreError("store.position", self.store.address, detail, fault)

    async def _watch_once(self) -> bool:
        """Watch once; return False if the needed history is not available."""
        requested_at = self.host.clock()
        base = self.host.state.position
        changed = await self.store.watch_state(base, WATCH_WAIT)
        if isinstance(changed, Err):
            await self._handle_watch_failure(changed.err_value)
            return changed.err_value.fault is not StoreFault.COMPACTED
        position = changed.ok_value.position
        if position < base:
            await self._handle_watch_failure(self._position_error(position, base))
            return False
        self._record_success("watch")
        self.host.apply_store_change(base, changed.ok_value)
        self.host.confirm(requested_at, position)
        self.host.set_watching(True)
        await self._forget_gone()
        return True

    async def _forget_gone(self) -> None:
        """Remove daemons that are gone from the roster."""
        names = self.host.gone_members()[:MAX_FORGOTTEN]
        if not names:
            return
        forgotten = await self.store.forget(names)
        if isinstance(forgotten, Err):
            self._record_failure("forget", forgotten.err_value)
            return
        self._record_success("forget")
        self.host.forget_members(names)

    async def _handle_watch_failure(self, error: StoreError) -> None:
        self.host.set_watching(False)
        self._record_failure("watch", error)
        await asyncio.sleep(self._retry_delay("watch"))

    def _record_success(self, step: str) -> None:
        self._failures_by_step[step] = 0
        self.host.record_store_reachability(step, True, "")

    def _record_failure(self, step: str, error: StoreError) -> None:
        self._failures_by_step[step] += 1
        self.host.record_store_reachability(step, False, str(error))

    def _retry_delay(self, step: str) -> float:
        backoff = self._backoff_by_step[step]
        return backoff.delay(self._failures_by_step[step], self.host.rng)
