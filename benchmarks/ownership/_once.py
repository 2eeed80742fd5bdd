"""Messages and store writes of a request that may run only once."""

from collections import Counter

import attrs

from knapweedlead.messages import encode_message
from knapweedlead.node import Effect, SendMessage, StoreCall
from knapweedlead.ownership.tests.fleets import fleet
from knapweedlead.requests import OnceDecision
from knapweedlead.requests.tests.claiming import ClaimingCores
from knapweedlead.store import CompareAndSwap
from standins.cores import Core

CLAIMS = 200
SIZE = 6
ONCE_PREFIX = "knapweedlead/once/"


class CountingCores(ClaimingCores):
    """Cores that count the messages and store writes for once records."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.messages: Counter[str] = Counter()
        self.bytes = 0
        self.store_writes = 0

    def _execute(self, core: Core, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            name = type(effect.message).__name__
            if name.startswith("Once") and effect.peer != core.address:
                self.messages[name] += 1
                self.bytes += len(encode_message(effect.message))
        if isinstance(effect, StoreCall):
            operation = effect.operation
            if isinstance(operation, CompareAndSwap):
                self.store_writes += operation.key.startswith(ONCE_PREFIX)
        super()._execute(core, effect)


@attrs.frozen
class OnceCost:
    """Mean cost over the whole fleet of one claim that is granted and settled."""

    messages: float
    bytes: float
    store_writes: float


def measure(is_durable: bool) -> OnceCost:
    """Claim and settle keys at all entries in round-robin order."""
    cores: CountingCores = fleet(1, SIZE, slots=16, times=None, cls=CountingCores)
    cores.run_for(20.0)
    cores.messages.clear()
    cores.bytes = cores.store_writes = 0
    names = list(cores.by_name)
    for number in range(CLAIMS):
        name = names[number % len(names)]
        claim = cores.claim(name, cores.create_key(), b"x" * 16, is_durable)
        cores.run_for(0.1)
        assert claim.decision is OnceDecision.CLAIMED
        cores.settle(claim)
        cores.run_for(0.1)
    return OnceCost(
        sum(cores.messages.values()) / CLAIMS,
        cores.bytes / CLAIMS,
        cores.store_writes / CLAIMS,
    )
