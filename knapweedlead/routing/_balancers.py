"""Load balancing policies: choice of a server from a pool."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from knapweedlead.registries import Registry
from knapweedlead.routing._server import ObservedServer

Accepts = Callable[[ObservedServer], bool]

_SAMPLES = 4
"""Random draws before the whole pool is searched."""
_CHOICES = 2
_MIN_LATENCY = 1e-4
"""Seconds below which latencies count as equal."""


class Balancer(Protocol):
    """A policy that chooses one server of a pool."""

    def choose(
        self,
        pool: Sequence[ObservedServer],
        accepts: Accepts,
        now: float,
        rng: random.Random,
    ) -> ObservedServer | None:
        """Return a server for which `accepts` is true, or None."""


BALANCERS: Registry[Balancer] = Registry("balancer")


@BALANCERS.register("random")
class RandomChoice:
    """Baseline: a server chosen uniformly at random."""

    def choose(
        self,
        pool: Sequence[ObservedServer],
        accepts: Accepts,
        now: float,
        rng: random.Random,
    ) -> ObservedServer | None:
        """Return a random accepted server."""
        accepted = [server for server in pool if accepts(server)]
        return rng.choice(accepted) if accepted else None


@BALANCERS.register("least_latency")
class LeastLatency:
    """Baseline: the server with the lowest latency, failures included.

    Exhibits the black hole effect: a server that fails fast attracts all traffic.
    """

    def choose(
        self,
        pool: Sequence[ObservedServer],
        accepts: Accepts,
        now: float,
        rng: random.Random,
    ) -> ObservedServer | None:
        """Return the accepted server with the lowest latency over all results."""
        accepted = [server for server in pool if accepts(server)]
        if not accepted:
            return None
        return min(accepted, key=lambda server: (server.any_latency, rng.random()))


@BALANCERS.register("two_choices")
class TwoChoices:
    """Power of two choices: the server of lower cost of two drawn at random."""

    def choose(
        self,
        pool: Sequence[ObservedServer],
        accepts: Accepts,
        now: float,
        rng: random.Random,
    ) -> ObservedServer | None:
        """Draw two accepted servers and return the server of lower cost."""
        drawn = _draw(pool, accepts, rng)
        if len(drawn) < _CHOICES:
            return drawn[0] if drawn else None
        left, right = drawn
        known = [server.latency for server in drawn if server.latency]
        typical = min(known, default=_MIN_LATENCY)
        is_left = cost(left, typical, now) <= cost(right, typical, now)
        return left if is_left else right


def cost(server: ObservedServer, typical: float, now: float) -> float:
    """Return the expected cost of one more call; lower is better.

    Parameters
    ----------
    server : ObservedServer
        Server whose cost is estimated.
    typical : float
        Latency assumed for a server without recent results, in seconds.
    now : float
        Seconds, monotonic.
    """
    latency = max(server.expected_latency(typical, now), _MIN_LATENCY)
    load = (server.outstanding(now) + 1) / server.capacity(now)
    success_share = max(1.0 - server.recent_failure_share(now), 0.05)
    return load * latency / (success_share * success_share)


def _draw(
    pool: Sequence[ObservedServer], accepts: Accepts, rng: random.Random
) -> list[ObservedServer]:
    """Return two distinct accepted servers, or fewer if there are not two."""
    size = len(pool)
    drawn: list[ObservedServer] = []
    for _ in range(_SAMPLES if size > _CHOICES else 0):
        server = pool[int(rng.random() * size)]
        if server not in drawn and accepts(server):
            drawn.append(server)
            if len(drawn) == _CHOICES:
                return drawn
    accepted = [server for server in pool if accepts(server)]
    return accepted if len(accepted) <= _CHOICES else rng.sample(accepted, _CHOICES)
