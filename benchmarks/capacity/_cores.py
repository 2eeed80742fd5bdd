"""Node cores of the whole fleet in one process, with messages counted."""

import time
from collections import Counter
from collections.abc import Iterator

import attrs

from benchmarks.capacity._size import DATA_CENTRES, REGIONS, SERVICES
from knapweedlead.messages import encode_message
from knapweedlead.node import Effect, Event, SendMessage
from standins.cores import Core, Cores

FRAME_BYTES = 6
"""Mean size of a websocket frame's header, beside the message."""

_STORE_WRITES = ("CompareAndSwap", "Delete", "CreateLease", "RenewLease", "RevokeLease")


@attrs.define
class Tally:
    """What a fleet spent in a window.

    Attributes
    ----------
    messages_by_class, bytes_by_class : Counter
        Messages sent and the bytes of their encoding, by class name.
    bytes_by_sender, bytes_by_receiver : Counter
        The same by core name.
    processor_s, processor_by_core : float, dict of str to float
        Processor time of all cores' decisions, and of each, in seconds.
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
        """Hand an event to a core and note the processor time of the decision."""
        started_at = time.thread_time()
        super().report(core, event)
        spent = time.thread_time() - started_at
        self.tally.processor_s += spent
        by_core = self.tally.processor_by_core
        by_core[core.name] = by_core.get(core.name, 0.0) + spent

    def _execute(self, core: Core, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._count(core, effect)
        super()._execute(core, effect)

    def _count(self, core: Core, effect: SendMessage) -> None:
        other = self._by_address.get(effect.peer)
        if other is core:
            return
        name = type(effect.message).__name__
        size = len(encode_message(effect.message)) + FRAME_BYTES
        tally = self.tally
        tally.messages_by_class[name] += 1
        tally.bytes_by_class[name] += size
        tally.bytes_by_sender[core.name] += size
        if other is not None:
            tally.bytes_by_receiver[other.name] += size

    def reset(self) -> None:
        """Begin a new window."""
        self.tally = Tally()
        self.store.calls.clear()
        for core in self.by_name.values():
            core.other_effects.clear()

    @property
    def store_writes(self) -> int:
        """Writes to the store since `reset`."""
        return sum(self.store.calls[name] for name in _STORE_WRITES)

    @property
    def store_reads(self) -> int:
        """Reads and watches of the store since `reset`."""
        return self.store.calls.total() - self.store_writes


def names_of(servers: int) -> Iterator[tuple[str, str, str, str]]:
    """Return name, service, data centre and region of each server."""
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
        Document in the store.
    seed : int
        Seed of everything random.
    """
    cores = CountingCores(seed)
    cores.store.state.compare_and_swap("knapweedlead/catalogue", catalogue, 0, "")
    for name, service, data_centre, region in names_of(servers):
        cores.add(name, service, data_centre, region)
    return cores
