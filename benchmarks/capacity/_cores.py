"""Node cores of a whole fleet in one process, with resource usage counted."""

import time
from collections import Counter
from collections.abc import Iterator

import attrs

from benchmarks.capacity._size import DATA_CENTRES, REGIONS, SERVICES
from knapweedlead.messages import encode_message
from knapweedlead.node import Effect, Event, SendMessage
from standins.cores import Core, Cores

FRAME_BYTES = 6
"""Mean size of the WebSocket frame header that precedes each message."""

_STORE_WRITES = ("CompareAndSwap", "Delete", "CreateLease", "RenewLease", "RevokeLease")


@attrs.define
class Tally:
    """Resource usage of a fleet in a measurement window.

    Attributes
    ----------
    messages_by_class, bytes_by_class : Counter
        Messages sent, and their bytes with frame headers, by class name.
    bytes_by_sender, bytes_by_receiver : Counter
        Bytes sent and received, by core name.
    processor_s, processor_by_core : float, dict of str to float
        Processor time of the decisions of all cores, and by core name, in seconds.
    """

    messages_by_class: Counter[str] = attrs.field(factory=Counter)
    bytes_by_class: Counter[str] = attrs.field(factory=Counter)
    bytes_by_sender: Counter[str] = attrs.field(factory=Counter)
    bytes_by_receiver: Counter[str] = attrs.field(factory=Counter)
    processor_s: float = 0.0
    processor_by_core: dict[str, float] = attrs.field(factory=dict)


class CountingCores(Cores):
    """Cores whose messages, bytes and processor time are counted."""

    def __init__(self, seed: int = 1, delay: float = 0.0005) -> None:
        super().__init__(seed, delay)
        self.tally = Tally()

    def report(self, core: Core, event: Event) -> None:
        """Deliver an event to a core and record the processor time of its decision."""
        started_at = time.thread_time()
        super().report(core, event)
        processor_s = time.thread_time() - started_at
        self.tally.processor_s += processor_s
        by_core = self.tally.processor_by_core
        by_core[core.name] = by_core.get(core.name, 0.0) + processor_s

    def _execute(self, core: Core, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._count(core, effect)
        super()._execute(core, effect)

    def _count(self, core: Core, effect: SendMessage) -> None:
        receiver = self._by_address.get(effect.peer)
        if receiver is core:
            return
        name = type(effect.message).__name__
        size = len(encode_message(effect.message)) + FRAME_BYTES
        tally = self.tally
        tally.messages_by_class[name] += 1
        tally.bytes_by_class[name] += size
        tally.bytes_by_sender[core.name] += size
        if receiver is not None:
            tally.bytes_by_receiver[receiver.name] += size

    def reset(self) -> None:
        """Reset all counts to begin a new window."""
        self.tally = Tally()
        self.store.calls.clear()
        for core in self.by_name.values():
            core.other_effects.clear()

    @property
    def store_writes(self) -> int:
        """Number of writes to the store since `reset`."""
        return sum(self.store.calls[name] for name in _STORE_WRITES)

    @property
    def store_reads(self) -> int:
        """Number of reads and watches of the store since `reset`."""
        return self.store.calls.total() - self.store_writes


def server_identities(servers: int) -> Iterator[tuple[str, str, str, str]]:
    """Yield name, service, data centre and region of each server."""
    for number in range(servers):
        data_centre = number % DATA_CENTRES
        yield (
            f"server-{number:03d}",
            f"service-{number // DATA_CENTRES % SERVICES:02d}",
            f"dc{data_centre}",
            f"region{data_centre % REGIONS}",
        )


def build(servers: int, catalogue: bytes, seed: int = 1) -> CountingCores:
    """Return a fleet of cores that have all just started.

    Parameters
    ----------
    servers : int
        Number of daemons.
    catalogue : bytes
        Catalogue document in the store.
    seed : int
        Seed of the random number generator.
    """
    cores = CountingCores(seed)
    cores.store.state.compare_and_swap("knapweedlead/catalogue", catalogue, 0, "")
    for name, service, data_centre, region in server_identities(servers):
        cores.add(name, service, data_centre, region)
    return cores
