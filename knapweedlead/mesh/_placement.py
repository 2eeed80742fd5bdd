"""Placement: chooses the backend server that receives a call."""

import random
from collections.abc import Collection, Sequence
from typing import Any, ClassVar, Protocol

import attrs

from knapweedlead.mesh._tickets import ServerState
from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry


@attrs.define(eq=False)
class Target:
    """A daemon and the backend server beside it, as an entry knows them.

    Attributes
    ----------
    name, data_centre, service : str
    channel : object
        Takes calls for the daemon.
    is_up : bool
        Whether calls can be passed to the daemon.
    state : ServerState
        Last told by the daemon.
    load : int
        Calls at the backend server: as last told, and those sent since.
    """

    name: str
    data_centre: str
    service: str
    channel: Any
    is_up: bool = False
    state: ServerState = ServerState()
    load: int = 0

    def take_state(self, state: ServerState) -> None:
        """Take what the daemon tells."""
        self.state = state
        self.load = state.running + state.queued

    def take_load(self, running: int, queued: int) -> None:
        """Take the load told along with an answer."""
        self.load = running + queued

    @property
    def is_open(self) -> bool:
        """Whether a call may be sent."""
        return self.is_up and self.state.is_open


class Placement(Protocol):
    """A policy that chooses among the targets of a service."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    def choose(
        self,
        targets: Sequence[Target],
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the target for a call, or None where none is open.

        Parameters
        ----------
        targets : sequence of Target
        rng : random.Random
        excluded : collection of str
            Names of targets that have been tried.
        """


MAX_CANDIDATES = 12
"""Targets compared for one call. Comparing all of a large service costs more than it
gains, and would send all entries to the same few targets."""
UNKNOWN_SERVICE_TIME = 0.01
"""Seconds assumed of a server that has answered nothing yet; short, so that it is
tried soon."""

PLACEMENTS: Registry[Placement] = Registry("placement")


@PLACEMENTS.register("random")
class RandomPlacement:
    """Baseline: any open target."""

    parameter_constraints: ClassVar[dict[str, Constraint]] = {}

    def choose(
        self,
        targets: Sequence[Target],
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return any open target."""
        opened = [t for t in targets if t.is_open and t.name not in excluded]
        return rng.choice(opened) if opened else None


@PLACEMENTS.register("least_cost")
class LeastCostPlacement:
    """The target where a call is expected to end first, nearby ones favoured.

    Answers servers of one service that differ in speed, fill up, fail part of
    their calls or turn cold: the cost of a target is its service time, raised
    with its utilization.

    Parameters
    ----------
    data_centre : str
        Own data centre.
    distance_factor : float
        Cost of a target in another data centre relative to one nearby.
    cold_factor : float
        Cost of a cold target relative to a warm one.
    noise : float
        Random part of a cost, so that entries do not all choose the same target.
    """

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "distance_factor": Interval(float, 1.0, 100.0),
        "cold_factor": Interval(float, 1.0, 100.0),
        "noise": Interval(float, 0.0, 1.0),
    }

    def __init__(
        self,
        data_centre: str,
        distance_factor: float = 2.0,
        cold_factor: float = 4.0,
        noise: float = 0.1,
    ) -> None:
        self.data_centre = data_centre
        self.distance_factor = distance_factor
        self.cold_factor = cold_factor
        self.noise = noise
        check_parameters(self)

    def choose(
        self,
        targets: Sequence[Target],
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the open target of the least cost."""
        compared = spread_sample(targets, MAX_CANDIDATES, rng)
        best = self._cheapest(compared, rng, excluded)
        if best is None and len(compared) < len(targets):
            best = self._cheapest(targets, rng, excluded)
        return best

    def _cheapest(
        self, targets: Sequence[Target], rng: random.Random, excluded: Collection[str]
    ) -> Target | None:
        best = None
        best_cost = 0.0
        for target in targets:
            if not target.is_open or target.name in excluded:
                continue
            cost = self._cost(target) * (1.0 + self.noise * rng.random())
            if best is None or cost < best_cost:
                best = target
                best_cost = cost
        return best

    def _cost(self, target: Target) -> float:
        state = target.state
        utilization = (target.load + 1) / max(1, state.limit)
        service_time = state.service_time or UNKNOWN_SERVICE_TIME
        cost = service_time * (1.0 + utilization + 6.0 * utilization**6)
        cost /= max(0.05, 1.0 - state.failure_share) ** 2
        if target.data_centre != self.data_centre:
            cost *= self.distance_factor
        if state.is_cold:
            cost *= self.cold_factor
        return cost


def spread_sample(
    targets: Sequence[Target], most: int, rng: random.Random
) -> Sequence[Target]:
    """Return some targets at even distances, so that each data centre has its part."""
    step = -(-len(targets) // most)
    return targets if step <= 1 else targets[rng.randrange(step) :: step]
