"""Spreading policies, which choose the members a change is forwarded to.

The partitioned tree is the multicast over Chord fingers with ranges described
by R. Huebsch, who compares it with flooding over all fingers ("Content-Based
Multicast: Comparison of Implementation Options", UCB/CSD-03-1229, 2003).
"""

import random
from typing import Protocol

import attrs

from knapweedlead.membership import ring_position
from knapweedlead.registries import Registry

RING_SIZE = 1 << 63
"""Number of positions on the ring."""

GOSSIP_FANOUT = 4
"""Members to which the gossip policy forwards a change."""


@attrs.frozen
class Target:
    """A receiving member and the end of the ring range assigned to the member."""

    name: str
    range_end: int


class Spreading(Protocol):
    """Chooses the members to which a daemon forwards a change."""

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return the members to send to.

        Parameters
        ----------
        local_name : str
            Name of the daemon.
        range_end : int
            Ring position at which the daemon's range ends; its own position
            means the whole ring.
        fingers : list of str
            Names of its fingers, nearest first.
        names : list of str
            Names of all running members.
        """


SPREADING: Registry[Spreading] = Registry("spreading")


@SPREADING.register("flood")
class Flood:
    """Forwards a change to all fingers.

    Parameters
    ----------
    rng : random.Random
        Unused; all policies have this parameter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return all fingers, each with the whole ring as its range."""
        return [Target(name, ring_position(name)) for name in fingers]


@SPREADING.register("partitioned_tree")
class PartitionedTree:
    """Forwards to the fingers in the daemon's range and divides the range among them.

    Parameters
    ----------
    rng : random.Random
        Unused; all policies have this parameter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return the fingers before `range_end`, with ranges up to the next finger."""
        origin = ring_position(local_name)
        extent = distance(origin, range_end) or RING_SIZE
        inside = [
            name for name in fingers if distance(origin, ring_position(name)) < extent
        ]
        ends = [ring_position(name) for name in inside[1:]] + [range_end]
        return [Target(name, end) for name, end in zip(inside, ends, strict=False)]


@SPREADING.register("gossip")
class Gossip:
    """Forwards to `GOSSIP_FANOUT` members chosen at random.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return a random sample of the other members."""
        chosen = self.rng.sample(names, min(GOSSIP_FANOUT + 1, len(names)))
        others = [name for name in chosen if name != local_name]
        return [Target(name, ring_position(name)) for name in others[:GOSSIP_FANOUT]]


def distance(origin: int, position: int) -> int:
    """Return the clockwise distance from `origin` to `position` on the ring."""
    return (position - origin) % RING_SIZE
