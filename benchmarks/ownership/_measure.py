"""Store calls and messages for slot ownership by fleet size."""

from collections import Counter

import attrs

from knapweedlead.messages import encode_message
from knapweedlead.node import Effect, SendMessage, StoreCall
from knapweedlead.ownership import OwnershipTimes
from knapweedlead.ownership.tests.fleets import SharedStateCores, fleet
from knapweedlead.store import CompareAndSwap, Get, List
from standins.cores import Core

SLOT_MESSAGES = ("SlotHeartbeat", "SlotPromise")
SLOTS_PREFIX = "knapweedlead/slots/"
SETTLE_S = 60.0
MEASURED_S = 300.0


class CountingCores(SharedStateCores):
    """Cores that count the store calls and messages for slots."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.store_calls: Counter[str] = Counter()
        self.messages_by_core: Counter[str] = Counter()
        self.bytes_by_core: Counter[str] = Counter()

    def _execute(self, core: Core, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._count_message(core, effect)
        if isinstance(effect, StoreCall):
            self._count_store_call(effect)
        super()._execute(core, effect)

    def _count_message(self, core: Core, effect: SendMessage) -> None:
        if type(effect.message).__name__ in SLOT_MESSAGES:
            self.messages_by_core[core.name] += 1
            self.bytes_by_core[core.name] += len(encode_message(effect.message))

    def _count_store_call(self, effect: StoreCall) -> None:
        operation = effect.operation
        match operation:
            case Get(key) | CompareAndSwap(key):
                text = key
            case List(prefix):
                text = prefix
            case _:
                return
        if text.startswith(SLOTS_PREFIX):
            self.store_calls[type(operation).__name__] += 1


@attrs.frozen
class Load:
    """Cost of slot ownership.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
        Store calls for slots of the whole fleet.
    bytes_per_s : float
        Bytes of the slot heartbeats and promises that the busiest daemon sends.
    messages_per_s : float
        Slot heartbeats and promises sent by the busiest daemon.
    """

    reads_per_s: float
    writes_per_s: float
    bytes_per_s: float
    messages_per_s: float


def measure(size: int, slots: int = 64) -> Load:
    """Return the cost of `slots` slots in a settled fleet of `size` daemons."""
    times = OwnershipTimes(settled_s=1.0, handover_s=0.1)
    cores: CountingCores = fleet(1, size, slots, times, cls=CountingCores)
    cores.run_for(SETTLE_S)
    cores.store_calls.clear()
    cores.messages_by_core.clear()
    cores.bytes_by_core.clear()
    cores.run_for(MEASURED_S)
    calls = cores.store_calls
    return Load(
        (calls["Get"] + calls["List"]) / MEASURED_S,
        calls["CompareAndSwap"] / MEASURED_S,
        max(cores.bytes_by_core.values(), default=0) / MEASURED_S,
        max(cores.messages_by_core.values(), default=0) / MEASURED_S,
    )
