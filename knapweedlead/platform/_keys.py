"""Encoding of the fleet's keys in the platform's store."""

import base64
import json
from collections.abc import Iterable
from typing import Any

import attrs

from knapweedlead.checks import check_count, check_name
from knapweedlead.mesh import (
    DepartedStart,
    FleetChange,
    Member,
    checked_departure,
    checked_member,
)
from knapweedlead.positions import StorePosition

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
DEPARTURE_PREFIX = "leaves/"
MEMBER_PREFIX = "members/"
ROSTER_PREFIX = "roster/"
"""Keys without a lease, which outlive the leases of the members."""
_MEMBER_FIELDS = tuple(field.name for field in attrs.fields(Member))
UNDECODABLE = b"{}"
"""Document without a version, in place of a configuration that is not base64."""


def decode_changes(
    entries: list[dict[str, Any]], position: StorePosition
) -> FleetChange:
    """Decode store items, or events in the order of their revisions.

    Keys of other writers, invalid members and data centres without a proper name are
    ignored.

    Parameters
    ----------
    entries : list of dict
        Items or events as the store returns them.
    position : StorePosition
        Position up to which the changes are complete.
    """
    configuration: bytes | None = None
    configuration_position = StorePosition()
    evacuated: dict[str, bool] = {}
    members: dict[str, Member | None] = {}
    is_known_by_name: dict[str, bool] = {}
    departures: dict[str, DepartedStart | None] = {}
    for entry in entries:
        key = entry.get("key") if isinstance(entry, dict) else None
        if not isinstance(key, str):
            continue
        is_deleted = bool(entry.get("deleted"))
        if key == CONFIGURATION_KEY and not is_deleted:
            # A value that is no text becomes a document that cannot be decoded, so
            # that the configuration counts as changed.
            configuration = _decode_value(entry.get("value")) or UNDECODABLE
            configuration_position = _decode_position(entry, position)
        elif key.startswith(EVACUATION_PREFIX):
            data_centre = key.removeprefix(EVACUATION_PREFIX)
            if _is_name(data_centre):
                evacuated[data_centre] = not is_deleted
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            value = entry.get("value")
            if _is_name(name):
                members[name] = None if is_deleted else _decode_member(name, value)
        elif key.startswith(ROSTER_PREFIX):
            name = key.removeprefix(ROSTER_PREFIX)
            if _is_name(name):
                is_known_by_name[name] = not is_deleted
        elif key.startswith(DEPARTURE_PREFIX):
            name = key.removeprefix(DEPARTURE_PREFIX)
            if _is_name(name):
                value = entry.get("value")
                departures[name] = None if is_deleted else _decode_departure(value)
    return FleetChange(
        position=position,
        configuration=configuration,
        configuration_position=configuration_position,
        evacuated=tuple(
            zone for zone, is_evacuated in evacuated.items() if is_evacuated
        ),
        returned=tuple(
            zone for zone, is_evacuated in evacuated.items() if not is_evacuated
        ),
        joined=tuple(member for member in members.values() if member is not None),
        left=tuple(name for name, member in members.items() if member is None),
        remembered=tuple(n for n, is_known in is_known_by_name.items() if is_known),
        forgotten=tuple(n for n, is_known in is_known_by_name.items() if not is_known),
        departed={key: start for key, start in departures.items() if start is not None},
        dropped=tuple(key for key, start in departures.items() if start is None),
    )


def _decode_value(value: Any) -> bytes:
    """Return the decoded bytes of a value; empty if it cannot be decoded."""
    try:
        return base64.b64decode(value)
    except (ValueError, TypeError):
        return b""


def _decode_position(entry: dict[str, Any], latest: StorePosition) -> StorePosition:
    """Return the position of an entry; the latest one if it cannot be read."""
    try:
        return StorePosition(latest.era, check_count(entry.get("revision")))
    except ValueError:
        return latest


def _is_name(text: str) -> bool:
    try:
        check_name(text)
    except ValueError:
        return False
    return True


def _decode_member(name: str, value: Any) -> Member | None:
    """Return the member in a value, without fields of later versions."""
    try:
        document = json.loads(_decode_value(value))
        member = checked_member(*(document[field] for field in _MEMBER_FIELDS))
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return member if member.name == name else None


def _decode_departure(value: Any) -> DepartedStart | None:
    try:
        document = json.loads(_decode_value(value))
        return checked_departure(
            document["instance"], document["born"], document["leftMs"]
        )
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def encode_departure(key: str, start: DepartedStart) -> dict[str, Any]:
    """Return the write that records a departure for good."""
    document = {
        "instance": start.instance,
        "born": start.born,
        "leftMs": start.left_ms,
    }
    value = base64.b64encode(json.dumps(document).encode()).decode("ascii")
    return {"key": DEPARTURE_PREFIX + key, "value": value, "lease": 0}


def encode_roster_entry(name: str) -> dict[str, Any]:
    """Return the write that keeps a member's name when its lease ends."""
    return {"key": ROSTER_PREFIX + name, "value": "", "lease": 0}


def encode_removal(names: Iterable[str]) -> dict[str, Any]:
    """Return the transaction that removes names from the roster.

    Its condition is that none of them is registered.
    """
    listed = list(names)
    return {
        "expect": [{"key": MEMBER_PREFIX + name, "revision": 0} for name in listed],
        "puts": [],
        "remove": [ROSTER_PREFIX + name for name in listed],
    }


def encode_member(member: Member, lease: int) -> dict[str, Any]:
    """Return the write that registers a member for as long as a lease lasts."""
    value = json.dumps(attrs.asdict(member)).encode()
    return {
        "key": MEMBER_PREFIX + member.name,
        "value": base64.b64encode(value).decode("ascii"),
        "lease": lease,
    }
