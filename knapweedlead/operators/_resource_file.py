"""Resource files, in JSON with comments."""

from pathlib import Path
from typing import Any

import attrs
import json5
from result import Err, Ok, Result

from knapweedlead.configuration import KINDS, check_resource
from knapweedlead.errors import SettingsError

APPLY_ORDER = (
    "services",
    "data_centres",
    "backend_servers",
    "client_accounts",
    "keys",
    "routes",
)
"""Kinds ordered so that resources are created before those that refer to them."""


@attrs.frozen
class ResourceDocument:
    """Resource as written in a file."""

    kind: str
    name: str
    document: dict[str, Any]


def load_resources(path: str) -> Result[list[ResourceDocument], SettingsError]:
    """Read and validate a file that maps kinds to lists of resources."""
    try:
        document = json5.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return _invalid(path, "-", "readable JSON with comments", str(error))
    if not isinstance(document, dict):
        return _invalid(path, "-", "an object of kinds", repr(document))
    for kind in document:
        if kind not in KINDS:
            return _invalid(path, kind, f"one of {', '.join(KINDS)}", "an unknown kind")
    resources = []
    for kind in APPLY_ORDER:
        for number, item in enumerate(document.get(kind, [])):
            checked = check_resource(kind, item)
            if isinstance(checked, Err):
                where = f"{kind}[{number}].{checked.err_value.field}"
                return _invalid(
                    path, where, "a valid resource", checked.err_value.detail
                )
            resources.append(ResourceDocument(kind, item["name"], item))
    return Ok(resources)


def _invalid(path: str, field: str, expected: str, found: str) -> Err[SettingsError]:
    return Err(
        SettingsError(
            step="operators.load_resources",
            peer=path,
            detail="does not validate",
            field=field,
            expected=expected,
            found=found.splitlines()[0] if found else "nothing",
        )
    )
