"""Measurement of one change on its way to all daemons."""

import attrs

from benchmarks.control import CountingCores, settled_fleet

SPREADING_MESSAGES = ("CataloguePush", "PullRequest", "PullReply")
STEP_SECONDS = 0.01


@attrs.frozen
class Spread:
    """How a change spread.

    Parameters
    ----------
    seconds : float
        Until the last daemon had it in force.
    messages, size : float
        Messages and bytes sent for it, for each daemon.
    """

    seconds: float
    messages: float
    size: float


def measure_spreads(
    spreading: str, count: int, loss: float, changes: int, seed: int, relays_lost: int
) -> list[Spread]:
    """Return the measurement of some changes, one after another.

    Parameters
    ----------
    spreading : str
        Name of the policy.
    count : int
        Daemons.
    loss : float
        Share of messages lost.
    changes : int
        How many changes.
    seed : int
        Seed of everything random.
    relays_lost : int
        Relays that crash at the moment of the first change.
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
    cores.forget_counts()
    revision = max(cores.revisions()) + 1
    start = cores.now
    cores.apply(operator, burst)
    while min(cores.revisions()) < revision and cores.now < start + 60.0:
        cores.run_for(STEP_SECONDS)
    seconds = cores.now - start
    cores.run_for(3.0)
    count = len(cores.revisions())
    messages = sum(cores.messages_by_class[name] for name in SPREADING_MESSAGES)
    size = sum(cores.bytes_by_class[name] for name in SPREADING_MESSAGES)
    return Spread(seconds, messages / count, size / count)
