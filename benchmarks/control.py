"""Fleets of control cores, whose messages are counted as bytes."""

import random
from collections import Counter
from typing import Any

from knapweedlead.configuration import ApplyResource
from knapweedlead.messages import encode_message
from knapweedlead.node import SendMessage
from knapweedlead.settings import ConfigurationSettings
from standins.control_cores import ControlCores
from standins.cores import Core

DATA_CENTRES = 6
REGIONS = 2
SERVICES = 15
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.04
"""Delays within a region and between regions."""

TARGET_SECONDS = 7.0
"""Until a change is in force everywhere."""
TARGET_BYTES_PER_S = 15_000
"""For control, of a daemon."""
TARGET_PROCESSOR = 0.011
"""Share of a core for control, of a daemon."""


class CountingCores(ControlCores):
    """Control cores that count what they send.

    Parameters
    ----------
    seed : int
        Seed of everything random.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed=seed)
        self.messages_by_class: Counter[str] = Counter()
        self.bytes_by_class: Counter[str] = Counter()
        self.bytes_by_name: Counter[str] = Counter()
        self.delay_of = _delay

    def _send(self, core: Core, effect: SendMessage) -> None:
        name = type(effect.message).__name__
        size = len(encode_message(effect.message))
        self.messages_by_class[name] += 1
        self.bytes_by_class[name] += size
        self.bytes_by_name[core.name] += size
        receiver = self._by_address.get(effect.peer)
        if receiver is not None:
            self.bytes_by_name[receiver.name] += size
        super()._send(core, effect)

    def forget_counts(self) -> None:
        """Start to count anew."""
        self.messages_by_class.clear()
        self.bytes_by_class.clear()
        self.bytes_by_name.clear()
        self.store.calls.clear()

    def revisions(self) -> list[int]:
        """Return the revision in force on each running core."""
        return [
            core.composition.configuration.revision
            for core in self.by_name.values()
            if core.is_up
        ]

    def known(self) -> list[int]:
        """Return how many members each running core holds for running."""
        return [
            len(core.composition.membership.by_name)
            for core in self.by_name.values()
            if core.is_up
        ]

    def apply(self, at: str, burst: int) -> None:
        """Have an operator change a client account."""
        document = {"rate_per_s": 10, "burst": burst}
        self.send_operator_request(
            at, ApplyResource("client_accounts", "crew", document, None, "")
        )


def _delay(sender: Core, receiver: Core) -> float:
    is_near = sender.settings.region == receiver.settings.region
    return NEAR_SECONDS if is_near else FAR_SECONDS


def control_fleet(
    count: int, seed: int, start_seconds: float = 10.0, **settings: Any
) -> CountingCores:
    """Return a fleet started over some seconds, without having run further."""
    cores = CountingCores(seed)
    order = random.Random(seed)
    for number in range(count):
        place = number % DATA_CENTRES
        cores.at(
            start_seconds * order.random(),
            lambda n=number, p=place: cores.add(  # type: ignore[misc]
                f"daemon-{n}",
                f"service-{n % SERVICES}",
                f"data-centre-{p}",
                f"region-{p % REGIONS}",
                **settings,
            ),
        )
    cores.run_until(start_seconds)
    return cores


def settled_fleet(count: int, seed: int, spreading: str = "flood") -> Any:
    """Return a fleet whose members all know each other and one revision."""
    cores = control_fleet(count, seed, configuration=ConfigurationSettings(spreading))
    while set(cores.known()) != {count}:
        if cores.now > 120.0:
            raise TimeoutError(f"{min(cores.known())} of {count} members known")
        cores.run_for(0.5)
    cores.apply("daemon-0", 1)
    cores.run_for(8.0)
    return cores
