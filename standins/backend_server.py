"""Fake backend server with slots, cold start, child calls and a request journal.

``GET /standin/journal`` returns every request received. ``PUT /standin/behaviour``
updates fields of the `Behaviour` while the server runs.
"""

import asyncio
import itertools
import json
import random
import signal
import time
from typing import Any

import attrs
import fire
import uvloop

from knapweedlead.calls import DEADLINE, IDEMPOTENCY_KEY, PARENT
from knapweedlead.http import BackendServerClient, CallerServer, HttpRequest
from knapweedlead.telemetry import configure_logs, get_logger

_OK = 200

MAX_CHILD_CONNECTIONS = 1000

CONTROL_PREFIX = "/standin/"


@attrs.define
class Behaviour:
    """Configurable behaviour of the fake backend server.

    Parameters
    ----------
    slots : int
        Requests that run concurrently; further requests wait in the server.
    service_s : float
        Mean service time in seconds; service times are uniformly distributed between
        0.5 and 1.5 times the mean.
    cold_slots : int
        Requests that run concurrently while cold; further requests get status 500.
    cold_s : float
        Seconds after the start during which the server is cold.
    failure_share : float
        Share of requests answered immediately with status 500.
    child_paths : list of str
        Paths called through the local daemon, in order, for each request.
    """

    slots: int = 16
    service_s: float = 0.005
    cold_slots: int = 4
    cold_s: float = 0.0
    failure_share: float = 0.0
    child_paths: list[str] = attrs.field(factory=list)


@attrs.define
class JournalEntry:
    """A received request; times are in seconds since the start of the server."""

    number: int
    method: str
    path: str
    headers: dict[str, str]
    started_at: float
    ended_at: float = 0.0
    status: int = 0


