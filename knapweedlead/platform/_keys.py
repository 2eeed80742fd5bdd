"""Encoding of the fleet's keys in the platform's store."""

import base64
import json
from typing import Any

import attrs

from knapweedlead.mesh import FleetChange, Member

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
MEMBER_PREFIX = "members/"


def decode_changes(entries: list[dict[str, Any]], revision: int) -> FleetChange:
    """Decode store items, or events in the order of their revisions.

    Keys of other writers and invalid members are ignored.

    Parameters
    ----------
    entries : list of dict
        Items or events as the store returns them.
    revision : int
        Revision up to which the changes are complete.
    """
    configuration: bytes | None = None
    configuration_revision = 0
    evacuated: dict[str, bool] = {}
    members: dict[str, Member | None] = {}
    for entry in entries:
        key = entry["key"]
        is_deleted = bool(entry.get("deleted"))
        if key == CONFIGURATION_KEY and not is_deleted:
            configuration = base64.b64decode(entry["value"])
            configuration_revision = entry["revision"]
        elif key.startswith(EVACUATION_PREFIX):
            evacuated[key.removeprefix(EVACUATION_PREFIX)] = not is_deleted
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            members[name] = None if is_deleted else _decode_member(name, entry["value"])
    return FleetChange(
        revision=revision,
        configuration=configuration,
        configuration_revision=configuration_revision,
        evacuated=tuple(
            zone for zone, is_evacuated in evacuated.items() if is_evacuated
        ),
        returned=tuple(
            zone for zone, is_evacuated in evacuated.items() if not is_evacuated
        ),
        joined=tuple(member for member in members.values() if member is not None),
        left=tuple(name for name, member in members.items() if member is None),
    )


def _decode_member(name: str, value: str) -> Member | None:
    try:
        document = json.loads(base64.b64decode(value))
        member = Member(**document)
    except (ValueError, TypeError):
        return None
    return member if member.name == name else None


def encode_member(member: Member, lease: int) -> dict[str, Any]:
    """Return the write that registers a member for as long as a lease lasts."""
    value = json.dumps(attrs.asdict(member)).encode()
    return {
        "key": MEMBER_PREFIX + member.name,
        "value": base64.b64encode(value).decode("ascii"),
        "lease": lease,
    }
