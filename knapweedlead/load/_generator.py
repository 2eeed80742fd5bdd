"""Open-loop load generator: arrivals do not depend on responses."""

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
class _Response:
    status: int
    body: bytes
    connection_lost: bool = False


class LoadGenerator:
    """Sends the streams of a plan and records each call.

    Parameters
    ----------
    plan : LoadPlan
        Targets and streams.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.records: list[CallRecord] = []
        self._rng = random.Random(plan.seed)
        self._run_ids = itertools.count(1)
        self._pending_by_run: dict[int, asyncio.Future[_Response]] = {}
        self._outstanding = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0
        self._clients = [
            BackendServerClient(
                target,
                MAX_CONNECTIONS_PER_TARGET,
                lambda run, response: self._complete_attempt(
                    run, _Response(response.status, response.body)
                ),
                lambda run, was_sent, detail: self._complete_attempt(
                    run, _Response(0, detail.encode(), was_sent)
                ),
            )
            for target in plan.targets
        ]

    async def run(self) -> list[CallRecord]:
        """Send all streams, wait for outstanding calls and return the records."""
        self._started_at = time.monotonic()
        await asyncio.gather(
            *(self._generate_arrivals(stream) for stream in self.plan.streams)
        )
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        for client in self._clients:
            client.close()
        return self.records

    @property
    def elapsed(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    async def _generate_arrivals(self, stream: StreamPlan) -> None:
        rng = random.Random(f"{self.plan.seed}/{stream.name}")
        arrival = 0.0
        while True:
            rate = stream.rate_at(arrival)
            arrival += rng.expovariate(rate) if rate else self.plan.duration_s
            if arrival >= self.plan.duration_s:
                return
            await asyncio.sleep(max(0.0, arrival - self.elapsed))
            self._start_call(stream, rng)

    def _start_call(self, stream: StreamPlan, rng: random.Random) -> None:
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
                response = await self._attempt(client, stream, headers)
                self._record_attempt(record, response)
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
        """Return a random target other than the failed one, if there is another."""
        others = [client for client in self._clients if client is not failed]
        return self._rng.choice(others or self._clients)

    async def _attempt(
        self, client: BackendServerClient, stream: StreamPlan, headers: dict[str, str]
    ) -> _Response:
        run = next(self._run_ids)
        pending = asyncio.get_running_loop().create_future()
        self._pending_by_run[run] = pending
        client.run(
            run,
            stream.method,
            stream.path,
            headers,
            b"x" * stream.body_bytes,
            self.plan.timeout_s,
        )
        return await pending

    def _complete_attempt(self, run: int, response: _Response) -> None:
        pending = self._pending_by_run.pop(run, None)
        if pending is not None and not pending.done():
            pending.set_result(response)

    def _record_attempt(self, record: CallRecord, response: _Response) -> None:
        record.latency = self.elapsed - record.started_at
        record.status = response.status
        record.outcome = _classify_response(response)
        record.cuts += response.connection_lost


def _classify_response(response: _Response) -> str:
    if not response.status:
        return OUTCOME_FAILED
    if response.status < _FIRST_ERROR:
        return OUTCOME_ANSWERED
    try:
        document: Any = json.loads(response.body)
        return str(document["reason"])
    except (ValueError, KeyError, TypeError):
        return f"status_{response.status}"
