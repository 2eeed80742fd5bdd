"""Bare relay: passes bytes on, with a connection onward for each accepted one."""

import asyncio

import fire
import uvloop

from knapweedlead.http import split_address


class _Onward(asyncio.Protocol):
    """Connection to the target."""

    def __init__(self, inward: asyncio.Transport) -> None:
        self.inward = inward

    def data_received(self, data: bytes) -> None:
        self.inward.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.inward.close()


class _Inward(asyncio.Protocol):
    """Accepted connection."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._waiting = b""
        self._onward: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, port = split_address(self.target)
        loop = asyncio.get_running_loop()
        onward, _ = await loop.create_connection(
            lambda: _Onward(self.transport), host, port
        )
        self._onward = onward
        onward.write(self._waiting)

    def data_received(self, data: bytes) -> None:
        if self._onward is None:
            self._waiting += data
        else:
            self._onward.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._onward is not None:
            self._onward.close()


async def _relay(address: str, target: str) -> None:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Inward(target), host, port)
    await server.serve_forever()


def relay(address: str, target: str) -> None:
    """Pass bytes between ``IP:PORT`` and a target until stopped."""
    uvloop.run(_relay(address, target))


if __name__ == "__main__":
    fire.Fire(relay)
