"""The daemon: composes its components and passes events between them."""

import asyncio
import math
import random
from collections.abc import Awaitable
from functools import partial
from typing import Any

from knapweedlead.errors import StoreError
from knapweedlead.http import BufferBudget
from knapweedlead.mesh import (
    MAX_CLOCK_LEAD,
    PLACEMENTS,
    PROBE_PERIOD,
    Announcement,
    Call,
    DemandExchange,
    DepartedStart,
    Departures,
    Entry,
    EntrySettings,
    Freshness,
    Guard,
    Member,
    MeshSettings,
    QuotaShares,
    RequestQuarantine,
    ServerEnd,
    ServerReport,
    Shedder,
    StopSchedule,
    Target,
    Ticket,
    TokenExchange,
)
from knapweedlead.platform import PlatformStore
from knapweedlead.sidecar._clock import read_clock, read_time_of_day
from knapweedlead.sidecar._departure_log import DepartureLog
from knapweedlead.sidecar._fleet_tracker import FleetTracker
from knapweedlead.sidecar._links import Links
from knapweedlead.sidecar._listeners import (
    CallerListener,
    HeartbeatListener,
    StatusListener,
)
from knapweedlead.sidecar._load_tracker import LoadTracker
from knapweedlead.sidecar._periodic import PeriodicSteps
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar._reload import ReloadResult, merge_settings
from knapweedlead.sidecar._runner import ServerRunner
from knapweedlead.sidecar._serving import LocalChannel
from knapweedlead.sidecar._status_log import (
    LIMITED_PERIOD,
    TOTALS_PERIOD,
    log_limited,
    log_totals,
)
from knapweedlead.sidecar._store_sync import StoreSync
from knapweedlead.sidecar._traffic import LinkTraffic
from knapweedlead.sidecar._wire import announcement_frame

TICK_PERIOD = 0.02
"""Seconds between checks of deadlines and of queued calls."""
LOAD_UPDATE_PERIOD = 0.25
"""Seconds between updates of the loads of all services."""
STALENESS_SHARE = 0.8
"""Fraction of the revocation time after which an unconfirmed configuration admits no
keys; the rest of the time covers calls in transit to the backend server."""
RETRY_SHARE_PER_HOP = 0.25
"""Fraction of the fleet's `repeat_ratio` and `repeat_extra` that each hop may use. The
child calls of a retried call count as retries too; a quarter covers call trees of four
levels."""
STORE_TIMEOUT = 1.0
"""Seconds until a call to the store times out."""
EXIT_MARGIN = 1.2
"""Seconds before the platform would kill the process at which it stops waiting for
calls, and deregisters and closes its connections instead."""
DRAIN_SHARE = 0.75
"""Fraction of `EXIT_MARGIN` for which calls are awaited that arrived during this."""
REPLY_MARGIN = 0.1
"""Seconds between the latest deadline of a call that is accepted late in a stop and the
time at which the daemon stops waiting for answers."""

