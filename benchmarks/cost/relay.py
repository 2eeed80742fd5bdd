"""Bare TCP relay that opens one upstream connection per accepted connection."""

import asyncio

import fire
import uvloop

from knapweedlead.http import split_address


class _Upstream(asyncio.Protocol):
    """Connection to the target; copies its bytes to the accepted connection."""

    def __init__(self, downstream: asyncio.Transport) -> None:
        self.downstream = downstream

    def data_received(self, data: bytes) -> None:
        self.downstream.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.downstream.close()


class _Downstream(asyncio.Protocol):
    """Accepted connection; buffers its bytes until the target is connected."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._pending = b""
        self._upstream: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, port = split_address(self.target)
        loop = asyncio.get_running_loop()
        upstream, _ = await loop.create_connection(
            lambda: _Upstream(self.transport), host, port
        )
        self._upstream = upstream
        upstream.write(self._pending)

    def data_received(self, data: bytes) -> None:
        if self._upstream is None:
            self._pending += data
        else:
            self._upstream.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._upstream is not None:
            self._upstream.close()


async def _relay(address: str, target: str) -> None:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Downstream(target), host, port)
    await server.serve_forever()


def relay(address: str, target: str) -> None:
    """Relay connections accepted at ``IP:PORT`` to a target until stopped."""
    uvloop.run(_relay(address, target))


if __name__ == "__main__":
    fire.Fire(relay)
