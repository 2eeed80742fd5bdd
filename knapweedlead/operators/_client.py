"""Client of the operator API, for the command line."""

import asyncio
import json
import secrets
from collections.abc import AsyncIterable, AsyncIterator
from typing import Any

import attrs
from blacksheep.client import ClientSession
from result import Err, Ok, Result

from knapweedlead.errors import StepError
from knapweedlead.http import fetch

REQUEST_TIMEOUT_SECONDS = 20.0
"""Seconds after which an attempt at one daemon counts as failed."""
ATTEMPTS_PER_ADDRESS = 2
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Size limit of a response other than that of a watch."""
MAX_LINE_BYTES = 4 * 1024 * 1024
"""Size limit of a change in a watch, and of the refusal of one."""

_PRECONDITION_FAILED = 412
_FIRST_ERROR = 400


@attrs.frozen
class ApiError(StepError):
    """A request that the API refused, or that no daemon answered.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no daemon answered.
    reason : str
        ``reason`` of the problem document.
    """

    status: int = 0
    reason: str = ""

    @property
    def is_conflict(self) -> bool:
        """Whether the resource's version differs from the expected one."""
        return self.status == _PRECONDITION_FAILED


@attrs.frozen
class ApiResponse:
    """Document of a response and, for a single resource, its version."""

    document: Any
    version: str = ""


class OperatorClient:
    """Sends each request to the first daemon that responds.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:PORT`` of operator listeners, tried in order.
    credential : str
        Operator credential.
    """

    def __init__(self, addresses: list[str], credential: str) -> None:
        self.addresses = addresses
        self.credential = credential

    async def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        expected_version: str = "",
    ) -> Result[ApiResponse, ApiError]:
        """Send a request; try the next daemon if a daemon does not respond.

        All attempts carry the same change id, so that the daemons can detect a retry
        of a change whose response was lost.
        """
        headers = self._headers(expected_version)
        error = ApiError("operators.request", "-", "no address was given")
        for address in self.addresses * ATTEMPTS_PER_ADDRESS:
            result = await self._send(address, method, path, document, headers)
            if isinstance(result, Ok) or result.err_value.status:
                return result
            error = result.err_value
        return Err(error)

    def _headers(self, expected_version: str) -> dict[str, str]:
        headers = {
            "authorization": f"Bearer {self.credential}",
            "change-id": secrets.token_hex(8),
        }
        if expected_version:
            headers["if-match"] = f'"{expected_version}"'
        return headers

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        document: Any,
        headers: dict[str, str],
    ) -> Result[ApiResponse, ApiError]:
        body = b"" if document is None else json.dumps(document).encode()
        if body:
            headers = headers | {"content-type": "application/json"}
        result = await fetch(
            address,
            method,
            path,
            headers,
            body,
            REQUEST_TIMEOUT_SECONDS,
            MAX_RESPONSE_BYTES,
        )
        if isinstance(result, Err):
            detail = f"no response: {result.err_value.detail}"
            return Err(ApiError("operators.request", address, detail))
        answer = result.ok_value
        tag = answer.headers.get("etag", "")
        return _read_response(address, method, answer.status, answer.body, tag)

    async def watch(
        self, kind: str, revision: str
    ) -> AsyncIterator[Result[Any, ApiError]]:
        """Yield changes to resources of `kind` until the daemon closes the stream.

        The next daemon is tried if a daemon does not respond. The last result is an
        error if none responds, or if the stream breaks off.
        """
        path = f"/v1/{kind}?watch=true" + (f"&from={revision}" if revision else "")
        error = ApiError("operators.watch", "-", "no address was given")
        for address in self.addresses:
            has_response = False
            try:
                async with ClientSession(base_url=f"http://{address}") as session:
                    async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                        response = await session.get(path, headers=self._headers(""))
                    has_response = True
                    if response.status >= _FIRST_ERROR:
                        body = await _read_body(response.stream())
                        yield _read_response(address, "GET", response.status, body)
                        return
                    async for line in _read_lines(response.stream()):
                        yield Ok(json.loads(line))
                    return
            except Exception as cause:  # many kinds of connection error
                what = "stream broke off" if has_response else "no response"
                detail = f"{what}: {type(cause).__name__}"
                error = ApiError("operators.watch", address, detail)
            if has_response:
                break
        yield Err(error)


async def _read_lines(parts: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    """Yield the complete lines of a streamed body.

    Raises
    ------
    ValueError
        A line is longer than `MAX_LINE_BYTES`.
    """
    rest = bytearray()
    async for part in parts:
        *lines, end = part.split(b"\n")
        for line in lines:
            yield bytes(rest + line)
            rest.clear()
        rest += end
        _check_length(rest)


async def _read_body(parts: AsyncIterable[bytes]) -> bytes:
    """Return a streamed body.

    Raises
    ------
    ValueError
        The body is longer than `MAX_LINE_BYTES`.
    """
    body = bytearray()
    async for part in parts:
        body += part
        _check_length(body)
    return bytes(body)


def _check_length(received: bytearray) -> None:
    if len(received) > MAX_LINE_BYTES:
        raise ValueError(f"expected at most {MAX_LINE_BYTES} bytes")


def _read_response(
    address: str, method: str, status: int, body: bytes, tag: str = ""
) -> Result[ApiResponse, ApiError]:
    step = f"operators.{method.lower()}"
    try:
        document = json.loads(body or b"null")
    except (ValueError, RecursionError) as error:
        detail = f"no response: {type(error).__name__}"
        return Err(ApiError("operators.request", address, detail))
    if status < _FIRST_ERROR:
        return Ok(ApiResponse(document, tag.strip('"')))
    problem = document if isinstance(document, dict) else {}
    detail = str(problem.get("detail", "refused"))
    reason = str(problem.get("reason", ""))
    return Err(ApiError(step, address, detail, status, reason))
