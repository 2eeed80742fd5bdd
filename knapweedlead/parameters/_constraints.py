"""Declarative constraints on parameters, and their validation."""

import math
from typing import Any, Protocol

import attrs

from knapweedlead.errors import ParameterError


class Constraint(Protocol):
    """Condition on a single value."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` satisfies the constraint."""

    def describe(self) -> str:
        """Return the expected value as a phrase for error messages."""


@attrs.frozen
class Interval:
    """Constraint: a number between two bounds.

    Parameters
    ----------
    kind : type
        ``int`` or ``float``; ``float`` also accepts an ``int``.
    low, high : float
        Inclusive bounds; an infinite bound sets no limit on its side.
    unit : str
        Unit for error messages, such as ``"s"``.
    """

    kind: type
    low: float = -math.inf
    high: float = math.inf
    unit: str = ""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a number of type `kind` within the bounds."""
        if isinstance(value, bool):
            return False
        kinds = (int,) if self.kind is int else (int, float)
        return isinstance(value, kinds) and self.low <= value <= self.high

    def describe(self) -> str:
        """Return type, bounds and unit as text."""
        noun = "an integer" if self.kind is int else "a number"
        unit = f" {self.unit}" if self.unit else ""
        return f"{noun} in [{self.low:g}, {self.high:g}]{unit}"


@attrs.frozen
class Choice:
    """Constraint: one of a fixed set of values."""

    values: tuple[Any, ...]

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is one of the values."""
        return value in self.values

    def describe(self) -> str:
        """Return the values as text."""
        return "one of " + ", ".join(repr(value) for value in self.values)


@attrs.frozen
class InstanceOf:
    """Constraint: an object of a given class."""

    kind: type

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is an object of the class or a subclass."""
        return isinstance(value, self.kind)

    def describe(self) -> str:
        """Return the class name as text."""
        return f"an instance of {self.kind.__name__}"


def check_value(owner: str, name: str, constraint: Constraint, value: Any) -> None:
    """Validate one value.

    Parameters
    ----------
    owner : str
        Class name for the error message.
    name : str
        Parameter name for the error message.
    constraint : Constraint
    value : object

    Raises
    ------
    ParameterError
        If the value does not satisfy the constraint; the message states the
        expected and the actual value.
    """
    if not constraint.accepts(value):
        raise ParameterError(
            f"{owner}: parameter '{name}': "
            f"expected {constraint.describe()}, got {value!r}"
        )


def check_parameters(obj: object) -> None:
    """Validate the parameters of `obj` against the constraints of its class.

    The class declares ``parameter_constraints``, a mapping of attribute names to
    constraints. A class without this mapping is not checked.

    Raises
    ------
    ParameterError
        For the first parameter that does not satisfy its constraint.
    """
    constraints: dict[str, Constraint] = getattr(type(obj), "parameter_constraints", {})
    for name, constraint in constraints.items():
        check_value(type(obj).__name__, name, constraint, getattr(obj, name))
