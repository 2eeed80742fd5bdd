"""HTTP client of the platform's store.

Uses the public API of Consul's key-value store, ``/v1/kv`` and ``/v1/session``.
"""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from blacksheep import Content, Response
from blacksheep.client import ClientSession
from blacksheep.client.connection import ConnectionClosedError
from blacksheep.client.exceptions import ConnectionTimeout, RequestTimeout
from result import Err, Ok, Result

from knapweedlead.errors import StoreError, StoreFault
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
_WATCH_GRACE_SECONDS = 2.0
"""Seconds added to the wait of a watch to get its timeout."""

_READS = (Get, List)
"""Operations that are retried after a lost connection."""
_READ_ATTEMPTS = 4

_CallResult = Result[StoreResult, StoreError]


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
        except (ConnectionRefusedError, ConnectionTimeout) as error:
            return self._wrap_exception(step, error, StoreFault.UNAVAILABLE)
        except (OSError, TimeoutError, RequestTimeout, ValueError) as error:
            return self._wrap_exception(step, error, StoreFault.UNKNOWN_OUTCOME)
        except Exception as error:  # connection errors of the client have many classes
            return self._wrap_exception(step, error, StoreFault.UNKNOWN_OUTCOME)

    def _wrap_exception(
        self, step: str, error: Exception, fault: StoreFault
    ) -> _CallResult:
        detail = f"{type(error).__name__}: {error}"
        return Err(StoreError(step, self.address, detail, fault))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        content_type: bytes = b"application/octet-stream",
    ) -> Response:
        content = None if body is None else Content(content_type, body)
        session = ClientSession(
            f"http://{self.address}", http2=False, max_connection_retries=0
        )
        async with asyncio.timeout(timeout), session:
            send = {
                "GET": session.get,
                "PUT": lambda url: session.put(url, content),
                "DELETE": session.delete,
            }[method]
            response = await send(path)
            await response.read()
            return response

    async def _get(self, operation: Get) -> _CallResult:
        url = f"/v1/kv/{quote(operation.key)}"
        response = await self._send("GET", url, None, self.timeout)
        return await self._read_entry(operation.key, response)

    async def _watch(self, operation: Watch) -> _CallResult:
        url = (
            f"/v1/kv/{quote(operation.key)}"
            f"?index={operation.after}&wait={operation.wait:g}s"
        )
        timeout = operation.wait + _WATCH_GRACE_SECONDS
        response = await self._send("GET", url, None, timeout)
        if response.status == _GONE:
            return self._store_error("store.watch", operation.key, StoreFault.COMPACTED)
        return await self._read_entry(operation.key, response)

    async def _read_entry(self, key: str, response: Response) -> _CallResult:
        if response.status == _NOT_FOUND:
            return Ok(Entry(key, b"", 0))
        documents = await self._json(response)
        return Ok(_parse_entry(documents[0]))

    async def _list(self, operation: List) -> _CallResult:
        url = f"/v1/kv/{quote(operation.prefix)}?recurse=true"
        response = await self._send("GET", url, None, self.timeout)
        if response.status == _NOT_FOUND:
            return Ok(Listing(()))
        documents = await self._json(response)
        return Ok(Listing(tuple(_parse_entry(document) for document in documents)))

    async def _compare_and_swap(self, operation: CompareAndSwap) -> _CallResult:
        url = f"/v1/kv/{quote(operation.key)}?cas={operation.expected}"
        if operation.lease:
            url += f"&acquire={operation.lease}"
        response = await self._send("PUT", url, operation.value, self.timeout)
        return self._write_result(operation.key, await self._json(response))

    async def _delete(self, operation: Delete) -> _CallResult:
        url = f"/v1/kv/{quote(operation.key)}?cas={operation.expected}"
        response = await self._send("DELETE", url, None, self.timeout)
        return self._write_result(operation.key, await self._json(response))

    def _write_result(self, key: str, document: Any) -> _CallResult:
        if document is True:
            return Ok(Written(0))
        return self._conflict("store.write", f"{key} has another revision")

    async def _create_lease(self, operation: CreateLease) -> _CallResult:
        body = json.dumps({"TTL": f"{operation.seconds:g}s", "Behavior": "delete"})
        response = await self._send(
            "PUT",
            "/v1/session/create",
            body.encode(),
            self.timeout,
            b"application/json",
        )
        document = await self._json(response)
        return Ok(LeaseGranted(document["ID"], operation.seconds))

    async def _renew_lease(self, operation: RenewLease) -> _CallResult:
        url = f"/v1/session/renew/{operation.lease}"
        response = await self._send("PUT", url, b"", self.timeout)
        if response.status == _NOT_FOUND:
            return self._conflict("store.renew", f"lease {operation.lease} expired")
        document = await self._json(response)
        return Ok(LeaseGranted(operation.lease, float(document[0]["TTL"].rstrip("s"))))

    async def _revoke_lease(self, operation: RevokeLease) -> _CallResult:
        url = f"/v1/session/destroy/{operation.lease}"
        await self._json(await self._send("PUT", url, b"", self.timeout))
        return Ok(Written(0))

    async def _json(self, response: Response) -> Any:
        if response.status != _OK:
            raise ValueError(f"status {response.status}")
        return await response.json()

    def _conflict(self, step: str, detail: str) -> _CallResult:
        return self._store_error(step, detail, StoreFault.CONFLICT)

    def _store_error(self, step: str, detail: str, fault: StoreFault) -> _CallResult:
        return Err(StoreError(step, self.address, detail, fault))


def _parse_entry(document: Any) -> Entry:
    value = base64.b64decode(document["Value"] or "")
    return Entry(document["Key"], value, document["ModifyIndex"])


def _is_connection_lost(error: StoreError) -> bool:
    return error.detail.startswith(ConnectionClosedError.__name__)
