"""Client of the operator API, for the command line."""

import asyncio
import json
import secrets
from collections.abc import AsyncIterator
from typing import Any

import attrs
from blacksheep import Content, Response
from blacksheep.client import ClientSession
from result import Err, Ok, Result

from knapweedlead.errors import StepError

REQUEST_TIMEOUT = 20.0
"""Seconds until a request counts as failed."""
ATTEMPTS_PER_ADDRESS = 2

_PRECONDITION_FAILED = 412
_FIRST_ERROR = 400


@attrs.frozen
class ApiError(StepError):
    """A request that the API refused, or that reached no daemon.

    Parameters
    ----------
    status : int
        HTTP status; 0 where no daemon answered.
    reason : str
        Reason of the problem document.
    """

    status: int = 0
    reason: str = ""

    @property
    def is_conflict(self) -> bool:
        """Whether another operator's change came first."""
        return self.status == _PRECONDITION_FAILED


@attrs.frozen
class ApiAnswer:
    """A document and, for one resource, its version."""

    document: Any
    version: str = ""


class OperatorClient:
    """Talks to the first daemon that answers.

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
    ) -> Result[ApiAnswer, ApiError]:
        """Send one request, to the next daemon where one does not answer.

        A change carries one change id over all its attempts, so that a change
        whose answer was lost is recognized.
        """
        headers = self._headers(expected_version)
        error = ApiError("operators.request", "-", "no address was given")
        for address in self.addresses * ATTEMPTS_PER_ADDRESS:
            answer = await self._send(address, method, path, document, headers)
            if isinstance(answer, Ok) or answer.err_value.status:
                return answer
            error = answer.err_value
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
    ) -> Result[ApiAnswer, ApiError]:
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
                async with asyncio.timeout(REQUEST_TIMEOUT):
                    return await _read_answer(address, method, await request())
        except Exception as error:  # the client raises many connection errors
            detail = f"no answer: {type(error).__name__}"
            return Err(ApiError("operators.request", address, detail))

    async def watch(
        self, kind: str, revision: str
    ) -> AsyncIterator[Result[Any, ApiError]]:
        """Yield the changes of a kind as they come; ends with the stream."""
        path = f"/v1/{kind}?watch=true" + (f"&from={revision}" if revision else "")
        address = self.addresses[0]
        async with ClientSession(base_url=f"http://{address}") as session:
            response = await session.get(path, headers=self._headers(""))
            if response.status >= _FIRST_ERROR:
                yield await _read_answer(address, "GET", response)
                return
            rest = b""
            async for part in response.stream():
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    yield Ok(json.loads(line))


async def _read_answer(
    address: str, method: str, response: Response
) -> Result[ApiAnswer, ApiError]:
    document = json.loads(await response.read() or b"null")
    if response.status < _FIRST_ERROR:
        tag = response.get_first_header(b"ETag") or b""
        return Ok(ApiAnswer(document, tag.decode().strip('"')))
    problem = document if isinstance(document, dict) else {}
    error = ApiError(
        f"operators.{method.lower()}",
        address,
        str(problem.get("detail", "refused")),
        response.status,
        str(problem.get("reason", "")),
    )
    return Err(error)
