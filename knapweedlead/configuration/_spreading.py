"""Policies that choose to whom a change is passed on.

The partitioned tree follows the multicast over Chord's fingers with ranges
that R. Huebsch compares with flooding over all fingers ("Content-Based
Multicast: Comparison of Implementation Options", UCB/CSD-03-1229, 2003).
"""

import random
from typing import Protocol

import attrs

from knapweedlead.membership import ring_position
from knapweedlead.registries import Registry

RING_SIZE = 1 << 63
"""Number of ring positions."""

GOSSIP_FANOUT = 4
"""Members to which gossip passes a change on."""


@attrs.frozen
class Target:
    """A member to send to, and the end of the part of the ring it serves."""

    name: str
    range_end: int


class Spreading(Protocol):
    """Chooses the members to which a daemon passes a change on."""

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return the members to send to.

        Parameters
        ----------
        own : str
            Name of the daemon.
        until : int
            Ring position at which its part of the ring ends; its own position
            for the whole ring.
        fingers : list of str
            Its fingers, nearest first.
        names : list of str
            All members that run.
        """


SPREADING: Registry[Spreading] = Registry("spreading")


@SPREADING.register("flood")
class Flood:
    """Sends to all fingers.

    Parameters
    ----------
    rng : random.Random
        Not used.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return all fingers."""
        return [Target(name, ring_position(name)) for name in fingers]


@SPREADING.register("partitioned_tree")
class PartitionedTree:
    """Sends to the fingers in its part of the ring, and parts it among them.

    Parameters
    ----------
    rng : random.Random
        Not used.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return the fingers before `range_end`, each with the part up to the next."""
        origin = ring_position(local_name)
        extent = distance(origin, range_end) or RING_SIZE
        inside = [
            name for name in fingers if distance(origin, ring_position(name)) < extent
        ]
        ends = [ring_position(name) for name in inside[1:]] + [range_end]
        return [Target(name, end) for name, end in zip(inside, ends, strict=False)]


@SPREADING.register("gossip")
class Gossip:
    """Sends to a few members chosen at random.

    Parameters
    ----------
    rng : random.Random
        Source of the choice.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def targets(
        self, local_name: str, range_end: int, fingers: list[str], names: list[str]
    ) -> list[Target]:
        """Return a few of all members."""
        chosen = self.rng.sample(names, min(GOSSIP_FANOUT + 1, len(names)))
        others = [name for name in chosen if name != local_name]
        return [Target(name, ring_position(name)) for name in others[:GOSSIP_FANOUT]]


def distance(origin: int, position: int) -> int:
    """Return how far a ring position lies behind another."""
    return (position - origin) % RING_SIZE
