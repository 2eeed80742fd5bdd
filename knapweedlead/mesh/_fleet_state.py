"""Fleet-wide state from the store, and changes to it."""

from collections.abc import Iterable
from typing import Any

import attrs

from knapweedlead.checks import check_address, check_name


@attrs.frozen
class Member:
    """A daemon of the fleet; `link_address` is ``IP:PORT``."""

    name: str
    link_address: str
    service: str
    data_centre: str


def checked_member(
    name: Any, link_address: Any, service: Any, data_centre: Any
) -> Member:
    """Return a member from fields that another program has written.

    Raises
    ------
    ValueError
        If a name cannot be encoded, or no connection can be opened to the address.
    """
    return Member(
        check_name(name),
        check_address(link_address),
        check_name(service),
        check_name(data_centre),
    )


@attrs.frozen
class FleetState:
    """Configuration, evacuated data centres and members, as of a store revision.

    Parameters
    ----------
    revision : int
        Revision of the store up to which all changes are included; 0 if nothing has
        been read.
    configuration : bytes
        The newest configuration, encoded; empty if there is none.
    configuration_revision : int
        Revision at which the configuration was written.
    evacuated : frozenset of str
        Data centres that are out of service.
    member_by_name : dict of str to Member
    """

    revision: int = 0
    configuration: bytes = b""
    configuration_revision: int = 0
    evacuated: frozenset[str] = frozenset()
    member_by_name: dict[str, Member] = attrs.field(factory=dict)


@attrs.frozen
class FleetChange:
    """Changes between two revisions of the store.

    Parameters
    ----------
    revision : int
        Revision up to which the changes are complete.
    configuration : bytes or None
        The new configuration, encoded; None if it has not changed.
    configuration_revision : int
    evacuated, returned : tuple of str
        Data centres taken out of and returned to service, according to the last
        declaration for each data centre.
    joined : tuple of Member
        Members added or changed.
    left : tuple of str
        Names of members whose lease has ended.
    """

    revision: int
    configuration: bytes | None = None
    configuration_revision: int = 0
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    joined: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()


def apply_change(state: FleetState, change: FleetChange) -> FleetState:
    """Return the state with a change applied."""
    member_by_name = _without(state.member_by_name, change.left)
    member_by_name |= {member.name: member for member in change.joined}
    evacuated = state.evacuated - frozenset(change.returned)
    configuration = state.configuration
    configuration_revision = state.configuration_revision
    if change.configuration is not None:
        configuration = change.configuration
        configuration_revision = change.configuration_revision
    return FleetState(
        revision=max(state.revision, change.revision),
        configuration=configuration,
        configuration_revision=configuration_revision,
        evacuated=evacuated | frozenset(change.evacuated),
        member_by_name=member_by_name,
    )


def _without(by_name: dict[str, Member], names: Iterable[str]) -> dict[str, Member]:
    removed = set(names)
    return {name: member for name, member in by_name.items() if name not in removed}
