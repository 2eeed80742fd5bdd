"""Open-loop load: arrivals do not wait for answers."""

import asyncio
import itertools
import json
import random
import time
from typing import Any

import attrs

from knapweedlead.calls import AUTHORIZATION, DEADLINE, IDEMPOTENCY_KEY
from knapweedlead.http import BackendServerClient
from knapweedlead.load._keys import make_idempotency_key
from knapweedlead.load._plan import LoadPlan, StreamPlan
from knapweedlead.load._records import (
    OUTCOME_ANSWERED,
    OUTCOME_FAILED,
    OUTCOME_NOT_SENT,
    CallRecord,
)

MAX_CONNECTIONS_PER_TARGET = 4000

_FIRST_ERROR = 400
_MS_PER_S = 1000


@attrs.frozen
class _Answer:
    status: int
    body: bytes
    is_cut: bool = False


class LoadGenerator:
    """Sends the streams of a plan and records each call.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.records: list[CallRecord] = []
        self._rng = random.Random(plan.seed)
        self._runs = itertools.count(1)
        self._waiting_by_run: dict[int, asyncio.Future[_Answer]] = {}
        self._outstanding = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0
        self._clients = [
            BackendServerClient(
                target,
                MAX_CONNECTIONS_PER_TARGET,
                lambda run, answer: self._answered(
                    run, _Answer(answer.status, answer.body)
                ),
                lambda run, was_sent, detail: self._answered(
                    run, _Answer(0, detail.encode(), was_sent)
                ),
            )
            for target in plan.targets
        ]

    async def run(self) -> list[CallRecord]:
        """Send everything, wait for the last answers, return the records."""
        self._started_at = time.monotonic()
        await asyncio.gather(*(self._arrive(stream) for stream in self.plan.streams))
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        for client in self._clients:
            client.close()
        return self.records

    @property
    def elapsed(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    async def _arrive(self, stream: StreamPlan) -> None:
        rng = random.Random(f"{self.plan.seed}/{stream.name}")
        arrival = 0.0
        while True:
            rate = stream.rate_at(arrival)
            arrival += rng.expovariate(rate) if rate else self.plan.duration_s
            if arrival >= self.plan.duration_s:
                return
            await asyncio.sleep(max(0.0, arrival - self.elapsed))
            self._begin(stream, rng)

    def _begin(self, stream: StreamPlan, rng: random.Random) -> None:
        record = CallRecord(stream.name, self.elapsed)
        self.records.append(record)
        if self._outstanding >= self.plan.max_outstanding:
            record.outcome = OUTCOME_NOT_SENT
            return
        self._outstanding += 1
        task = asyncio.ensure_future(self._call(stream, record, rng))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, stream: StreamPlan, record: CallRecord, rng: random.Random
    ) -> None:
        headers = self._headers(stream, rng)
        client: BackendServerClient | None = None
        try:
            for attempt in range(stream.retries + 1):
                record.retries = attempt
                client = self._next_target(client)
                answer = await self._attempt(client, stream, headers)
                self._take_down(record, answer)
                if record.outcome == OUTCOME_ANSWERED:
                    return
                mean = stream.retry_delay_ms / _MS_PER_S
                if attempt < stream.retries:
                    await asyncio.sleep(rng.uniform(0.5, 1.5) * mean)
        finally:
            self._outstanding -= 1

    def _headers(self, stream: StreamPlan, rng: random.Random) -> dict[str, str]:
        headers = {}
        if stream.key:
            headers[AUTHORIZATION] = f"Bearer {stream.key}"
        if stream.deadline_ms:
            headers[DEADLINE] = str(stream.deadline_ms)
        if stream.sends_idempotency_key:
            headers[IDEMPOTENCY_KEY] = make_idempotency_key(time.time(), rng)
        return headers

    def _next_target(self, failed: BackendServerClient | None) -> BackendServerClient:
        """Return a random target, another one than that which has just failed."""
        others = [client for client in self._clients if client is not failed]
        return self._rng.choice(others or self._clients)

    async def _attempt(
        self, client: BackendServerClient, stream: StreamPlan, headers: dict[str, str]
    ) -> _Answer:
        run = next(self._runs)
        waiting = asyncio.get_running_loop().create_future()
        self._waiting_by_run[run] = waiting
        client.run(
            run,
            stream.method,
            stream.path,
            headers,
            b"x" * stream.body_bytes,
            self.plan.timeout_s,
        )
        return await waiting

    def _answered(self, run: int, answer: _Answer) -> None:
        waiting = self._waiting_by_run.pop(run, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _take_down(self, record: CallRecord, answer: _Answer) -> None:
        record.latency = self.elapsed - record.started_at
        record.status = answer.status
        record.outcome = _outcome_of(answer)
        record.cuts += answer.is_cut


def _outcome_of(answer: _Answer) -> str:
    if not answer.status:
        return OUTCOME_FAILED
    if answer.status < _FIRST_ERROR:
        return OUTCOME_ANSWERED
    try:
        document: Any = json.loads(answer.body)
        return str(document["reason"])
    except (ValueError, KeyError, TypeError):
        return f"status_{answer.status}"
