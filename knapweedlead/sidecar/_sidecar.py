"""The daemon: composes its parts and passes events between them."""

import asyncio
import math
import random

from knapweedlead.mesh import (
    PLACEMENTS,
    PROBE_PERIOD,
    Call,
    Entry,
    EntrySettings,
    Freshness,
    Guard,
    Member,
    MeshSettings,
    QuotaShares,
    ServerReport,
    Shedder,
    Target,
    TokenExchange,
)
from knapweedlead.platform import PlatformStore
from knapweedlead.sidecar._clock import read_clock
from knapweedlead.sidecar._doors import CallerDoor, ReportDoor, StatusDoor
from knapweedlead.sidecar._fleet_watch import FleetWatch
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._load_watch import LoadWatch
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._reload import Reload, merge_settings
from knapweedlead.sidecar._runner import ServerRunner
from knapweedlead.sidecar._serving import LocalChannel
from knapweedlead.sidecar._store_sync import StoreSync

TICK = 0.02
"""Seconds between looks at deadlines and waiting calls."""
LOOK_PERIOD = 0.25
"""Seconds between looks at the loads of all services."""
REPORT_PERIOD = 10.0
"""Seconds between lines of totals."""
STALENESS_SHARE = 0.8
"""Part of the revocation time after which an unconfirmed configuration admits no
keys; the rest is for the call on its way to the backend server."""
REPEAT_SHARE = 0.25
"""Part of the fleet's repeat ratio that each hop uses, since the calls of a repeated
call count as repeats too; enough for trees of four levels."""
STORE_TIMEOUT = 1.0
"""Seconds for a call to the store."""
LEAVE_NOTICE = 2.5
"""Seconds for which a stopping daemon goes on taking calls: two missed readiness
questions, one second apart, and some time for the last of them."""
EXIT_MARGIN = 1.2
"""Seconds before the process is killed at which it exits by itself."""


