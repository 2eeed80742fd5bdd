"""Distribution of the retry credits of a request over its call tree.

Credits are escrowed: credits lent to a callee are deducted from the lender, and
only an answer returns unused credits. A lost answer returns no credits, so that the
retries of a whole call tree never exceed the credits of its root call.
"""

from typing import Protocol

from knapweedlead.registries import Registry


class CreditPolicy(Protocol):
    """Decides how many credits are lent to a callee."""

    def credits_for_child(self, available: int, route_credits: int) -> int:
        """Return the credits lent to a child of a call with `available` credits."""

    def credits_for_attempt(self, available: int, route_credits: int) -> int:
        """Return the credits lent to an attempt of a call with `available` credits."""

    def remaining_after(self, available: int, lent: int) -> int:
        """Return the credits that the lender keeps after lending."""

    def refunded(self, lent: int, unused: int) -> int:
        """Return the credits that an answer returns to the lender."""


CREDIT_POLICIES: Registry[CreditPolicy] = Registry("credit policy")


class _Escrow:
    """Base of the policies that deduct lent credits from the lender."""

    def remaining_after(self, available: int, lent: int) -> int:
        """Return the credits that the lender keeps after lending."""
        return available - lent

    def refunded(self, lent: int, unused: int) -> int:
        """Return the unused credits, at most the number lent."""
        return min(lent, max(unused, 0))


@CREDIT_POLICIES.register("lend_all")
class LendAll(_Escrow):
    """Lends all credits to the first child and to each attempt."""

    def credits_for_child(self, available: int, route_credits: int) -> int:
        """Return all credits of the parent."""
        return available

    def credits_for_attempt(self, available: int, route_credits: int) -> int:
        """Return all credits of the call."""
        return available


@CREDIT_POLICIES.register("keep_one")
class KeepOne(_Escrow):
    """Lends a part of the credits if there are several.

    A child is lent the larger half, which leaves some for its siblings. An attempt
    leaves one credit to its call, so that the call can be retried if the attempt
    is lost together with the credits lent to it.
    """

    def credits_for_child(self, available: int, route_credits: int) -> int:
        """Return the larger half of the credits of the parent."""
        return (available + 1) // 2

    def credits_for_attempt(self, available: int, route_credits: int) -> int:
        """Return all credits but one, or the only credit."""
        return available - 1 if available > 1 else available


@CREDIT_POLICIES.register("per_hop")
class PerHop:
    """Baseline: each hop retries independently, so that retries multiply."""

    def credits_for_child(self, available: int, route_credits: int) -> int:
        """Return the credits of the route, regardless of those left to the parent."""
        return route_credits

    def credits_for_attempt(self, available: int, route_credits: int) -> int:
        """Return the credits of the route, regardless of those left to the call."""
        return route_credits

    def remaining_after(self, available: int, lent: int) -> int:
        """Return the credits of the lender unchanged."""
        return available

    def refunded(self, lent: int, unused: int) -> int:
        """Return 0, because lending deducts nothing."""
        return 0
