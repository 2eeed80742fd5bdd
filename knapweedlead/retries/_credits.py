"""How the retry credits of a request spread over its call tree.

Credits are escrowed: what a callee is lent is taken from the lender, and only
an answer brings the unused part back. An answer that is lost brings none, so
that the retries of a whole tree never exceed the credits it entered with.
"""

from typing import Protocol

from knapweedlead.registries import Registry


class CreditPolicy(Protocol):
    """Decides how many credits a callee is lent."""

    def lent_to_child(self, held: int, route_credits: int) -> int:
        """Return the credits that a child call takes of its parent's `held`."""

    def lent_to_attempt(self, held: int, route_credits: int) -> int:
        """Return the credits that an attempt carries of its call's `held`."""

    def left_after(self, held: int, lent: int) -> int:
        """Return what the lender holds after lending."""

    def brought_back(self, lent: int, unused: int) -> int:
        """Return the credits that an answer gives back to the lender."""


CREDIT_POLICIES: Registry[CreditPolicy] = Registry("credit policy")


class _Escrow:
    """Base of the policies that take what they lend from the lender."""

    def left_after(self, held: int, lent: int) -> int:
        """Return what the lender holds after lending."""
        return held - lent

    def brought_back(self, lent: int, unused: int) -> int:
        """Return the unused credits, never more than were lent."""
        return min(lent, max(unused, 0))


@CREDIT_POLICIES.register("lend_all")
class LendAll(_Escrow):
    """Lends everything to the first child and to each attempt."""

    def lent_to_child(self, held: int, route_credits: int) -> int:
        """Return all that the parent holds."""
        return held

    def lent_to_attempt(self, held: int, route_credits: int) -> int:
        """Return all that the call holds."""
        return held


@CREDIT_POLICIES.register("keep_one")
class KeepOne(_Escrow):
    """Keeps one credit back where there are several.

    A child takes the larger half, which leaves some for its siblings. An
    attempt leaves one with its call, so that the call can be tried again when
    the attempt is lost with the credits it carried.
    """

    def lent_to_child(self, held: int, route_credits: int) -> int:
        """Return the larger half of what the parent holds."""
        return (held + 1) // 2

    def lent_to_attempt(self, held: int, route_credits: int) -> int:
        """Return all but one credit, or the last one."""
        return held - 1 if held > 1 else held


@CREDIT_POLICIES.register("per_hop")
class PerHop:
    """Baseline: each hop retries on its own account, so retries multiply."""

    def lent_to_child(self, held: int, route_credits: int) -> int:
        """Return the credits of the route, whatever the parent holds."""
        return route_credits

    def lent_to_attempt(self, held: int, route_credits: int) -> int:
        """Return the credits of the route, whatever the call holds."""
        return route_credits

    def left_after(self, held: int, lent: int) -> int:
        """Return what the lender held before."""
        return held

    def brought_back(self, lent: int, unused: int) -> int:
        """Return none, because none were taken."""
        return 0
