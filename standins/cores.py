"""Simulation of many node cores in one process with a simulated clock.

A node core is the part of a daemon without input and output: it receives events and
returns effects. The simulation replaces only the shell around the core: links with
delay, loss and cuts, the platform's store with faults, and backend servers with slots.
All random numbers derive from one seed, so that runs are reproducible.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok

from knapweedlead.daemon import Composition, compose
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.node import (
    CallerGone,
    CallReceived,
    CancelRun,
    Effect,
    Event,
    HandlerFailed,
    LinkDown,
    LinkUp,
    MessageReceived,
    OpenLink,
    OperatorCallReceived,
    ReplyToCaller,
    ReplyToOperator,
    RunOnBackendServer,
    SendFailed,
    SendMessage,
    Started,
    StoreAnswered,
    StoreCall,
    Tick,
    WakeAt,
)
from knapweedlead.settings import BackendServerSettings, DaemonSettings, StoreSettings
from standins.core_runs import CoreRuns
from standins.core_store import CoreStore
from standins.core_types import (
    BackendServerLimits,
    CallerReply,
    Core,
    CoreBackendServer,
    RunningRequest,
)

__all__ = [
    "BackendServerLimits",
    "CallerReply",
    "Core",
    "CoreBackendServer",
    "Cores",
    "Event",
    "RunningRequest",
]

TICK_SECONDS = 0.1

FIRST_PORT = 10_000


class Cores:
    """Node cores with a simulated network, store and clock.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    delay : float
        Link delay of a message, in seconds.
    """

    def __init__(self, seed: int = 0, delay: float = 0.0005) -> None:
        self.rng = random.Random(seed)
        self.delay = delay
        self.loss = 0.0
        self.duplication = 0.0
        """Share of messages that are delivered a second time, later."""
        self.now = 0.0
        self.store = CoreStore()
        self.by_name: dict[str, Core] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        """Ordered pairs of core names between which messages are lost."""
        self.cut_from_store: set[str] = set()
        self.messages_sent = 0
        self.has_injected_faults = False
        """Whether exceptions in handlers are expected, and are only recorded."""
        self.delay_of: Callable[[Core, Core], float] = lambda a, b: self.delay
        self.alter: Callable[[Any], list[Any]] = lambda message: [message]
        """Maps a sent message to the messages that are delivered instead."""
        self._by_address: dict[str, Core] = {}
        self._scheduled: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()
        self._exchanges = itertools.count(1)
        self._runs = CoreRuns(self)

    def add(
        self,
        name: str,
        service: str,
        data_centre: str = "dc1",
        region: str = "region1",
        backend_server: CoreBackendServer | None = None,
        limits: BackendServerLimits | None = None,
        **settings: Any,
    ) -> Core:
        """Add and start a core.

        The daemon's settings contain `limits`. The default is the slots of the
        simulated backend server, and at most 4 cold slots.
        """
        fake = backend_server or CoreBackendServer()
        declared = limits or BackendServerLimits(fake.slots, min(4, fake.slots))
        port = FIRST_PORT + len(self.by_name)
        daemon_settings = DaemonSettings(
            name=name,
            instance=f"instance-{name}",
            region=region,
            data_centre=data_centre,
            service=service,
            link_address=f"127.0.0.1:{port}",
            caller_address=f"127.0.1.1:{port}",
            operator_address=f"127.0.2.1:{port}",
            fleet_secret="fleet-secret-of-the-cores",
            operator_credential="operator-credential-of-the-cores",
            backend_server=BackendServerSettings(
                f"127.0.3.1:{port}",
                declared.slots,
                declared.cold_slots,
                declared.cold_start_s,
                declared.connections,
            ),
            store=StoreSettings("127.0.4.1:8500"),
            **settings,
        )
        core = Core(daemon_settings, self._compose(daemon_settings), fake)
        self.by_name[name] = core
        self._by_address[core.address] = core
        self._start(core)
        return core

    def _compose(self, settings: DaemonSettings) -> Composition:
        incarnation = 1 + int(self.now * 1000)
        return compose(settings, incarnation, random.Random(self.rng.getrandbits(64)))

    def _start(self, core: Core) -> None:
        self.report(core, Started())
        self._tick(core, core.composition)

    def _tick(self, core: Core, composition: Composition) -> None:
        if not core.is_up or core.composition is not composition:
            return
        if not core.is_paused:
            self.report(core, Tick())
        self.at(self.now + TICK_SECONDS, lambda: self._tick(core, composition))

    def crash(self, name: str) -> None:
        """Stop a core without shutdown; its peers' links to it go down."""
        core = self.by_name[name]
        core.is_up = False
        core.is_paused = False
        core.backlog.clear()
        core.open_links.clear()
        core.reply_by_exchange.clear()
        core.on_reply_by_exchange.clear()
        for other in self.by_name.values():
            self._lose_link(other, core.address, is_refused=False)

    def restart(self, name: str) -> None:
        """Restart a crashed core with empty state."""
        core = self.by_name[name]
        core.composition = self._compose(core.settings)
        core.is_up = True
        self._start(core)

    def pause(self, name: str) -> None:
        """Suspend a core; its events are queued."""
        self.by_name[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a suspended core and deliver the queued events."""
        core = self.by_name[name]
        core.is_paused = False
        backlog, core.backlog = core.backlog, []
        for event in backlog:
            self.report(core, event)

    def cut(self, left: str, right: str) -> None:
        """Drop messages between two cores in both directions."""
        self.cut_pairs |= {(left, right), (right, left)}

    def drop_links(self, left: str, right: str) -> None:
        """Close the links between two cores; messages in flight are still delivered."""
        one, other = self.by_name[left], self.by_name[right]
        self._lose_link(one, other.address, is_refused=False)
        self._lose_link(other, one.address, is_refused=False)

    def heal(self) -> None:
        """Remove all cuts between cores and from the store."""
        self.cut_pairs.clear()
        self.cut_from_store.clear()

    def at(self, time: float, action: Callable[[], object]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._scheduled, (time, next(self._sequence), action))

    def run_until(self, time: float) -> None:
        """Run scheduled actions up to a time and advance the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= time:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
        self.now = time

    def run_for(self, seconds: float) -> None:
        """Advance the clock by some seconds."""
        self.run_until(self.now + seconds)

    def call(
        self,
        name: str,
        path: str,
        headers: dict[str, str] | None = None,
        method: str = "GET",
        body: bytes = b"",
        on_reply: Callable[[CallerReply], None] | None = None,
    ) -> CallerReply:
        """Send a caller's request to a core.

        The fields of the returned reply are set once the core replies.
        """
        core = self.by_name[name]
        exchange = next(self._exchanges)
        reply = CallerReply(self.now)
        core.reply_by_exchange[exchange] = reply
        if on_reply is not None:
            core.on_reply_by_exchange[exchange] = on_reply
        event = CallReceived(exchange, method, path, headers or {}, body, "caller")
        self.report(core, event)
        return reply

    def send_operator_request(self, name: str, request: Any) -> int:
        """Send an operator's request and return its exchange.

        The reply appears in the core's `reply_by_operator_exchange`.
        """
        exchange = next(self._exchanges)
        self.report(self.by_name[name], OperatorCallReceived(exchange, request))
        return exchange

    def disconnect_caller(self, name: str, reply: CallerReply) -> None:
        """Close a caller's connection before the reply."""
        core = self.by_name[name]
        for exchange, waiting in list(core.reply_by_exchange.items()):
            if waiting is reply:
                del core.reply_by_exchange[exchange]
                core.on_reply_by_exchange.pop(exchange, None)
                self.report(core, CallerGone(exchange))

    def report(self, core: Core, event: Event) -> None:
        """Deliver an event to a core and execute the effects."""
        if not core.is_up:
            return
        if core.is_paused:
            core.backlog.append(event)
            return
        clock = core.clock_offset + core.clock_rate * self.now
        for effect in core.composition.node.handle(event, clock):
            self._execute(core, effect)

    def _execute(self, core: Core, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self._send(core, effect)
            case OpenLink():
                self._open_link(core, effect.peer)
            case ReplyToCaller():
                self._reply(core, effect)
            case ReplyToOperator(exchange, reply):
                core.reply_by_operator_exchange[exchange] = reply
            case RunOnBackendServer():
                self._runs.run(core, effect)
            case CancelRun():
                self._runs.cancel(core, effect.run)
            case StoreCall():
                self._call_store(core, effect)
            case HandlerFailed() if not self.has_injected_faults:
                raise effect.error
            case WakeAt():
                real = (effect.time - core.clock_offset) / core.clock_rate
                at = max(self.now, real)
                self.at(at, self.reporting(core, Tick()))
            case _:
                core.other_effects.append(effect)

    def reporting(self, core: Core, event: Event) -> Callable[[], None]:
        """Return an action that delivers an event unless the core was restarted."""
        composition = core.composition

        def report() -> None:
            if core.composition is composition:
                self.report(core, event)

        return report

    def _send(self, core: Core, effect: SendMessage) -> None:
        self.messages_sent += 1
        peer, message = effect.peer, effect.message
        other = self._by_address.get(peer)
        if other is core:
            self.at(self.now, self.reporting(core, MessageReceived(peer, message)))
            return
        if other is None or not other.is_up:
            at = self.now + self.delay
            self.at(at, self.reporting(core, SendFailed(peer, message)))
            self.at(at, self.reporting(core, LinkDown(peer, is_refused=True)))
            return
        self._open_link(core, peer)
        if (core.name, other.name) in self.cut_pairs or self.rng.random() < self.loss:
            return
        for arriving in self.alter(message):
            event = MessageReceived(core.address, arriving)
            at = self.now + self.delay_of(core, other)
            self.at(at, self.reporting(other, event))
            if self.duplication and self.rng.random() < self.duplication:
                later = at + self.rng.expovariate(1.0)
                self.at(later, self.reporting(other, event))

    def _open_link(self, core: Core, peer: str) -> None:
        other = self._by_address.get(peer)
        if other is None or not other.is_up:
            self.at(self.now, self.reporting(core, LinkDown(peer, is_refused=True)))
        elif peer not in core.open_links:
            core.open_links.add(peer)
            identity = other.composition.identity
            event = LinkUp(peer, identity.name, identity.incarnation)
            self.at(self.now + self.delay, self.reporting(core, event))

    def _lose_link(self, core: Core, peer: str, is_refused: bool) -> None:
        if peer in core.open_links:
            core.open_links.discard(peer)
            event = LinkDown(peer, is_refused)
            self.at(self.now + self.delay, self.reporting(core, event))

    def _reply(self, core: Core, effect: ReplyToCaller) -> None:
        reply = core.reply_by_exchange.pop(effect.exchange, None)
        if reply is None:
            return
        reply.status = effect.status
        reply.headers = effect.headers
        reply.body = effect.body
        reply.replied_at = self.now
        on_reply = core.on_reply_by_exchange.pop(effect.exchange, None)
        if on_reply is not None:
            on_reply(reply)

    def _call_store(self, core: Core, effect: StoreCall) -> None:
        if core.name in self.cut_from_store:
            error = StoreError("store", "store", "cut", StoreFault.UNAVAILABLE)
            event = StoreAnswered(effect.call, Err(error))
            self.at(self.now + self.delay, self.reporting(core, event))
            return

        def on_result(result: Ok[Any] | Err[StoreError]) -> None:
            event = StoreAnswered(effect.call, result)
            self.at(self.now + self.delay, self.reporting(core, event))

        self.store.call(effect.operation, self, on_result)
