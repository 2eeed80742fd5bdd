"""Client of the platform's metadata store."""

import asyncio
import itertools
import json
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, TypeVar
from urllib.parse import urlencode

import attrs
from result import Err, Ok, Result

from knapweedlead.checks import check_amount, check_count, check_list, describe
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.http import BackendServerClient, HttpAnswer
from knapweedlead.mesh import (
    DepartedStart,
    FleetChange,
    FleetState,
    LeaseGrant,
    Member,
    StorePurpose,
    apply_change,
)
from knapweedlead.platform._keys import (
    DEPARTURE_PREFIX,
    decode_changes,
    encode_departure,
    encode_member,
    encode_removal,
    encode_roster_entry,
)
from knapweedlead.positions import EraTracker, StorePosition

WATCH_MARGIN = 1.0
"""Minimum seconds allowed for the answer to a watch beyond the requested wait."""
MAX_CONNECTIONS = 8
ERA_HEADER = "store-era"

_MS_PER_S = 1000.0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_GONE = 410


_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

_Decoded = TypeVar("_Decoded")


@attrs.frozen
class _Reply:
    document: Any
    era: int


@attrs.frozen
class _Page:
    entries: list[dict[str, Any]]
    position: StorePosition
    next_after: str


class PlatformStore:
    """Typed calls to the store, each reported with its purpose and outcome.

    An answer with an era that cannot be read, or of an older era than an earlier
    answer, is an error whose outcome is unknown.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds until a call times out. The limit of a watch is the requested wait
        plus the larger of `timeout` and `WATCH_MARGIN`.
    on_call : callable
        Called with the purpose, outcome and duration in seconds of each call.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        on_call: Callable[[StorePurpose, str, float], None],
    ) -> None:
        self.address = address
        self.timeout = timeout
        self.on_call = on_call
        self._eras = EraTracker()
        self._runs = itertools.count(1)
        self._future_by_run: dict[int, asyncio.Future[Any]] = {}
        self._client = BackendServerClient(
            address, MAX_CONNECTIONS, self._on_answer, self._on_failure
        )

    async def read_state(self) -> Result[FleetState, StoreError]:
        """Read the whole state of the fleet, page by page, within one era."""
        entries: list[dict[str, Any]] = []
        position: StorePosition | None = None
        after = ""
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            path = f"/-/kv-range?{urlencode(query, errors='surrogatepass')}"
            result = await self._call(
                "GET", path, None, StorePurpose.START, self.timeout
            )
            if isinstance(result, Err):
                return result
            decoded = self._interpret(
                "store.kv-range",
                result.ok_value,
                partial(_page_of, after=after),
            )
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            entries += page.entries
            # The pages do not form one snapshot, so the state gets the position of the
            # first page: a watch from that position misses no change.
            position = position or page.position
            if position.era != page.position.era:
                return Err(self._era_change("store.kv-range", position.era))
            if not page.next_after:
                return Ok(apply_change(FleetState(), decode_changes(entries, position)))
            after = page.next_after

    async def watch_state(
        self, after: StorePosition, wait: float
    ) -> Result[FleetChange, StoreError]:
        """Return the changes after a position; wait for them up to `wait` seconds.

        The fault is ``COMPACTED`` if the store is in another era, whose revisions are
        not those of `after`.
        """
        wait_ms = int(wait * _MS_PER_S)
        query = urlencode({"prefix": "", "after": after.revision, "waitMs": wait_ms})
        timeout = wait + max(WATCH_MARGIN, self.timeout)
        result = await self._call(
            "GET", f"/-/kv-watch?{query}", None, StorePurpose.WATCH, timeout
        )
        if isinstance(result, Err):
            return result
        if result.ok_value.era != after.era:
            return Err(self._era_change("store.kv-watch", after.era))
        return self._interpret(
            "store.kv-watch",
            result.ok_value,
            lambda reply: decode_changes(reply.document["events"], _position_of(reply)),
        )

    def _era_change(self, step: str, before: int) -> StoreError:
        detail = f"expected era {before}, got {self._eras.latest}"
        return StoreError(step, self.address, detail, StoreFault.COMPACTED)

    async def grant_lease(self, duration: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease of `duration` seconds."""
        body = {"ttlMs": int(duration * _MS_PER_S)}
        result = await self._call(
            "POST", "/-/kv-lease", body, StorePurpose.REGISTRATION, self.timeout
        )
        if isinstance(result, Err):
            return result
        return self._interpret(
            "store.kv-lease",
            result.ok_value,
            lambda reply: LeaseGrant(
                check_count(reply.document["lease"]),
                check_amount(reply.document["ttlMs"]) / _MS_PER_S,
                reply.era,
            ),
        )

    async def renew_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return the store's era.

        The fault for an expired lease is ``CONFLICT``. In a later era than that of
        the grant, the number may be that of another daemon's lease.
        """
        result = await self._call(
            "POST", f"/-/kv-keep/{lease}", None, StorePurpose.RENEWAL, self.timeout
        )
        return result.map(lambda reply: reply.era)

    async def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """Revoke a lease, which deletes its keys."""
        path = f"/-/kv-lease-end/{lease}"
        result = await self._call(
            "DELETE", path, None, StorePurpose.REGISTRATION, self.timeout
        )
        return result if isinstance(result, Err) else Ok(None)

    async def register(self, member: Member, lease: int) -> Result[int, StoreError]:
        """Register a member for as long as a lease lasts; return the store's era."""
        puts = [encode_member(member, lease), encode_roster_entry(member.name)]
        body = {"expect": [], "puts": puts, "remove": []}
        result = await self._call(
            "POST", "/-/kv-txn", body, StorePurpose.REGISTRATION, self.timeout
        )
        return result.map(lambda reply: reply.era)

    async def record_departures(
        self, by_key: dict[str, DepartedStart], outdated: Iterable[str]
    ) -> Result[None, StoreError]:
        """Record departures for good, and remove those with outdated keys."""
        body = {
            "expect": [],
            "puts": [encode_departure(key, start) for key, start in by_key.items()],
            "remove": [DEPARTURE_PREFIX + key for key in outdated],
        }
        result = await self._call(
            "POST", "/-/kv-txn", body, StorePurpose.DEPARTURE, self.timeout
        )
        return result if isinstance(result, Err) else Ok(None)

    async def forget(self, names: Iterable[str]) -> Result[None, StoreError]:
        """Remove daemons that are gone from the roster.

        The fault is ``CONFLICT`` if one of them is registered.
        """
        result = await self._call(
            "POST",
            "/-/kv-txn",
            encode_removal(names),
            StorePurpose.REGISTRATION,
            self.timeout,
        )
        return result if isinstance(result, Err) else Ok(None)

    def set_address(self, address: str) -> None:
        """Set the address of further calls; a change closes all connections."""
        if address != self.address:
            self.address = self._client.address = address
            self._client.close()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        purpose: StorePurpose,
        timeout: float,
    ) -> Result[_Reply, StoreError]:
        loop = asyncio.get_running_loop()
        run = next(self._runs)
        future = loop.create_future()
        self._future_by_run[run] = future
        started_at = loop.time()
        data = _request_bytes(method, path, self.address, body)
        self._client.send(run, data, False, timeout)
        try:
            answer = await future
        finally:
            if self._future_by_run.pop(run, None) is not None:
                self._client.cancel(run)
        result = self._decode(path, answer)
        outcome = result.err_value.fault.value if isinstance(result, Err) else "ok"
        self.on_call(purpose, outcome, loop.time() - started_at)
        return result

    def _interpret(
        self, step: str, reply: _Reply, decode: Callable[[_Reply], _Decoded]
    ) -> Result[_Decoded, StoreError]:
        """Return the decoded reply; an error if it has another form than expected."""
        try:
            return Ok(decode(reply))
        except _DECODE_ERRORS as error:
            detail = f"bad answer: {type(error).__name__}: {error}"
            fault = StoreFault.UNKNOWN_OUTCOME
            return Err(StoreError(step, self.address, detail, fault))

    def _on_answer(self, run: int, answer: HttpAnswer) -> None:
        self._resolve(run, answer)

    def _on_failure(self, run: int, was_sent: bool, detail: str) -> None:
        fault = StoreFault.UNKNOWN_OUTCOME if was_sent else StoreFault.UNAVAILABLE
        self._resolve(run, StoreError("store.call", self.address, detail, fault))

    def _resolve(self, run: int, outcome: Any) -> None:
        future = self._future_by_run.pop(run, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _decode(self, path: str, answer: Any) -> Result[_Reply, StoreError]:
        if isinstance(answer, StoreError):
            return Err(answer)
        step = "store." + path[3:].partition("?")[0].partition("/")[0]
        try:
            era = self._eras.observe(answer.headers.get(ERA_HEADER))
        except ValueError as error:
            fault = StoreFault.UNKNOWN_OUTCOME
            return Err(StoreError(step, self.address, f"bad era: {error}", fault))
        if answer.status == _OK:
            try:
                document = json.loads(answer.body) if answer.body else {}
                return Ok(_Reply(document, era))
            except (ValueError, RecursionError) as error:
                fault, detail = StoreFault.UNKNOWN_OUTCOME, f"bad answer: {error}"
        else:
            fault = _FAULT_BY_STATUS.get(answer.status, StoreFault.UNAVAILABLE)
            detail = f"status {answer.status}"
        return Err(StoreError(step, self.address, detail, fault))


def _position_of(reply: _Reply) -> StorePosition:
    return StorePosition(reply.era, check_count(reply.document["at"]))


def _page_of(reply: _Reply, after: str) -> _Page:
    return _decode_page(reply.document, after, reply.era)


def _decode_page(page: dict[str, Any], after: str, era: int) -> _Page:
    """Decode a page of items; the next one begins after its last key.

    Raises
    ------
    ValueError
        If there are more pages, but this one does not lead to the next one.
    """
    entries = check_list(page["items"])
    keys = [entry.get("key") for entry in entries if isinstance(entry, dict)]
    last = next((key for key in reversed(keys) if isinstance(key, str)), "")
    has_more = bool(page["hasMore"])
    if has_more and last in ("", after):
        raise ValueError(f"expected items after {describe(after)}, got none")
    position = StorePosition(era, check_count(page["at"]))
    return _Page(entries, position, last if has_more else "")


_FAULT_BY_STATUS = {
    _NOT_FOUND: StoreFault.CONFLICT,
    _CONFLICT: StoreFault.CONFLICT,
    _GONE: StoreFault.COMPACTED,
}


def _request_bytes(method: str, path: str, host: str, body: Any) -> bytes:
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    return head.encode("ascii") + content
