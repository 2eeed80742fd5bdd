"""Placement: chooses the backend server that receives a call."""

import math
import random
from collections.abc import Collection, Sequence
from typing import Any, ClassVar, Protocol

import attrs

from knapweedlead.mesh._tickets import ServerState
from knapweedlead.parameters import Constraint, Interval, check_parameters
from knapweedlead.registries import Registry


@attrs.define(eq=False)
class Target:
    """A daemon and its local backend server, as known to an entry.

    Attributes
    ----------
    name, data_centre, service : str
    channel : object
        Sends calls to the daemon.
    is_up : bool
        Whether calls can be sent to the daemon.
    state : ServerState
        State last announced by the daemon.
    load : int
        Running and queued calls as last announced, plus the calls sent since then.
    """

    name: str
    data_centre: str
    service: str
    channel: Any
    is_up: bool = False
    state: ServerState = ServerState()
    load: int = 0

    def apply_state(self, state: ServerState) -> None:
        """Apply the state announced by the daemon."""
        self.state = state
        self.load = state.running + state.queued

    def apply_load(self, running: int, queued: int) -> None:
        """Apply the load announced with an answer."""
        self.load = running + queued

    @property
    def is_open(self) -> bool:
        """Whether a call may be sent."""
        return self.is_up and self.state.is_open


class Placement(Protocol):
    """Policy that chooses among the targets of a service."""

    parameter_constraints: ClassVar[dict[str, Constraint]]

    def choose(
        self,
        targets: Sequence[Target],
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the target for a call, or None if none is open.

        Parameters
        ----------
        targets : sequence of Target
        rng : random.Random
        excluded : collection of str
            Names of targets that must not be chosen, since they have been tried.
        """


MAX_LOCAL_CANDIDATES = 8
MAX_REMOTE_CANDIDATES = 6
"""Targets of the local and of all other data centres that are compared for one call.
Comparing all targets of a large service costs more than it gains, and makes all entries
choose the same few targets."""
MIN_CAPACITY = 0.1
"""Smallest capacity, in concurrent calls, that is used to compare targets."""
UNKNOWN_SERVICE_TIME = 0.01
"""Seconds assumed for a server without a measured service time; short, so that it
receives calls soon."""

PLACEMENTS: Registry[Placement] = Registry("placement")


@PLACEMENTS.register("random")
class RandomPlacement:
    """Baseline that chooses any open target at random."""

    parameter_constraints: ClassVar[dict[str, Constraint]] = {}

    def choose(
        self,
        targets: Sequence[Target],
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return a random open target."""
        candidates = [t for t in targets if t.is_open and t.name not in excluded]
        return rng.choice(candidates) if candidates else None


@PLACEMENTS.register("least_cost")
class LeastCostPlacement:
    """Chooses the target of least expected cost, with a preference for local targets.

    Accounts for servers of one service that differ in speed or load, fail some of their
    calls or are cold. The cost of a target is its service time, increased with its
    utilization and its failure share.

    Parameters
    ----------
    data_centre : str
        Local data centre.
    distance_factor : float
        Cost of a target in another data centre relative to a local target.
    cold_factor : float
        Cost of a cold target relative to a warm target.
    noise : float
        Random fraction of a cost, so that entries do not all choose the same target.
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
        """Return the open target of least cost."""
        local = [t for t in targets if t.data_centre == self.data_centre]
        remote = [t for t in targets if t.data_centre != self.data_centre]
        candidates = [
            *spread_sample(local, MAX_LOCAL_CANDIDATES, rng),
            *spread_sample(remote, MAX_REMOTE_CANDIDATES, rng),
        ]
        best = self._cheapest(candidates, rng, excluded)
        if best is None and len(candidates) < len(targets):
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
        utilization = _utilization(target)
        service_time = state.service_time or UNKNOWN_SERVICE_TIME
        cost = service_time * (1.0 + utilization + 6.0 * utilization**6)
        cost /= max(0.05, 1.0 - state.failure_share) ** 2
        if target.data_centre != self.data_centre:
            cost *= self.distance_factor
        if state.is_cold:
            cost *= self.cold_factor
        return cost


def _utilization(target: Target) -> float:
    """Return the fraction of a target's capacity that one more call would use.

    An idle server that limits its rate counts as unused, however small its capacity.
    Otherwise it might receive no call at all, and the end of its limit would remain
    unnoticed.
    """
    state = target.state
    if state.rate_limit < math.inf:
        return target.load / max(MIN_CAPACITY, state.capacity)
    return (target.load + 1) / max(1, state.limit)


def spread_sample(
    targets: Sequence[Target], max_count: int, rng: random.Random
) -> Sequence[Target]:
    """Return at most `max_count` targets at regular intervals.

    Targets are listed by data centre, so regular intervals cover all data centres.
    """
    step = -(-len(targets) // max_count)
    return targets if step <= 1 else targets[rng.randrange(step) :: step]
