"""Measurement of how a configuration change spreads to all daemons."""

import attrs

from benchmarks.control import CountingCores, settled_fleet

SPREADING_MESSAGES = ("CataloguePush", "PullRequest", "PullReply")
STEP_SECONDS = 0.01


@attrs.frozen
class Spread:
    """Time and cost of spreading one change.

    Parameters
    ----------
    seconds : float
        Time until the change is active on the last daemon.
    messages, size : float
        Messages and bytes sent for the change, per daemon.
    """

    seconds: float
    messages: float
    size: float


def measure_spreads(
    spreading: str, count: int, loss: float, changes: int, seed: int, relays_lost: int
) -> list[Spread]:
    """Measure changes one after another.

    Parameters
    ----------
    spreading : str
        Name of the policy.
    count : int
        Number of daemons.
    loss : float
        Share of messages lost.
    changes : int
        Number of changes.
    seed : int
        Seed of the random number generator.
    relays_lost : int
        Number of relays that crash immediately before the first change.
    """
    cores = settled_fleet(count, seed, spreading)
    cores.loss = loss
    relays = [
        name
        for name, core in cores.by_name.items()
        if core.composition.configuration.is_relay
    ]
    for name in relays[:relays_lost]:
        cores.crash(name)
    operator = next(name for name in cores.by_name if name not in relays)
    return [_measure_one(cores, operator, n + 2) for n in range(changes)]


def _measure_one(cores: CountingCores, operator: str, burst: int) -> Spread:
    cores.reset_counts()
    revision = max(cores.revisions()) + 1
    start = cores.now
    cores.change_account(operator, burst)
    while min(cores.revisions()) < revision and cores.now < start + 60.0:
        cores.run_for(STEP_SECONDS)
    seconds = cores.now - start
    cores.run_for(3.0)
    count = len(cores.revisions())
    messages = sum(cores.messages_by_class[name] for name in SPREADING_MESSAGES)
    size = sum(cores.bytes_by_class[name] for name in SPREADING_MESSAGES)
    return Spread(seconds, messages / count, size / count)
