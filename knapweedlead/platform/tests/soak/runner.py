"""Runs one seed of the soak."""

import asyncio
import shutil
import tempfile
from pathlib import Path

from knapweedlead.platform.tests.soak.environment import SoakEnvironment
from knapweedlead.platform.tests.soak.faults import FAULTS, GENERATION, fault_names

FAULT_PERIOD = 0.8
"""Mean seconds between the starts of two faults; faults may overlap."""
SETTLE_TIME = 10.0
"""Seconds from the last fault until nearly all calls have to be served: the time of a
lease and its retention, or of a cold start, with a margin."""
RECOVERY_CHECK_TIME = 2.0
"""Seconds after `SETTLE_TIME` in which calls are checked for recovery."""


async def run_seed(seed, seconds, network, keep_logs=True, generation=GENERATION):
    """Run a seed and check the observations.

    Parameters
    ----------
    seed : int
    seconds : float
        Seconds during which faults are injected.
    network : str
        First three parts of the loopback addresses.
    keep_logs : bool
        Whether to keep the logs of a run without violations.
    generation : int
        Newest generation of the faults to choose from.

    Returns
    -------
    tuple of (dict of str to list of str, list of str, Path, int)
        Violations by check, injected faults, directory of the logs, and number of
        calls.
    """
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    environment = SoakEnvironment(seed, directory, network)
    loop = asyncio.get_running_loop()
    injected_faults = []
    names = fault_names(generation)
    try:
        await environment.start()
        environment.start_callers()
        started_at = loop.time()
        running = []
        while loop.time() < started_at + seconds:
            name = environment.rng.choice(names)
            injected_faults.append(f"{loop.time() - started_at:.1f} {name}")
            running.append(asyncio.ensure_future(FAULTS[name](environment)))
            await asyncio.sleep(environment.rng.expovariate(1.0 / FAULT_PERIOD))
        await asyncio.gather(*running)
        await asyncio.sleep(SETTLE_TIME)
        environment.observations.recovered_from = loop.time()
        await asyncio.sleep(RECOVERY_CHECK_TIME)
    finally:
        await environment.stop()
    violations = environment.observations.violations()
    if not violations and not keep_logs:
        shutil.rmtree(directory)
    return (
        violations,
        injected_faults,
        directory,
        len(environment.observations.sent_by_id),
    )
