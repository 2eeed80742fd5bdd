"""Command line of the soak."""

import asyncio
import secrets
from pathlib import Path

import fire

from knapweedlead.platform.tests.soak.faults import GENERATION
from knapweedlead.platform.tests.soak.runner import run_seed

SEEDS_FILE = Path(__file__).with_name("seeds.txt")


def failed_seeds():
    """Return the seeds that have failed before, and their generations of faults."""
    lines = SEEDS_FILE.read_text("utf-8").splitlines()
    fields = [line.split() for line in lines if line[:1].isdigit()]
    return [(int(seed), int(generation)) for seed, generation, *_ in fields]


async def _run_seeds(seeds, seconds, jobs):
    limit = asyncio.Semaphore(jobs)
    networks = asyncio.Queue()
    for job in range(jobs):
        networks.put_nowait(f"127.77.{1 + job}")

    async def run_one(seed, generation):
        async with limit:
            network = await networks.get()
            violations, injected_faults, directory, calls = await run_seed(
                seed, seconds, network, keep_logs=False, generation=generation
            )
            networks.put_nowait(network)
        verdict = "FAILED" if violations else "ok"
        print(
            f"seed {seed}: {verdict}, {len(injected_faults)} faults, {calls} calls",
            flush=True,
        )
        for name, lines in violations.items():
            print(f"  {name}: {'; '.join(lines)}", flush=True)
        if violations:
            print(
                f"  logs {directory}; faults {', '.join(injected_faults)}", flush=True
            )
        return bool(violations)

    failed = sum(await asyncio.gather(*(run_one(*seed) for seed in seeds)))
    print(f"{len(seeds)} seeds, {failed} failed")
    return failed


def main(seeds=10, seconds=12.0, jobs=2, seed=None, known=False):
    """Run new random seeds, one seed, or those that have failed before.

    Parameters
    ----------
    seeds : int
        Number of new random seeds.
    seconds : float
        Seconds during which faults are injected.
    jobs : int
        Number of concurrent runs; each one has six daemon processes.
    seed : int or None
        The only seed to run.
    known : bool
        Whether to run the seeds that have failed before.
    """
    chosen = [(secrets.randbits(32), GENERATION) for _ in range(seeds)]
    if seed is not None:
        chosen = [(seed, GENERATION)]
    elif known:
        chosen = failed_seeds()
    raise SystemExit(asyncio.run(_run_seeds(chosen, seconds, jobs)) > 0)


if __name__ == "__main__":
    fire.Fire(main)
