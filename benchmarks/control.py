"""Simulated fleets of control cores that count messages and bytes."""

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
INTRA_REGION_DELAY_SECONDS = 0.001
INTER_REGION_DELAY_SECONDS = 0.04
"""Message delays within a region and between regions."""

TARGET_PROPAGATION_SECONDS = 7.0
"""Time until a configuration change is active on every daemon."""
TARGET_BYTES_PER_S = 15_000
"""Control traffic that a daemon may cause."""
TARGET_PROCESSOR_SHARE = 0.011
"""Share of a processor core that a daemon may spend on control."""


class CountingCores(ControlCores):
    """Control cores that count the messages and bytes they send.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
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

    def reset_counts(self) -> None:
        """Reset the counts of messages, bytes and store calls."""
        self.messages_by_class.clear()
        self.bytes_by_class.clear()
        self.bytes_by_name.clear()
        self.store.calls.clear()

    def revisions(self) -> list[int]:
        """Return the active configuration revision of each running core."""
        return [
            core.composition.configuration.revision
            for core in self.by_name.values()
            if core.is_up
        ]

    def member_counts(self) -> list[int]:
        """Return the size of the membership table of each running core."""
        return [
            len(core.composition.membership.by_name)
            for core in self.by_name.values()
            if core.is_up
        ]

    def change_account(self, name: str, burst: int) -> None:
        """Change the burst of a client account through the operator API of a core."""
        document = {"rate_per_s": 10, "burst": burst}
        self.send_operator_request(
            name, ApplyResource("client_accounts", "crew", document, None, "")
        )


def _delay(sender: Core, receiver: Core) -> float:
    is_same_region = sender.settings.region == receiver.settings.region
    return INTRA_REGION_DELAY_SECONDS if is_same_region else INTER_REGION_DELAY_SECONDS


def control_fleet(
    count: int, seed: int, start_seconds: float = 10.0, **settings: Any
) -> CountingCores:
    """Return a fleet whose daemons start at random times within `start_seconds`.

    The simulation stops at `start_seconds`, when membership tables may still be
    incomplete.
    """
    cores = CountingCores(seed)
    order = random.Random(seed)
    for number in range(count):
        data_centre = number % DATA_CENTRES
        cores.at(
            start_seconds * order.random(),
            lambda n=number, d=data_centre: cores.add(  # type: ignore[misc]
                f"daemon-{n}",
                f"service-{n % SERVICES}",
                f"data-centre-{d}",
                f"region-{d % REGIONS}",
                **settings,
            ),
        )
    cores.run_until(start_seconds)
    return cores


def settled_fleet(count: int, seed: int, spreading: str = "flood") -> Any:
    """Return a fleet with complete membership tables and one catalogue revision.

    Raises
    ------
    TimeoutError
        If the tables are incomplete after 120 simulated seconds.
    """
    cores = control_fleet(count, seed, configuration=ConfigurationSettings(spreading))
    while set(cores.member_counts()) != {count}:
        if cores.now > 120.0:
            raise TimeoutError(f"{min(cores.member_counts())} of {count} members known")
        cores.run_for(0.5)
    cores.change_account("daemon-0", 1)
    cores.run_for(8.0)
    return cores
