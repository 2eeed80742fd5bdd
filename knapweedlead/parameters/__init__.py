"""Constraints on constructor parameters, declared in each class."""

from knapweedlead.parameters._constraints import (
    Choice,
    Constraint,
    InstanceOf,
    Interval,
    check_parameters,
    check_value,
)

__all__ = [
    "Choice",
    "Constraint",
    "InstanceOf",
    "Interval",
    "check_parameters",
    "check_value",
]
