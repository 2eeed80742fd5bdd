"""A single request on a connection of its own."""

import asyncio

import attrs
from result import Err, Ok, Result

from knapweedlead.http._client import BackendServerClient
from knapweedlead.http._run import MAX_ANSWER_BYTES, HttpAnswer


@attrs.frozen
class FetchFailure:
    """A request without a complete answer.

    Parameters
    ----------
    was_sent : bool
        Whether any byte of the request may have been written.
    detail : str
        The cause.
    """

    was_sent: bool
    detail: str


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
) -> Result[HttpAnswer, FetchFailure]:
    """Send a request and return its answer.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the server.
    method, path : str
        Method and target of the request line.
    headers : dict of str to str
        Headers with lower-case names, without ``host`` and the headers that delimit
        the body.
    body : bytes
        Complete request body.
    timeout : float
        Seconds allowed for opening the connection, and again for the answer.
    max_answer_bytes : int
        Size limit of the answer; the connection is closed beyond it.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Result[HttpAnswer, FetchFailure]] = loop.create_future()

    def end(result: Result[HttpAnswer, FetchFailure]) -> None:
        if not future.done():
            future.set_result(result)

    client = BackendServerClient(
        address,
        1,
        lambda run, answer: end(Ok(answer)),
        lambda run, was_sent, detail: end(Err(FetchFailure(was_sent, detail))),
        accepts_close_delimited=True,
        max_answer_bytes=max_answer_bytes,
        connect_timeout=timeout,
    )
    try:
        client.run(1, method, path, headers, body, timeout)
        return await future
    finally:
        client.close()