ACKNOWLEDGEMENT_TIME = 0.9
"""Seconds that an acknowledgement may wait for the store; the server takes it for one
if it arrives within a second."""
PEER_CALL_MEMORY_SHARE = 0.25
"""Fraction of the process's memory for calls from peers that are not answered yet."""
_BYTES_PER_MB = 1_000_000
_MS_PER_S = 1000.0


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
        self.quarantine = RequestQuarantine(self._announce)
        self.guard = Guard(
            settings.service,
            settings.data_centre,
            self.runner,
            self.recorder,
            self._on_guard_change,
            self.clock(),
            settings.heartbeat_period,
            self.quarantine,
        )
        self.runner.guard = self.guard
        self.caller_listener = CallerListener(
            self, settings.service, settings.memory_mb * _BYTES_PER_MB
        )
        self.heartbeat_listener = HeartbeatListener(self)
        self.ready_listener = StatusListener(self._readiness)
        self.metrics_listener = StatusListener(self._metrics)
        self.departures = Departures()
        self.links = Links(self, settings.name, self._on_targets_change)
        self.local = LocalChannel(self)
        self.local_target = Target(
            settings.name, settings.data_centre, settings.service, self.local
        )
        self.local_target.is_up = True
        self.local.target = self.local_target
        self.quotas = QuotaShares(settings.name, settings.quota_window, self.clock())
        self.targets_by_service: dict[str, list[Target]] = {}
        self.entry = Entry(
            _entry_settings(settings),
            self.targets_by_service,
            PLACEMENTS.create("least_cost", data_centre=settings.data_centre),
            self.quotas,
            TokenExchange(self.quotas, self.links.open_links, rng),
            Freshness(),
            Shedder(rng),
            self.quarantine,
            self.guard.demand.record_child_call,
            self.caller_listener,
            self.recorder,
            rng,
        )
        self.traffic = LinkTraffic()
        self.peer_call_memory: BufferBudget[Ticket] = BufferBudget(
            int(PEER_CALL_MEMORY_SHARE * settings.memory_mb * _BYTES_PER_MB)
        )
        self._announced: tuple[object, ...] = ()
        self.demand_exchange = DemandExchange(settings.name, settings.data_centre)
        self.load_tracker = LoadTracker(
            self.entry,
            self.guard,
            self.links,
            self.demand_exchange,
            self.targets_by_service,
            self.recorder,
        )
        self._number_by_exchange: dict[int, int] = {}
        self.store = PlatformStore(
            settings.store_address, STORE_TIMEOUT, self.recorder.record_store_call
        )
        local_member = Member(
            settings.name,
            f"{settings.ip}:{settings.link_port}",
            settings.service,
            settings.data_centre,
        )
        self.departure_log = DepartureLog(
            settings.name, self.store, rng, self._record_departure_write
        )
        self.fleet = FleetTracker(
            local_member,
            self.entry,
            self.guard,
            self.links,
            self.caller_listener,
            self.recorder,
            self.clock,
            rng,
            self.departures,
            self.departure_log,
        )
        self.sync = StoreSync(self.fleet, self.store, local_member)
        self.is_stopping = False
        self.periodic = PeriodicSteps(
            self.clock, self.record_fault, self.recorder.slow_step
        )

    # Start, reload and shutdown.

    async def start(self) -> None:
        """Open all listeners and start the background tasks."""
        settings = self.settings
        await self.links.start(f"{settings.ip}:{settings.link_port}")
        await self.heartbeat_listener.server.start(settings.report_address)
        await self.caller_listener.server.start(settings.caller_address)
        await self.ready_listener.server.start(settings.ready_address)
        await self.metrics_listener.server.start(
            f"{settings.ip}:{settings.metrics_port}"
        )
        self._on_targets_change([])
        self.sync.start()
        self.periodic.start("tick", TICK_PERIOD, self._tick)
        self.periodic.start("ask", PROBE_PERIOD, self._update_peers)
        self.periodic.start("look", LOAD_UPDATE_PERIOD, self._update_load)
        log_steps = (
            ("totals", TOTALS_PERIOD, log_totals),
            ("limited", LIMITED_PERIOD, log_limited),
        )
        for name, period, log in log_steps:
            self.periodic.start(name, period, partial(log, self), delay=period)
        self.recorder.log(
            "started",
            service=settings.service,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
        )

    def reload(self, loaded: MeshSettings) -> ReloadResult:
        """Apply the loaded settings that can change while the daemon runs."""
        reload = merge_settings(self.settings, loaded)
        self.settings = reload.settings
        self.entry.update_settings(_entry_settings(reload.settings))
        self.quotas.window = reload.settings.quota_window
        self.store.set_address(reload.settings.store_address)
        self.recorder.log(
            "reload",
            outcome="taken",
            applied=",".join(reload.applied),
            deferred=",".join(reload.deferred),
        )
        return reload

    async def stop(self) -> None:
        """Finish calls in flight within the shutdown time, then close everything."""
        stop_started_at = self.clock()
        end = stop_started_at + self.settings.shutdown_time - EXIT_MARGIN
        last_end = end + DRAIN_SHARE * EXIT_MARGIN
        self.recorder.log("stopping", calls=len(self.entry.call_by_number))
        self.is_stopping = True
        schedule = StopSchedule.begin(
            stop_started_at, self.settings.shutdown_time, last_end - REPLY_MARGIN
        )
        self.entry.stop_schedule = schedule
        self.caller_listener.server.announce_close()
        self.guard.stop(stop_started_at)
        while self.clock() < end:
            is_grace_over = self.clock() > schedule.accept_until
            if is_grace_over and self.entry.is_idle and self.guard.is_idle:
                break
            await asyncio.sleep(TICK_PERIOD)
        self.caller_listener.server.stop_listening()
        try:
            async with asyncio.timeout(EXIT_MARGIN / 2):
                await self.sync.stop()
        except TimeoutError:
            self.recorder.log("store_lost", step="deregister")
        await self.caller_listener.server.stop()
        # Calls that arrived on kept connections meanwhile still need the links.
        while self.clock() < last_end and not self._has_answered_all():
            await asyncio.sleep(TICK_PERIOD)
        self.links.close()
        self.departure_log.cancel()
        self.periodic.cancel()
        self.recorder.log(
            "stopped", took_ms=int((self.clock() - stop_started_at) * 1000)
        )
        self.recorder.writer.flush()

    def _has_answered_all(self) -> bool:
        """Return whether no call is in flight and no answer remains to be written."""
        is_idle = self.entry.is_idle and self.guard.is_idle
        return is_idle and not self.caller_listener.server.open_connections

    def _tick(self, now: float) -> None:
        self.entry.expire(now)
        self.entry.token_exchange.expire(now)
        self.guard.tick(now)
        self.recorder.writer.flush()

    def _update_peers(self, now: float) -> None:
        self.links.tick(now)
        self.fleet.divide_quotas(now)
        self.local_target.apply_state(self.guard.state(now))
        self.guard.demand.update()

    def _update_load(self, now: float) -> None:
        self.load_tracker.update(now)
        self.load_tracker.send_demand(now)

    def record_fault(self, step: str, error: BaseException) -> None:
        """Count and log an exception raised in a step of the daemon."""
        self.recorder.fault(step, error)

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an exception that no step has handled; the daemon goes on."""
        error = context.get("exception") or RuntimeError(context["message"])
        self.record_fault("loop", error)

    def _readiness(self) -> tuple[int, bytes]:
        is_ready = self.entry.configuration is not None and not self.is_stopping
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _metrics(self) -> tuple[int, bytes]:
        """Return the status and the body of the metrics page."""
        for label, count in self.traffic.frames.items():
            self.recorder.set_count("links.frames", label, count)
        for label, count in self.traffic.bytes_sent.items():
            self.recorder.set_count("links.bytes", label, count)
        return 200, self.recorder.render()

    # Callers.

    def handle_call(self, exchange: int, call: Call) -> None:
        """Pass a caller's call to the entry."""
        entry_call = self.entry.accept(exchange, call, self.clock())
        if entry_call is not None and not entry_call.is_done:
            self._number_by_exchange[exchange] = entry_call.number
            entry_call.on_done = self._remove_exchange

    def _remove_exchange(self, exchange: int) -> None:
        self._number_by_exchange.pop(exchange, None)

    def handle_disconnect(self, exchange: int) -> None:
        """Abandon the call of a caller that has disconnected."""
        number = self._number_by_exchange.pop(exchange, None)
        if number is not None:
            self.recorder.count("calls.abandoned")
            self.entry.abandon(number)

    # The local backend server.

    def handle_heartbeat(self, report: ServerReport) -> Awaitable[bool] | None:
        """Apply a heartbeat of the local backend server; log changes of its state.

        Returns whether the store has the leave that it states, unless it is known to.
        """
        if report.address != self.settings.server_address:
            self.recorder.bad_input("heartbeat", f"address {report.address}")
            return None
        now = self.clock()
        before = self.guard.state(now)
        age = read_time_of_day() - report.born / 1000.0
        if age < -MAX_CLOCK_LEAD:
            detail = f"instance {report.instance} was born in {-age:.0f} s"
            self.recorder.bad_input("heartbeat", detail)
        self.guard.apply_report(report, now, age)
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
                is_history_known=self.guard.monitor.is_history_known,
            )
        return self._await_record(report.start) if report.is_draining else None

    def handle_deregistration(self, instance: str) -> Awaitable[bool] | None:
        """Handle the deregistration of one start of the backend server.

        Returns whether the store has the leave, unless it is known to.
        """
        is_known = self.guard.record_leave(instance, self.clock())
        self.recorder.log("backend_server_left", instance=instance, is_known=is_known)
        report = self.guard.monitor.server.report
        born = report.born if is_known and report is not None else 0
        return self._await_record((instance, born))

    def _record_departure(self, start: tuple[str, int]) -> DepartedStart:
        """Have a leave of the local server written to the store."""
        departed = DepartedStart(*start, int(read_time_of_day() * _MS_PER_S))
        self.departure_log.record(departed)
        return departed

    def _await_record(self, start: tuple[str, int]) -> Awaitable[bool] | None:
        departed = self._record_departure(start)
        if self.departure_log.is_recorded(departed):
            return None
        return self.departure_log.wait_recorded(departed, ACKNOWLEDGEMENT_TIME)

    def _record_departure_write(self, error: StoreError | None) -> None:
        detail = "" if error is None else str(error)
        self.fleet.record_store_reachability("departure", error is None, detail)

    def _on_guard_change(self) -> None:
        """Announce the state of the backend server.

        Peers in other data centres are told only whether it accepts calls, and get its
        load with answers and with the replies to their probes.
        """
        state = self.guard.state(self.clock())
        self.local_target.apply_state(state)
        if state.is_leaving and state.instance:
            self._record_departure((state.instance, state.born))
        announced = (
            state.instance,
            state.service,
            state.is_open,
            state.is_cold,
            state.rate_limit,
            state.service_time > 0.0,
            state.born,
            state.is_leaving,
        )
        if announced != self._announced:
            self._announced = announced
            self.links.send_state_to_all()
        else:
            self.links.send_state_to_data_centre(self.settings.data_centre)

    # Peers.

    def handle_departure(self, peer: str, instance: str, born: int) -> None:
        """Close the backend server if a peer knows that its present start leaves."""
        if self.guard.record_departure(instance, born, self.clock()):
            self.recorder.log(
                "backend_server_left", instance=instance, born=born, source=peer
            )

    def _announce(self, announcement: Announcement) -> None:
        """Tell all peers about requests that may end backend servers."""
        self.links.broadcast(announcement_frame(announcement))

    def handle_announcement(self, announcement: Announcement, peer: str) -> None:
        """Handle a peer's word about requests that may end backend servers."""
        if isinstance(announcement, ServerEnd):
            quarantined = self.quarantine.apply_end(announcement, self.clock())
            self.recorder.requests_quarantined(quarantined, peer)
        else:
            self.quarantine.apply_completion(announcement)

    def lend_tokens(
        self, name: str, wanted: int, is_important: bool
    ) -> tuple[int, float]:
        """Lend tokens; return their number, and the seconds to wait if it is 0.

        Parameters
        ----------
        name : str
            Name of the client account.
        wanted : int
            Number of tokens requested.
        is_important : bool
            Whether the tokens reserved for important calls may be lent too.

        Returns
        -------
        tuple of (int, float)
            Tokens lent, and seconds until the peer may request again; 0.0 if tokens
            were lent or the account is unknown or unlimited.
        """
        configuration = self.entry.configuration
        account = configuration and configuration.account_by_name.get(name)
        if not account or account.rate <= 0.0:
            return 0, 0.0
        now = self.clock()
        lent = self.quotas.lend(account, wanted, now, is_important)
        return lent, 0.0 if lent else self.quotas.retry_after(account, now)

    def receive_tokens(
        self, name: str, tokens: int, is_important: bool, retry_after: float
    ) -> None:
        """Pass a peer's reply to a token request on to the entry."""
        configuration = self.entry.configuration
        account = configuration and configuration.account_by_name.get(name)
        if account:
            now = self.clock()
            self.entry.token_exchange.receive_tokens(
                account, tokens, now, is_important, retry_after
            )

    def _on_targets_change(self, targets: list[Target]) -> None:
        self.targets_by_service.clear()
        for target in (self.local_target, *targets):
            self.targets_by_service.setdefault(target.service, []).append(target)

    def record_bad_frame(self, peer: str, error: ValueError) -> None:
        """Count and log a frame of a peer that cannot be decoded."""
        self.recorder.bad_input("link", f"{peer}: {error}")

    def record_link_change(self, name: str, is_up: bool, detail: str) -> None:
        """Log that a link was opened or lost."""
        event = "link_up" if is_up else "link_lost"
        self.recorder.log(event, peer=name, detail=detail)


def _entry_settings(settings: MeshSettings) -> EntrySettings:
    revocation_time = settings.revocation_time
    if revocation_time is None:
        revocation_time = math.inf
    return EntrySettings(
        max_staleness=revocation_time * STALENESS_SHARE,
        repeat_share=settings.repeat_ratio * RETRY_SHARE_PER_HOP,
        repeat_cap=settings.repeat_extra * RETRY_SHARE_PER_HOP,
    )