class Sidecar:
    """One daemon on one event loop.

    Parameters
    ----------
    settings : MeshSettings
    rng : random.Random
    """

    def __init__(self, settings: MeshSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.clock = read_clock
        self.recorder = MeshRecorder(settings.name)
        self.runner = ServerRunner(settings.server_address, self.clock)
        self.guard = Guard(
            settings.service,
            settings.data_centre,
            self.runner,
            self.recorder,
            self._guard_changed,
        )
        self.runner.guard = self.guard
        self.callers = CallerDoor(self, settings.service)
        self.reports = ReportDoor(self)
        self.ready_door = StatusDoor(self._readiness)
        self.metrics_door = StatusDoor(lambda: (200, self.recorder.render()))
        self.links = Links(self, settings.name, self._targets_changed)
        self.local = LocalChannel(self)
        self.own_target = Target(
            settings.name, settings.data_centre, settings.service, self.local
        )
        self.own_target.is_up = True
        self.local.target = self.own_target
        self.quotas = QuotaShares(settings.name, settings.quota_window, self.clock())
        self.targets_by_service: dict[str, list[Target]] = {}
        self.entry = Entry(
            _entry_settings(settings),
            self.targets_by_service,
            PLACEMENTS.create("least_cost", data_centre=settings.data_centre),
            self.quotas,
            TokenExchange(self.quotas, self.links.lenders, rng),
            Freshness(),
            Shedder(rng),
            self.guard.demand.record_child_call,
            self.callers,
            self.recorder,
            rng,
        )
        self.load_watch = LoadWatch(
            self.entry, self.guard, self.links, self.targets_by_service, self.recorder
        )
        self._number_by_exchange: dict[int, int] = {}
        self.store = PlatformStore(
            settings.store_address, STORE_TIMEOUT, self.recorder.store_call
        )
        own = Member(
            settings.name,
            f"{settings.ip}:{settings.link_port}",
            settings.service,
            settings.data_centre,
        )
        self.fleet = FleetWatch(
            own,
            self.entry,
            self.guard,
            self.links,
            self.callers,
            self.recorder,
            self.clock,
            rng,
        )
        self.sync = StoreSync(self.fleet, self.store, own)
        self.is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    # Life.

    async def start(self) -> None:
        """Open all listeners and begin."""
        settings = self.settings
        await self.links.start(f"{settings.ip}:{settings.link_port}")
        await self.reports.server.start(settings.report_address)
        await self.callers.server.start(settings.caller_address)
        await self.ready_door.server.start(settings.ready_address)
        await self.metrics_door.server.start(f"{settings.ip}:{settings.metrics_port}")
        self._targets_changed([])
        self.sync.start()
        self._tasks.append(asyncio.ensure_future(self._tick()))
        self._tasks.append(asyncio.ensure_future(self._ask()))
        self._tasks.append(asyncio.ensure_future(self._look()))
        self._tasks.append(asyncio.ensure_future(self._report()))
        self.recorder.log(
            "started",
            service=settings.service,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
        )

    def reload(self, read: MeshSettings) -> Reload:
        """Put newly read settings in force, as far as a running daemon can."""
        reload = merge_settings(self.settings, read)
        self.settings = reload.settings
        self.entry.update_settings(_entry_settings(reload.settings))
        self.quotas.window = reload.settings.quota_window
        self.store.move(reload.settings.store_address)
        self.recorder.log(
            "reload",
            outcome="taken",
            applied=",".join(reload.applied),
            deferred=",".join(reload.deferred),
        )
        return reload

    async def stop(self) -> None:
        """Finish what is under way, within the time there is, then end."""
        asked_at = self.clock()
        end = asked_at + self.settings.shutdown_time - EXIT_MARGIN
        self.recorder.log("stopping", calls=len(self.entry.call_by_number))
        self.is_stopping = True
        self.callers.server.announce_close()
        self.guard.stop(asked_at)
        while self.clock() < end:
            is_noticed = self.clock() - asked_at > LEAVE_NOTICE
            if is_noticed and self.entry.is_idle and self.guard.is_idle:
                break
            await asyncio.sleep(TICK)
        self.callers.server.stop_listening()
        try:
            async with asyncio.timeout(EXIT_MARGIN / 2):
                await self.sync.stop()
        except TimeoutError:
            self.recorder.log("store_lost", step="deregister")
        await self.callers.server.stop()
        self.links.close()
        for task in self._tasks:
            task.cancel()
        self.recorder.log("stopped", took_ms=int((self.clock() - asked_at) * 1000))
        self.recorder.writer.flush()

    async def _tick(self) -> None:
        while True:
            now = self.clock()
            try:
                self.entry.expire(now)
                self.entry.token_exchange.expire(now)
                self.guard.tick(now)
                self.recorder.writer.flush()
            except Exception as error:
                self.note_fault("tick", error)
            await asyncio.sleep(TICK)

    async def _ask(self) -> None:
        while True:
            now = self.clock()
            try:
                self.links.tick(now)
                self.fleet.divide_quotas(now)
                self.own_target.apply_state(self.guard.state(now))
                self.guard.demand.update()
                self.load_watch.tell_demand(now)
            except Exception as error:
                self.note_fault("ask", error)
            await asyncio.sleep(PROBE_PERIOD)

    async def _report(self) -> None:
        """Write a line of totals now and then."""
        while True:
            await asyncio.sleep(REPORT_PERIOD)
            guard = self.guard
            unconfirmed_for = self.clock() - self.fleet.freshness.confirmed_at
            self.recorder.log(
                "totals",
                calls=len(self.entry.call_by_number),
                running=len(guard.running_by_run),
                waiting=len(guard.queued_by_run),
                limit=guard.limit,
                service_time_ms=round(guard.service_time * 1000, 1),
                links=self.links.up,
                unconfirmed_ms=int(unconfirmed_for * 1000),
                **self.recorder.totals("store.calls", "calls.refused"),
            )

    async def _look(self) -> None:
        while True:
            try:
                self.load_watch.look(self.clock())
            except Exception as error:
                self.note_fault("look", error)
            await asyncio.sleep(LOOK_PERIOD)

    def note_fault(self, step: str, error: BaseException) -> None:
        """Record a fault of the daemon's own."""
        self.recorder.count("faults", step)
        self.recorder.log("fault", step=step, error=repr(error))

    def _readiness(self) -> tuple[int, bytes]:
        is_ready = self.entry.configuration is not None and not self.is_stopping
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    # Callers.

    def take_call(self, exchange: int, call: Call) -> None:
        """Take a call in."""
        taken = self.entry.accept(exchange, call, self.clock())
        if taken is not None and not taken.is_done:
            self._number_by_exchange[exchange] = taken.number
            taken.on_done = self._forget_exchange

    def _forget_exchange(self, exchange: int) -> None:
        self._number_by_exchange.pop(exchange, None)

    def caller_gone(self, exchange: int) -> None:
        """Drop the call of a caller that has gone."""
        number = self._number_by_exchange.pop(exchange, None)
        if number is not None:
            self.recorder.count("calls.abandoned")
            self.entry.abandon(number)

    # The own backend server.

    def take_report(self, report: ServerReport) -> None:
        """Take a heartbeat."""
        if report.address != self.settings.server_address:
            self.recorder.bad_input("heartbeat", f"address {report.address}")
            return
        now = self.clock()
        before = self.guard.state(now)
        self.guard.apply_report(report, now)
        after = self.guard.state(now)
        if (before.instance, before.is_open, before.is_cold) != (
            after.instance,
            after.is_open,
            after.is_cold,
        ):
            self.recorder.log(
                "backend_server",
                instance=report.instance,
                is_open=after.is_open,
                is_draining=report.is_draining,
                cold_ms=int(report.cold_remaining * 1000),
                slots=report.slots,
                sequence=report.sequence,
                born=report.born,
            )

    def take_leave(self, instance: str) -> None:
        """Take note that a start of the backend server goes away."""
        is_known = self.guard.record_leave(instance, self.clock())
        self.recorder.log("backend_server_left", instance=instance, is_known=is_known)

    def _guard_changed(self) -> None:
        self.own_target.apply_state(self.guard.state(self.clock()))
        self.links.tell_all()

    # Peers.

    def lend_tokens(
        self, name: str, wanted: int, is_important: bool
    ) -> tuple[int, float]:
        """Return the tokens lent to a peer, and when to ask again without any."""
        configuration = self.entry.configuration
        account = configuration and configuration.account_by_name.get(name)
        if not account or account.rate <= 0.0:
            return 0, 0.0
        now = self.clock()
        lent = self.quotas.lend(account, wanted, now, is_important)
        return lent, 0.0 if lent else self.quotas.retry_after(account, now)

    def take_tokens(
        self, name: str, tokens: int, is_important: bool, retry_after: float
    ) -> None:
        """Take tokens of an account that a peer lent."""
        configuration = self.entry.configuration
        account = configuration and configuration.account_by_name.get(name)
        if account:
            now = self.clock()
            self.entry.token_exchange.receive_tokens(
                account, tokens, now, is_important, retry_after
            )

    def _targets_changed(self, targets: list[Target]) -> None:
        self.targets_by_service.clear()
        for target in (self.own_target, *targets):
            self.targets_by_service.setdefault(target.service, []).append(target)

    def link_changed(self, name: str, is_up: bool, detail: str) -> None:
        """Record that a link was opened or lost."""
        event = "link_up" if is_up else "link_lost"
        self.recorder.log(event, peer=name, detail=detail)


def _entry_settings(settings: MeshSettings) -> EntrySettings:
    revocation_time = settings.revocation_time
    if revocation_time is None:
        revocation_time = math.inf
    return EntrySettings(
        max_staleness=revocation_time * STALENESS_SHARE,
        repeat_share=settings.repeat_ratio * REPEAT_SHARE,
        repeat_cap=settings.repeat_extra * REPEAT_SHARE,
    )
