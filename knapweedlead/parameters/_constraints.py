"""Declarative parameter constraints and the one place that checks them."""

import math
from typing import Any, Protocol

import attrs

from knapweedlead.errors import ParameterError


class Constraint(Protocol):
    """A condition on one value."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` satisfies the constraint."""

    def describe(self) -> str:
        """Return what is expected, for a message."""


@attrs.frozen
class Interval:
    """A number between two bounds.

    Parameters
    ----------
    kind : type
        ``int`` or ``float``; an ``int`` also passes for ``float``.
    low, high : float
        Inclusive bounds; infinities leave a side open.
    unit : str
        Unit for messages, such as ``"s"``.
    """

    kind: type
    low: float = -math.inf
    high: float = math.inf
    unit: str = ""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a number of the kind within the bounds."""
        if isinstance(value, bool):
            return False
        kinds = (int,) if self.kind is int else (int, float)
        return isinstance(value, kinds) and self.low <= value <= self.high

    def describe(self) -> str:
        """Return the interval in words."""
        noun = "an integer" if self.kind is int else "a number"
        unit = f" {self.unit}" if self.unit else ""
        return f"{noun} in [{self.low:g}, {self.high:g}]{unit}"


@attrs.frozen
class Choice:
    """One of a closed list of values."""

    values: tuple[Any, ...]

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is in the list."""
        return value in self.values

    def describe(self) -> str:
        """Return the list in words."""
        return "one of " + ", ".join(repr(value) for value in self.values)


@attrs.frozen
class InstanceOf:
    """An instance of a class."""

    kind: type

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is an instance."""
        return isinstance(value, self.kind)

    def describe(self) -> str:
        """Return the class in words."""
        return f"an instance of {self.kind.__name__}"


def check_value(owner: str, name: str, constraint: Constraint, value: Any) -> None:
    """Check one value.

    Raises
    ------
    ParameterError
        If the value does not satisfy the constraint; the message names what
        was expected and what was found.
    """
    if not constraint.accepts(value):
        raise ParameterError(
            f"{owner}: parameter '{name}': "
            f"expected {constraint.describe()}, got {value!r}"
        )


def check_parameters(instance: object) -> None:
    """Check the parameters of `instance` against its class's constraints.

    The class declares ``parameter_constraints``, a mapping of attribute name
    to constraint.

    Raises
    ------
    ParameterError
        At the first parameter outside its constraint.
    """
    constraints: dict[str, Constraint] = getattr(
        type(instance), "parameter_constraints", {}
    )
    for name, constraint in constraints.items():
        check_value(type(instance).__name__, name, constraint, getattr(instance, name))
