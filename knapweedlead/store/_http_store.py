"""HTTP client of the platform's store.

Uses the public API of Consul's key-value store, ``/v1/kv`` and ``/v1/session``.
"""

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from knapweedlead.checks import check_count
from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.http import CONNECTION_LOST, FetchFailure, HttpAnswer, fetch
from knapweedlead.positions import EraTracker, StorePosition
from knapweedlead.store._operations import (
    CompareAndSwap,
    CreateLease,
    Delete,
    Entry,
    Get,
    LeaseGranted,
    List,
    Listing,
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    Watch,
    Written,
)

_NOT_FOUND = 404
_OK = 200
_GONE = 410
ERA_HEADER = "store-era"
_WATCH_GRACE_SECONDS = 2.0
"""Seconds added to the wait of a watch to get its timeout."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Size limit of the store's answers; a listing contains all keys of a prefix."""

_READS = (Get, List)
"""Operations that are retried after a lost connection."""
_READ_ATTEMPTS = 4

_CallResult = Result[StoreResult, StoreError]


class _CallError(Exception):
    """A call without a complete answer."""

    def __init__(self, failure: FetchFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class HttpStore:
    """Calls the store over HTTP, with a new connection for each call.

    Calls are rare, and a write on a persistent connection that the store has closed
    in the meantime would have an unknown outcome.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    timeout : float
        Seconds after which a call other than a watch fails.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self.timeout = timeout
        self._eras = EraTracker()
        self._method_by_operation: dict[
            type, Callable[[Any], Awaitable[_CallResult]]
        ] = {
            Get: self._get,
            List: self._list,
            Watch: self._watch,
            CompareAndSwap: self._compare_and_swap,
            Delete: self._delete,
            CreateLease: self._create_lease,
            RenewLease: self._renew_lease,
            RevokeLease: self._revoke_lease,
        }

    async def call(self, operation: StoreOperation) -> _CallResult:
        """Execute one operation.

        Returns
        -------
        Result
            The answer, or a `StoreError` whose `fault` states whether a write may
            have taken effect.
        """
        attempts = _READ_ATTEMPTS if isinstance(operation, _READS) else 1
        for _ in range(attempts):
            answer = await self._attempt(operation)
            if isinstance(answer, Ok) or not _is_connection_lost(answer.err_value):
                break
        return answer

    async def _attempt(self, operation: StoreOperation) -> _CallResult:
        method = self._method_by_operation[type(operation)]
        step = f"store.{type(operation).__name__}"
        try:
            return await method(operation)
        except _CallError as error:
            is_unsent = not error.failure.was_sent
            fault = StoreFault.UNAVAILABLE if is_unsent else StoreFault.UNKNOWN_OUTCOME
            return self._store_error(step, error.failure.detail, fault)
        except Exception as error:  # an answer may be malformed in many ways
            detail = f"{type(error).__name__}: {error}"
            return self._store_error(step, detail, StoreFault.UNKNOWN_OUTCOME)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        content_type: str = "application/octet-stream",
    ) -> HttpAnswer:
        headers = {} if body is None else {"content-type": content_type}
        result = await fetch(
            self.address, method, path, headers, body or b"", timeout, MAX_ANSWER_BYTES
        )
        if isinstance(result, Err):
            raise _CallError(result.err_value)
        self._eras.observe(result.ok_value.headers.get(ERA_HEADER))
        return result.ok_value

    async def _get(self, operation: Get) -> _CallResult:
        url = f"/v1/kv/{quote(operation.key)}"
        response = await self._send("GET", url, None, self.timeout)
        return self._read_entry(operation.key, response)

    async def _watch(self, operation: Watch) -> _CallResult:
        url = (
            f"/v1/kv/{quote(operation.key)}"
            f"?index={operation.after.revision}&wait={operation.wait:g}s"
        )
        timeout = operation.wait + _WATCH_GRACE_SECONDS
        response = await self._send("GET", url, None, timeout)
        if response.status == _GONE:
            return self._store_error("store.watch", operation.key, StoreFault.COMPACTED)
        return self._read_entry(operation.key, response)

    def _read_entry(self, key: str, response: HttpAnswer) -> _CallResult:
        if response.status == _NOT_FOUND:
            return Ok(Entry(key, b"", StorePosition(self._eras.latest)))
        documents = self._json(response)
        return Ok(_parse_entry(documents[0], self._eras.latest))

    async def _list(self, operation: List) -> _CallResult:
        url = f"/v1/kv/{quote(operation.prefix)}?recurse=true"
        response = await self._send("GET", url, None, self.timeout)
        if response.status == _NOT_FOUND:
            return Ok(Listing(()))
        era = self._eras.latest
        documents = self._json(response)
        return Ok(Listing(tuple(_parse_entry(document, era) for document in documents)))

    async def _compare_and_swap(self, operation: CompareAndSwap) -> _CallResult:
        if not self._is_current(operation.expected):
            return self._era_conflict(operation.key)
        url = f"/v1/kv/{quote(operation.key)}?cas={operation.expected.revision}"
        if operation.lease:
            url += f"&acquire={operation.lease}"
        response = await self._send("PUT", url, operation.value, self.timeout)
        return self._write_result(operation.key, self._json(response))

    async def _delete(self, operation: Delete) -> _CallResult:
        if not self._is_current(operation.expected):
            return self._era_conflict(operation.key)
        url = f"/v1/kv/{quote(operation.key)}?cas={operation.expected.revision}"
        response = await self._send("DELETE", url, None, self.timeout)
        return self._write_result(operation.key, self._json(response))

    def _write_result(self, key: str, document: Any) -> _CallResult:
        if document is True:
            return Ok(Written())
        return self._conflict("store.write", f"{key} has another revision")

    async def _create_lease(self, operation: CreateLease) -> _CallResult:
        body = json.dumps({"TTL": f"{operation.seconds:g}s", "Behavior": "delete"})
        response = await self._send(
            "PUT",
            "/v1/session/create",
            body.encode(),
            self.timeout,
            "application/json",
        )
        document = self._json(response)
        return Ok(LeaseGranted(document["ID"], operation.seconds))

    async def _renew_lease(self, operation: RenewLease) -> _CallResult:
        url = f"/v1/session/renew/{operation.lease}"
        response = await self._send("PUT", url, b"", self.timeout)
        if response.status == _NOT_FOUND:
            return self._conflict("store.renew", f"lease {operation.lease} expired")
        document = self._json(response)
        return Ok(LeaseGranted(operation.lease, float(document[0]["TTL"].rstrip("s"))))

    async def _revoke_lease(self, operation: RevokeLease) -> _CallResult:
        url = f"/v1/session/destroy/{operation.lease}"
        self._json(await self._send("PUT", url, b"", self.timeout))
        return Ok(Written())

    def _is_current(self, expected: StorePosition) -> bool:
        return not expected.revision or expected.era == self._eras.latest

    def _era_conflict(self, key: str) -> _CallResult:
        return self._conflict("store.write", f"{key} was read in another era")

    def _json(self, response: HttpAnswer) -> Any:
        if response.status != _OK:
            raise ValueError(f"status {response.status}")
        return json.loads(response.body)

    def _conflict(self, step: str, detail: str) -> _CallResult:
        return self._store_error(step, detail, StoreFault.CONFLICT)

    def _store_error(self, step: str, detail: str, fault: StoreFault) -> _CallResult:
        return Err(StoreError(step, self.address, detail, fault))


def _parse_entry(document: Any, era: int) -> Entry:
    value = base64.b64decode(document["Value"] or "")
    position = StorePosition(era, check_count(document["ModifyIndex"]))
    return Entry(document["Key"], value, position)


def _is_connection_lost(error: StoreError) -> bool:
    return error.detail == CONNECTION_LOST
