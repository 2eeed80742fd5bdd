"""Imperative shell of the daemon: feeds events to the node and executes its effects."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from result import Err

from knapweedlead.calls import problem_reply
from knapweedlead.daemon._composition import Composition
from knapweedlead.daemon._gauges import read_gauges
from knapweedlead.http import BackendServerClient, CallerServer, HttpRequest
from knapweedlead.messages import Message
from knapweedlead.node import (
    CallerGone,
    CallReceived,
    CancelRun,
    CloseLink,
    Count,
    Effect,
    Event,
    HandlerFailed,
    LinkDown,
    LinkUp,
    LogEvent,
    MessageReceived,
    Observe,
    OpenLink,
    ReplyToCaller,
    RunAnswered,
    RunFailed,
    RunOnBackendServer,
    SendFailed,
    SendMessage,
    ShutdownRequested,
    Started,
    StoreAnswered,
    StoreCall,
    Tick,
    WakeAt,
)
from knapweedlead.requests import RefusalReason
from knapweedlead.settings import DaemonSettings
from knapweedlead.store import HttpStore
from knapweedlead.telemetry import Metrics, get_logger
from knapweedlead.transport import LinkTable

TICK_SECONDS = 0.1


class Shell:
    """Runs one node on one event loop.

    The node computes effects without doing any I/O. The shell owns the sockets, the
    timers and the store client, passes their input to the node as events, and executes
    the effects that the node returns.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    composition : Composition
        The node and its roles.
    """

    def __init__(self, settings: DaemonSettings, composition: Composition) -> None:
        self.settings = settings
        self.composition = composition
        self.node = composition.node
        self.metrics = Metrics(settings.name, lambda: read_gauges(self))
        self.log = get_logger(daemon=settings.name)
        self.callers = CallerServer(
            self._on_caller_request, self._on_caller_gone, self._on_refused_request
        )
        self.links = LinkTable(
            composition.identity,
            settings.fleet_secret,
            self._on_message,
            lambda peer, name, start: self.report(LinkUp(peer, name, start)),
            lambda peer, is_refused: self.report(LinkDown(peer, is_refused)),
            lambda peer, message: self.report(SendFailed(peer, message)),
            self._on_link_error,
        )
        self.backend_server = BackendServerClient(
            settings.backend_server.address,
            settings.backend_server.connections,
            lambda run, answer: self.report(
                RunAnswered(run, answer.status, answer.headers, answer.body)
            ),
            lambda run, was_sent, detail: self.report(RunFailed(run, was_sent, detail)),
        )
        self.store = HttpStore(settings.store.address, settings.store.timeout_s)
        self._tasks: set[asyncio.Task[None]] = set()
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._executor_by_effect: dict[type, Callable[[Any], None]] = {
            SendMessage: self._send_message,
            OpenLink: lambda effect: self.links.open(effect.peer),
            CloseLink: lambda effect: self.links.close(effect.peer),
            ReplyToCaller: self._reply,
            RunOnBackendServer: self._run,
            CancelRun: lambda effect: self.backend_server.cancel(effect.run),
            StoreCall: self._call_store,
            WakeAt: self._wake_at,
            Count: self.metrics.count,
            Observe: self.metrics.observe,
            LogEvent: self._log_event,
            HandlerFailed: self._record_failed_handler,
        }

    async def start(self) -> None:
        """Open all listeners and start the node."""
        await self.links.start(self.settings.link_address)
        await self.callers.start(self.settings.caller_address)
        self.report(Started())
        self._spawn(self._tick())
        self.log.info("started", caller_address=self.settings.caller_address)

    async def stop(self) -> None:
        """Close all listeners and connections."""
        await self.callers.stop()
        await self.links.stop()
        self.backend_server.close()
        for task in self._tasks:
            task.cancel()
        self.log.info("stopped")

    def stop_listening(self) -> None:
        """Accept no new caller connections; open connections are still served."""
        self.callers.stop_listening()

    @property
    def has_callers(self) -> bool:
        """Whether any caller connection is open."""
        return self.callers.open_connections > 0

    async def close_caller_connections(self) -> None:
        """Close the caller connections, each once it is idle."""
        await self.callers.stop()

    @property
    def is_idle(self) -> bool:
        """Whether no exchange is open and no role has unfinished work."""
        return self.callers.open_exchanges == 0 and self.node.is_idle

    def request_shutdown(self) -> None:
        """Shut the node down, and close each caller connection on its next reply."""
        self.callers.announce_close()
        self.report(ShutdownRequested())

    def report(self, event: Event) -> None:
        """Pass an event to the node and execute the resulting effects.

        An event reported while an effect is executed is queued, and handled after
        the remaining effects of the current event.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        while self._events:
            self._handle(self._events.popleft())
        self._is_handling = False

    def _handle(self, event: Event) -> None:
        """Handle one event; an exception is logged and does not affect other events."""
        try:
            effects = self.node.handle(event, time.monotonic())
        except Exception:
            self._record_failure("node.handle", event)
            return
        for effect in effects:
            try:
                self._executor_by_effect[type(effect)](effect)
            except Exception:
                self._record_failure("shell.execute", effect)

    def _record_failure(self, step: str, subject: Any) -> None:
        self.metrics.count(Count("knapweedlead.events.failed"))
        kind = type(subject).__name__
        self.log.error("event_failed", step=step, kind=kind, exc_info=True)

    def _record_failed_handler(self, effect: HandlerFailed) -> None:
        self.metrics.count(Count("knapweedlead.events.failed"))
        kind = type(effect.event).__name__
        self.log.error(
            "event_failed", step=effect.handler, kind=kind, exc_info=effect.error
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            self.report(Tick())
            await asyncio.sleep(TICK_SECONDS)

    def _wake_at(self, effect: WakeAt) -> None:
        delay = max(0.0, effect.time - time.monotonic())
        asyncio.get_running_loop().call_later(delay, self.report, Tick())

    def _on_caller_request(self, request: HttpRequest) -> None:
        self.report(
            CallReceived(
                exchange=request.exchange,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                peer=request.peer,
            )
        )

    def _on_caller_gone(self, exchange: int) -> None:
        self.report(CallerGone(exchange))

    def _on_refused_request(self, reason: str) -> tuple[int, dict[str, str], bytes]:
        self.metrics.count(Count("knapweedlead.refusals", (("reason", reason),)))
        reply = problem_reply(0, RefusalReason(reason))
        return reply.status, reply.headers, reply.body

    def _on_message(self, peer: str, message: Message) -> None:
        self.report(MessageReceived(peer, message))

    def _on_link_error(self, error: Any) -> None:
        self.metrics.count(Count("knapweedlead.link.errors", (("step", error.step),)))
        self.log.warning(
            "link_error", step=error.step, peer=error.peer, detail=error.detail
        )

    def _send_message(self, effect: SendMessage) -> None:
        local_address = self.settings.link_address
        if effect.peer != local_address:
            self.links.send(effect.peer, effect.message)
            return
        self.report(MessageReceived(local_address, effect.message))

    def _reply(self, effect: ReplyToCaller) -> None:
        self.callers.reply(effect.exchange, effect.status, effect.headers, effect.body)

    def _run(self, effect: RunOnBackendServer) -> None:
        self.backend_server.run(
            effect.run,
            effect.method,
            effect.path,
            effect.headers,
            effect.body,
            effect.timeout,
        )

    def _call_store(self, effect: StoreCall) -> None:
        self._spawn(self._call_store_and_report(effect))

    async def _call_store_and_report(self, effect: StoreCall) -> None:
        result = await self.store.call(effect.operation)
        outcome = result.err_value.fault.value if isinstance(result, Err) else "ok"
        operation = type(effect.operation).__name__
        labels = (("operation", operation), ("outcome", outcome))
        self.metrics.count(Count("knapweedlead.store.calls", labels))
        self.report(StoreAnswered(effect.call, result))

    def _log_event(self, effect: LogEvent) -> None:
        self.log.info(effect.event, **dict(effect.fields))

    def add_executor(
        self, effect_class: type[Effect], executor: Callable[[Any], None]
    ) -> None:
        """Register the function that executes the effects of a class."""
        self._executor_by_effect[effect_class] = executor
