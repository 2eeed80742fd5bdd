"""Indexed table of an entry's pending calls."""

import heapq
from collections.abc import Iterator
from typing import TypeVar

from knapweedlead.calls._pending import PendingCall
from knapweedlead.messages import CallAnswer, CallRefusal, CallRequest

K = TypeVar("K")

_BUCKET_SECONDS = 0.1
_MAX_UNDECIDED = 10_000


class PendingCalls:
    """Pending calls, indexed by call, exchange, peer, parent run and deadline."""

    def __init__(self) -> None:
        self.by_call_id: dict[int, PendingCall] = {}
        self.by_exchange: dict[int, PendingCall] = {}
        self._by_peer: dict[str, dict[int, PendingCall]] = {}
        self._by_parent_run: dict[int, dict[int, PendingCall]] = {}
        self._by_deadline_bucket: dict[int, dict[int, PendingCall]] = {}
        self._undecided: dict[int, PendingCall] = {}
        self._retries: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of pending calls."""
        return len(self.by_call_id)

    def add(self, call: PendingCall) -> None:
        """Add a call to the indexes that do not depend on its attempts."""
        self.by_call_id[call.call_id] = call
        self.by_exchange[call.event.exchange] = call
        bucket = self._by_deadline_bucket.setdefault(_bucket(call.deadline), {})
        bucket[call.call_id] = call
        if call.parent is not None:
            children = self._by_parent_run.setdefault(call.parent.run, {})
            children[call.call_id] = call

    def remove(self, call: PendingCall) -> None:
        """Remove a call from every index."""
        self.by_call_id.pop(call.call_id, None)
        self.by_exchange.pop(call.event.exchange, None)
        _discard(self._by_deadline_bucket, _bucket(call.deadline), call)
        if call.parent is not None:
            _discard(self._by_parent_run, call.parent.run, call)
        self.detach(call)

    def attach(self, call: PendingCall) -> None:
        """Index the attempt in flight by its peer."""
        self._by_peer.setdefault(call.peer, {})[call.call_id] = call

    def detach(self, call: PendingCall) -> None:
        """Remove the attempt in flight from the peer index."""
        if call.server is not None:
            _discard(self._by_peer, call.peer, call)

    def find_in_flight(
        self, peer: str, message: CallAnswer | CallRefusal | CallRequest
    ) -> PendingCall | None:
        """Return the call whose attempt in flight a message refers to.

        None if the attempt, the peer or the request ID does not match.
        """
        call = self.by_call_id.get(message.call_id)
        if call is None or call.server is None or call.attempt != message.attempt:
            return None
        if call.peer != peer or call.request_id != message.request_id:
            return None
        return call

    def of_peer(self, peer: str) -> list[PendingCall]:
        """Return the calls with an attempt in flight at a peer."""
        return list(self._by_peer.get(peer, {}).values())

    def of_parent(self, run: int) -> list[PendingCall]:
        """Return the child calls of a run."""
        return list(self._by_parent_run.get(run, {}).values())

    def expired(self, now: float) -> list[PendingCall]:
        """Return the calls whose deadline has passed."""
        last = _bucket(now)
        buckets = [
            b for number, b in self._by_deadline_bucket.items() if number <= last
        ]
        return [call for b in buckets for call in b.values() if call.deadline <= now]

    def schedule_retry(self, call: PendingCall, at: float) -> None:
        """Schedule the next attempt of a call."""
        heapq.heappush(self._retries, (at, call.call_id))

    def due_retries(self, now: float) -> Iterator[PendingCall]:
        """Remove due attempts from the schedule and yield their calls."""
        while self._retries and self._retries[0][0] <= now:
            _, call_id = heapq.heappop(self._retries)
            call = self.by_call_id.get(call_id)
            if call is not None:
                yield call

    def keep_undecided(self, call: PendingCall) -> None:
        """Keep a call that ended before its token or key was decided.

        A token granted later is refunded, and a key granted later is released.
        When more than a fixed number of calls is kept, the oldest is dropped.
        """
        self._undecided[call.call_id] = call
        if len(self._undecided) > _MAX_UNDECIDED:
            del self._undecided[next(iter(self._undecided))]

    def pop_undecided(self, call_id: int) -> PendingCall | None:
        """Remove and return a call kept by `keep_undecided`."""
        return self._undecided.pop(call_id, None)


def _bucket(time: float) -> int:
    return int(time / _BUCKET_SECONDS)


def _discard(index: dict[K, dict[int, PendingCall]], key: K, call: PendingCall) -> None:
    calls = index.get(key)
    if calls is None:
        return
    calls.pop(call.call_id, None)
    if not calls:
        del index[key]
