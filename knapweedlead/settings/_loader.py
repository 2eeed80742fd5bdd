"""Loading and validation of settings files."""

import typing
from pathlib import Path
from typing import Any, TypeVar

import attrs
import json5
from result import Err, Ok, Result

from knapweedlead.errors import SettingsError
from knapweedlead.parameters import Constraint

T = TypeVar("T")

_SECRET_FIELDS = frozenset({"fleet_secret", "operator_credential"})


def load_settings(cls: type[T], path: str) -> Result[T, SettingsError]:
    """Load a settings file into an attrs class.

    Parameters
    ----------
    cls : type
        attrs class that declares ``parameter_constraints``.
    path : str
        File in JSON with comments.

    Returns
    -------
    Result
        The settings, or an error with the file, the field, and the expected and the
        actual value.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _invalid(path, "-", "a readable file", type(error).__name__)
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        return _invalid(path, "-", "JSON with comments", str(error).splitlines()[0])
    return build_settings(cls, document, path, "")


def build_settings(
    cls: type[T], document: Any, path: str, prefix: str
) -> Result[T, SettingsError]:
    """Build `cls` from a decoded document.

    Parameters
    ----------
    cls : type
        attrs class that declares ``parameter_constraints``.
    document : object
        Decoded JSON.
    path : str
        File name for error messages.
    prefix : str
        Dotted name of the enclosing field with a trailing dot; empty at the top level.
    """
    if not isinstance(document, dict):
        return _invalid(path, prefix.rstrip(".") or "-", "an object", repr(document))
    hints = typing.get_type_hints(cls)
    fields = {attribute.name: attribute for attribute in attrs.fields(cls)}  # type: ignore[arg-type]
    for name in document:
        if name not in fields:
            expected = "one of " + ", ".join(fields)
            return _invalid(path, prefix + name, expected, "an unknown field")
    values: dict[str, Any] = {}
    for name, attribute in fields.items():
        if name not in document:
            if attribute.default is attrs.NOTHING:
                return _invalid(path, prefix + name, "a value", "none")
            continue
        built = _build_value(cls, name, hints[name], document[name], path, prefix)
        if isinstance(built, Err):
            return built
        values[name] = built.ok_value
    return Ok(cls(**values))


def _build_value(
    cls: Any, name: str, hint: Any, value: Any, path: str, prefix: str
) -> Result[Any, SettingsError]:
    if attrs.has(hint):
        return build_settings(hint, value, path, f"{prefix}{name}.")
    if typing.get_origin(hint) is tuple and attrs.has(typing.get_args(hint)[0]):
        return _build_items(typing.get_args(hint)[0], value, path, prefix + name)
    constraint: Constraint = cls.parameter_constraints[name]
    if not constraint.accepts(value):
        found = "a secret" if name in _SECRET_FIELDS else repr(value)
        return _invalid(path, prefix + name, constraint.describe(), found)
    return Ok(tuple(value) if isinstance(value, list) else value)


def _build_items(
    cls: Any, values: Any, path: str, name: str
) -> Result[Any, SettingsError]:
    if not isinstance(values, list):
        return _invalid(path, name, "a list", repr(values))
    items = []
    for number, value in enumerate(values):
        built = build_settings(cls, value, path, f"{name}[{number}].")
        if isinstance(built, Err):
            return built
        items.append(built.ok_value)
    return Ok(tuple(items))


def _invalid(path: str, field: str, expected: str, found: str) -> Err[SettingsError]:
    error = SettingsError(
        step="settings.load",
        peer=path,
        detail="does not validate",
        field=field,
        expected=expected,
        found=found,
    )
    return Err(error)
