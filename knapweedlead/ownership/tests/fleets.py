"""Simulated fleets of cores for the tests of slots."""

from typing import Any

import attrs

from knapweedlead.daemon import Composition
from knapweedlead.node import Node
from knapweedlead.ownership import OwnershipTimes
from knapweedlead.settings import DaemonSettings, OwnershipSettings
from standins.cores import Cores

TIMES = OwnershipTimes(lapse_s=60.0, renewal_s=5.0, list_s=2.0, list_s_per_member=0.0)
NUMBER_OF_SLOTS = 4
DATA_CENTRES = ("dc1", "dc2", "dc3")


class SharedStateCores(Cores):
    """Cores with only the roles that keep shared state, without calls and watches."""

    def _compose(self, settings: DaemonSettings) -> Composition:
        composition = super()._compose(settings)
        roles = [
            composition.membership,
            composition.bootstrap,
            composition.accounts,
            composition.once,
            composition.ownership,
        ]
        return attrs.evolve(composition, node=Node(roles))


def fleet(
    seed: int,
    size: int = 3,
    slots: int = NUMBER_OF_SLOTS,
    times: OwnershipTimes | None = TIMES,
    cls: type[Any] = SharedStateCores,
    **settings: Any,
) -> Any:
    """Return cores named d0, d1, ... over three data centres, not yet run."""
    cores = cls(seed=seed)
    for number in range(size):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        ownership = OwnershipSettings(slots, times or OwnershipTimes())
        cores.add(f"d{number}", "svc", data_centre, ownership=ownership, **settings)
    return cores


def clock_of(cores: Cores, name: str) -> float:
    """Return the current time on the clock of a core."""
    core = cores.by_name[name]
    return core.clock_offset + core.clock_rate * cores.now


def acting_owners(cores: Cores, slot: int) -> list[str]:
    """Return the running cores that may act for a slot now."""
    return [
        name
        for name, core in cores.by_name.items()
        if core.is_up
        and not core.is_paused
        and core.composition.ownership.active_slot(slot, clock_of(cores, name))
    ]


def acting_owners_by_slot(cores: Cores) -> dict[int, list[str]]:
    """Return the running cores that may act for each slot."""
    ownership = next(iter(cores.by_name.values())).composition.ownership
    return {
        slot: acting_owners(cores, slot) for slot in range(ownership.number_of_slots)
    }


def run_until(cores: Cores, condition: Any, limit: float) -> float:
    """Advance the clock until a condition holds; return the simulated seconds."""
    start = cores.now
    while not condition():
        assert cores.now < start + limit, "condition not met within the limit"
        cores.run_for(0.1)
    return cores.now - start