class BackendServerStandin:
    """HTTP server that simulates a backend server.

    Parameters
    ----------
    name : str
        Returned in each answer.
    daemon_address : str
        Caller address of the local daemon, for child calls.
    behaviour : Behaviour
        Initial behaviour.
    rng : random.Random
        Source of service times and failures.
    """

    def __init__(
        self, name: str, daemon_address: str, behaviour: Behaviour, rng: random.Random
    ) -> None:
        self.name = name
        self.log = get_logger(backend_server=name)
        self.behaviour = behaviour
        self.rng = rng
        self.journal: list[JournalEntry] = []
        self.most_running = 0
        self._numbers = itertools.count(1)
        self._started_at = time.monotonic()
        self._running = 0
        self._slot_freed = asyncio.Condition()
        self._task_by_exchange: dict[int, asyncio.Task[None]] = {}
        self._children: dict[int, asyncio.Future[tuple[int, bytes]]] = {}
        self._child_runs = itertools.count(1)
        self.server = CallerServer(
            self._on_request,
            self._on_disconnect,
            lambda reason: (400, {}, reason.encode()),
        )
        self.daemon = BackendServerClient(
            daemon_address,
            MAX_CHILD_CONNECTIONS,
            lambda run, answer: self._end_child(run, answer.status, answer.body),
            lambda run, was_sent, detail: self._end_child(run, 0, detail.encode()),
        )

    def _on_request(self, request: HttpRequest) -> None:
        if request.path.startswith(CONTROL_PREFIX):
            self._control(request)
            return
        task = asyncio.ensure_future(self._serve(request))
        self._task_by_exchange[request.exchange] = task
        task.add_done_callback(
            lambda done: self._task_by_exchange.pop(request.exchange, None)
        )

    def _on_disconnect(self, exchange: int) -> None:
        task = self._task_by_exchange.get(exchange)
        if task is not None:
            task.cancel()

    def _control(self, request: HttpRequest) -> None:
        if request.path == CONTROL_PREFIX + "behaviour":
            changes = json.loads(request.body)
            self.behaviour = attrs.evolve(self.behaviour, **changes)
        document = {
            "entries": [attrs.asdict(entry) for entry in self.journal],
            "most_running": self.most_running,
        }
        body = json.dumps(document).encode()
        headers = {"content-type": "application/json"}
        self.server.reply(request.exchange, 200, headers, body)

    async def _serve(self, request: HttpRequest) -> None:
        entry = JournalEntry(
            next(self._numbers),
            request.method,
            request.path,
            request.headers,
            time.monotonic() - self._started_at,
        )
        self.journal.append(entry)
        try:
            status, document = await self._work(request)
        finally:
            entry.ended_at = time.monotonic() - self._started_at
        entry.status = status
        if status != _OK:
            detail = json.dumps(document)
            self.log.warning("failed", path=request.path, status=status, detail=detail)
        body = json.dumps(document).encode()
        headers = {"content-type": "application/json"}
        self.server.reply(request.exchange, status, headers, body)

    async def _work(self, request: HttpRequest) -> tuple[int, dict[str, Any]]:
        behaviour = self.behaviour
        if self.rng.random() < behaviour.failure_share:
            return 500, {"server": self.name, "error": "failing"}
        if self._is_overloaded_while_cold():
            return 500, {"server": self.name, "error": "cold"}
        async with self._slot_freed:
            await self._slot_freed.wait_for(
                lambda: self._running < self.behaviour.slots
            )
            self._running += 1
            self.most_running = max(self.most_running, self._running)
        try:
            await asyncio.sleep(behaviour.service_s * self.rng.uniform(0.5, 1.5))
            children = [
                await self._call_child(p, request) for p in behaviour.child_paths
            ]
        finally:
            self._running -= 1
            async with self._slot_freed:
                self._slot_freed.notify()
        failed = [child for child in children if child["status"] != 200]
        document = {
            "server": self.name,
            "path": request.path,
            "echo": len(request.body),
            "children": children,
        }
        return (502 if failed else 200), document

    def _is_overloaded_while_cold(self) -> bool:
        age = time.monotonic() - self._started_at
        is_cold = age < self.behaviour.cold_s
        return is_cold and self._running >= self.behaviour.cold_slots

    async def _call_child(self, path: str, request: HttpRequest) -> dict[str, Any]:
        names = (PARENT, DEADLINE, IDEMPOTENCY_KEY, "traceparent")
        headers = {n: request.headers[n] for n in names if n in request.headers}
        run = next(self._child_runs)
        future = asyncio.get_running_loop().create_future()
        self._children[run] = future
        timeout = int(request.headers.get(DEADLINE, "5000")) / 1000
        try:
            self.daemon.run(run, "GET", path, headers, b"", timeout)
            status, body = await future
        except asyncio.CancelledError:
            self.daemon.cancel(run)
            raise
        finally:
            self._children.pop(run, None)
        try:
            return {"status": status, "answer": json.loads(body)}
        except ValueError:
            return {"status": status, "answer": body.decode("latin-1")}

    def _end_child(self, run: int, status: int, body: bytes) -> None:
        future = self._children.get(run)
        if future is not None and not future.done():
            future.set_result((status, body))


async def _serve(address: str, standin: BackendServerStandin) -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await standin.server.start(address)
    await stopped.wait()


def serve(
    address: str, daemon_address: str, name: str, behaviour: str = "{}", seed: int = 1
) -> None:
    """Serve a fake backend server at ``IP:PORT`` until SIGTERM.

    Parameters
    ----------
    address, daemon_address : str
        ``IP:PORT`` of this server and of the caller listener of its daemon.
    name : str
        Returned in each answer.
    behaviour : str
        JSON object of `Behaviour` fields.
    seed : int
        Seed of service times and failures.
    """
    configure_logs("warning")
    fields = json.loads(behaviour) if isinstance(behaviour, str) else behaviour

    async def run() -> None:
        standin = BackendServerStandin(
            name, daemon_address, Behaviour(**fields), random.Random(seed)
        )
        await _serve(address, standin)

    uvloop.run(run())


if __name__ == "__main__":
    fire.Fire(serve)
