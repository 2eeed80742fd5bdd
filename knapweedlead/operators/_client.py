"""Client of the operator API, for the command line."""

import asyncio
import json
import secrets
from collections.abc import AsyncIterable, AsyncIterator
from typing import Any

import attrs
from blacksheep import Content, Response
from blacksheep.client import ClientSession
from result import Err, Ok, Result

from knapweedlead.errors import StepError

REQUEST_TIMEOUT_SECONDS = 20.0
"""Seconds after which an attempt at one daemon counts as failed."""
ATTEMPTS_PER_ADDRESS = 2

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
            "Authorization": f"Bearer {self.credential}",
            "Change-Id": secrets.token_hex(8),
        }
        if expected_version:
            headers["If-Match"] = f'"{expected_version}"'
        return headers

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        document: Any,
        headers: dict[str, str],
    ) -> Result[ApiResponse, ApiError]:
        content = None
        if document is not None:
            content = Content(b"application/json", json.dumps(document).encode())
        try:
            async with ClientSession(base_url=f"http://{address}") as session:
                request = {
                    "GET": lambda: session.get(path, headers=headers),
                    "PUT": lambda: session.put(path, content, headers=headers),
                    "DELETE": lambda: session.delete(path, headers=headers),
                }[method]
                async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                    return await _read_response(address, method, await request())
        except Exception as error:  # many kinds of connection error
            detail = f"no response: {type(error).__name__}"
            return Err(ApiError("operators.request", address, detail))

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
                        yield await _read_response(address, "GET", response)
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
    """Yield the complete lines of a streamed body."""
    rest = b""
    async for part in parts:
        *lines, rest = (rest + part).split(b"\n")
        for line in lines:
            yield line


async def _read_response(
    address: str, method: str, response: Response
) -> Result[ApiResponse, ApiError]:
    document = json.loads(await response.read() or b"null")
    if response.status < _FIRST_ERROR:
        tag = response.get_first_header(b"ETag") or b""
        return Ok(ApiResponse(document, tag.decode().strip('"')))
    problem = document if isinstance(document, dict) else {}
    error = ApiError(
        f"operators.{method.lower()}",
        address,
        str(problem.get("detail", "refused")),
        response.status,
        str(problem.get("reason", "")),
    )
    return Err(error)
