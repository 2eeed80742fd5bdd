"""Backend server that answers without delay, so that only the path adds latency."""

import asyncio

import fire
import uvloop

from knapweedlead.http import split_address

BODY = b'{"crew": "north", "wear_mm": 1.25}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    + f"content-length: {len(BODY)}\r\n\r\n".encode()
    + BODY
)

_END_OF_HEADERS = b"\r\n\r\n"


class _AnswerProtocol(asyncio.Protocol):
    """Answers requests that have no body on a keep-alive connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._received = b""

    def data_received(self, data: bytes) -> None:
        self._received += data
        count = self._received.count(_END_OF_HEADERS)
        if count:
            self._received = self._received.rpartition(_END_OF_HEADERS)[2]
            self.transport.write(ANSWER * count)


async def _serve(address: str) -> None:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_AnswerProtocol, host, port)
    await server.serve_forever()


def serve(address: str) -> None:
    """Answer at ``IP:PORT`` until stopped."""
    uvloop.run(_serve(address))


if __name__ == "__main__":
    fire.Fire(serve)
