"""Processor time per call of two HTTP servers that answer without delay.

``python -m benchmarks.cost.http_servers compare`` compares blacksheep under uvicorn
(with uvloop and httptools) with `CallerServer`.
"""

import asyncio
import random
import subprocess
import sys
from pathlib import Path

import fire
import uvicorn
import uvloop
from blacksheep import Application, Content, Request, Response

from benchmarks.cost._load import PathResult, Target, run_load
from benchmarks.cost.backend import BODY
from benchmarks.processes import processor_seconds
from knapweedlead.http import CallerServer, HttpRequest, split_address
from standins.fleet import free_address, wait_until_listening

HTTP_SERVERS = ("blacksheep", "httptools")

_MS_PER_S = 1000


async def _answer(request: Request) -> Response:
    await request.read()
    return Response(200, content=Content(b"application/json", BODY))


def _serve_blacksheep(address: str) -> None:
    app = Application()
    app.router.add_get("/*", _answer)
    host, port = split_address(address)
    uvicorn.run(app, host=host, port=port, log_level="warning", access_log=False)


def _serve_httptools(address: str) -> None:
    headers = {"content-type": "application/json"}

    def answer(request: HttpRequest) -> None:
        server.reply(request.exchange, 200, headers, BODY)

    server = CallerServer(answer, lambda exchange: None, lambda reason: (400, {}, b""))

    async def run() -> None:
        await server.start(address)
        await asyncio.Event().wait()

    uvloop.run(run())


def serve(name: str, address: str) -> None:
    """Run one of the HTTP servers at ``IP:PORT`` until stopped."""
    {"blacksheep": _serve_blacksheep, "httptools": _serve_httptools}[name](address)


def compare(rate: float = 500.0, seconds: float = 6.0, seed: int = 1) -> None:
    """Load both servers concurrently and print their processor time per call."""
    root = str(Path(__file__).resolve().parents[2])
    addresses = [free_address() for _ in HTTP_SERVERS]
    processes = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.cost.http_servers",
                "serve",
                name,
                address,
            ],
            cwd=root,
        )
        for name, address in zip(HTTP_SERVERS, addresses, strict=True)
    ]
    try:
        for address, process in zip(addresses, processes, strict=True):
            wait_until_listening(address, process)
        pids = [process.pid for process in processes]
        targets = [Target(address, "/back/wear", {}) for address in addresses]
        _load(targets, rate, 1.0, seed)
        before = [processor_seconds(pid) for pid in pids]
        results = _load(targets, rate, seconds, seed)
        after = [processor_seconds(pid) for pid in pids]
    finally:
        for process in processes:
            process.kill()
            process.wait()
    for name, result, start, end in zip(
        HTTP_SERVERS, results, before, after, strict=True
    ):
        calls = len(result.latencies)
        print(
            f"{name:10} {rate:.0f} calls/s: processor per call "
            f"{(end - start) / calls * _MS_PER_S:.3f} ms, "
            f"p50 {result.quantile(0.5) * _MS_PER_S:.3f} ms, failed {result.failed}"
        )


def _load(
    targets: list[Target], rate: float, seconds: float, seed: int
) -> list[PathResult]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_load(targets, rate, seconds, random.Random(seed)))


if __name__ == "__main__":
    fire.Fire({"serve": serve, "compare": compare})
