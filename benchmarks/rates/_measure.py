"""Scenarios of one client account, simulated with cores."""

import functools
import random
from collections import Counter
from collections.abc import Callable

import attrs

from knapweedlead.accounts import TokenDecision
from knapweedlead.accounts.tests.metered import MeteredCores, max_excess_over_rate
from knapweedlead.messages import encode_message
from knapweedlead.node import Effect, SendMessage
from knapweedlead.ownership import slot_of
from knapweedlead.ownership.tests.fleets import acting_owners, fleet
from knapweedlead.settings import AccountsSettings
from standins.cores import Core

ENTRIES = 6
DATA_CENTRES = 3
SETTLE_S = 6.0
TOKEN_MESSAGES = ("TokenRequest", "TokenGrant", "TokenRecall")


class CountingCores(MeteredCores):
    """Cores that count the token messages and their bytes by sender."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.messages_by_core: Counter[str] = Counter()
        self.bytes_by_core: Counter[str] = Counter()

    def _execute(self, core: Core, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._count(core, effect)
        super()._execute(core, effect)

    def _count(self, core: Core, effect: SendMessage) -> None:
        if type(effect.message).__name__ in TOKEN_MESSAGES:
            self.messages_by_core[core.name] += 1
            self.bytes_by_core[core.name] += len(encode_message(effect.message))


@attrs.frozen
class Scenario:
    """Traffic of a client account and faults of the fleet.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate limit of the account, in calls per second, and its burst in calls.
    load : float
        Offered calls as a ratio to the rate.
    seconds : float
        Duration of the traffic.
    entries_at : callable
        Returns the numbers of the entries that receive calls at a time, given in
        seconds since the start.
    owner_lost_at, store_lost_at : float or None
        Seconds since the start at which the slot's owner crashes, or the store
        becomes unavailable; None for never.
    """

    rate_per_s: float
    burst: float
    load: float
    seconds: float
    entries_at: Callable[[float], list[int]]
    owner_lost_at: float | None = None
    store_lost_at: float | None = None


@attrs.frozen
class Figures:
    """Results of a scenario.

    Parameters
    ----------
    offered, granted : int
        Calls offered and tokens granted.
    wrongful_share : float
        Calls refused in excess of those that a single token bucket for the whole
        fleet would refuse, as a share of the calls offered.
    max_excess : float
        Largest excess over burst + rate x window, in calls; 0 if the limit held.
    messages_per_s, bytes_per_s : float
        Token messages and their bytes sent by the busiest daemon.
    """

    offered: int
    granted: int
    wrongful_share: float
    max_excess: float
    messages_per_s: float
    bytes_per_s: float


def _all_entries(seconds: float) -> list[int]:
    return list(range(ENTRIES))


def _first_entry(seconds: float) -> list[int]:
    return [0]


def _moving_entries(seconds: float) -> list[int]:
    data_centre = int(seconds // 5.0) % DATA_CENTRES
    return [entry for entry in range(ENTRIES) if entry % DATA_CENTRES == data_centre]


SCENARIOS = {
    "one hot entry": Scenario(50.0, 20.0, 0.9, 60.0, _first_entry),
    "moving between data centres": Scenario(50.0, 20.0, 0.9, 60.0, _moving_entries),
    "small rate": Scenario(2.0, 4.0, 0.9, 300.0, _all_entries),
    "large rate": Scenario(1000.0, 300.0, 0.9, 20.0, _all_entries),
    "five times the rate": Scenario(50.0, 20.0, 5.0, 60.0, _all_entries),
    "owner lost": Scenario(50.0, 20.0, 0.9, 60.0, _all_entries, owner_lost_at=20.0),
    "store down for 10 minutes": Scenario(
        2.0, 4.0, 0.9, 600.0, _all_entries, store_lost_at=0.0
    ),
}


def measure(name: str, meter: str, seed: int = 1) -> Figures:
    """Run a scenario with a metering policy."""
    scenario = SCENARIOS[name]
    cores: CountingCores = fleet(
        seed,
        ENTRIES,
        slots=4,
        times=None,
        cls=CountingCores,
        accounts=AccountsSettings(meter),
    )
    cores.set_account(scenario.rate_per_s, scenario.burst)
    cores.run_for(SETTLE_S)
    cores.messages_by_core.clear()
    cores.bytes_by_core.clear()
    _schedule(cores, scenario, random.Random(seed))
    cores.run_for(scenario.seconds + 2.0)
    return _figures(cores, scenario)


def _schedule(cores: CountingCores, scenario: Scenario, rng: random.Random) -> None:
    start = cores.now
    offered_per_s = scenario.rate_per_s * scenario.load
    at = rng.expovariate(offered_per_s)
    while at < scenario.seconds:
        entry = rng.choice(scenario.entries_at(at))
        cores.at(start + at, functools.partial(_acquire, cores, f"d{entry}"))
        at += rng.expovariate(offered_per_s)
    if scenario.owner_lost_at is not None:
        cores.at(start + scenario.owner_lost_at, functools.partial(_crash_owner, cores))
    if scenario.store_lost_at is not None:
        mode = functools.partial(setattr, cores.store, "mode", "down")
        cores.at(start + scenario.store_lost_at, mode)


def _acquire(cores: CountingCores, name: str) -> None:
    running = [core.name for core in cores.by_name.values() if core.is_up]
    cores.acquire(name if name in running else running[0])


def _crash_owner(cores: CountingCores) -> None:
    slot = slot_of("account/crew", 4)
    for name in acting_owners(cores, slot):
        cores.crash(name)


def _figures(cores: CountingCores, scenario: Scenario) -> Figures:
    acquisitions = sorted(
        cores.acquisition_by_ticket.values(),
        key=lambda acquisition: acquisition.requested_at,
    )
    granted = [
        acquisition
        for acquisition in acquisitions
        if acquisition.decision is TokenDecision.GRANTED
    ]
    excess = (
        max_excess_over_rate(cores.granted_at(), scenario.rate_per_s) - scenario.burst
    )
    seconds = scenario.seconds
    return Figures(
        offered=len(acquisitions),
        granted=len(granted),
        wrongful_share=_count_wrongful_refusals(cores, scenario) / len(acquisitions),
        max_excess=max(0.0, round(excess, 6)),
        messages_per_s=max(cores.messages_by_core.values(), default=0) / seconds,
        bytes_per_s=max(cores.bytes_by_core.values(), default=0) / seconds,
    )


def _count_wrongful_refusals(cores: CountingCores, scenario: Scenario) -> int:
    """Return how many more calls a single token bucket for the fleet would grant."""
    requested_times = sorted(
        acquisition.requested_at for acquisition in cores.acquisition_by_ticket.values()
    )
    level, last, admitted = scenario.burst, requested_times[0], 0
    for at in requested_times:
        refilled = (at - last) * scenario.rate_per_s
        level, last = min(scenario.burst, level + refilled), at
        if level >= 1.0:
            level -= 1.0
            admitted += 1
    return max(0, admitted - cores.count(TokenDecision.GRANTED))
