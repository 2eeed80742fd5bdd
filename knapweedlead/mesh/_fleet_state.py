"""Fleet-wide state from the store, and changes to it."""

import hashlib
from collections.abc import Iterable
from typing import Any, TypeVar

import attrs

from knapweedlead.checks import check_address, check_count, check_name
from knapweedlead.positions import StorePosition

_Value = TypeVar("_Value")


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
class DepartedStart:
    """A start of a backend server that is known to leave, or to have left.

    Parameters
    ----------
    instance : str
    born : int
        Start time in milliseconds since the epoch; 0 if unknown.
    left_ms : int
        Time of day at which this became known, in milliseconds since the epoch.
    """

    instance: str
    born: int
    left_ms: int

    def includes(self, instance: str, born: int) -> bool:
        """Return whether a start is the departed one.

        If only the instance is known, it is each start of that name that had begun.
        """
        if instance != self.instance:
            return False
        return born == self.born if self.born else born <= self.left_ms


def checked_departure(instance: Any, born: Any, left_ms: Any) -> DepartedStart:
    """Return a departure from fields that another program has written.

    Raises
    ------
    ValueError
    """
    return DepartedStart(check_name(instance), check_count(born), check_count(left_ms))


def departure_key(daemon: str, start: DepartedStart) -> str:
    """Return the key of a departure at a daemon, the same for each record of it."""
    text = f"{start.born} {start.instance}".encode("utf-8", "surrogatepass")
    return f"{daemon}/{hashlib.blake2s(text, digest_size=8).hexdigest()}"


@attrs.frozen
class FleetState:
    """Configuration, evacuated data centres and members, as of a store position.

    Parameters
    ----------
    position : StorePosition
        Position in the store's history up to which all changes are included.
    configuration : bytes
        The newest configuration, encoded; empty if there is none.
    configuration_position : StorePosition
        Era in which the configuration was read, and revision at which it was written.
    evacuated : frozenset of str
        Data centres that are out of service.
    member_by_name : dict of str to Member
        Daemons whose lease is valid.
    known_names : frozenset of str
        Daemons that have been registered, including those whose lease has ended but
        that are not known to be gone.
    departure_by_key : dict of str to DepartedStart
        Starts of backend servers that have left, by `departure_key`.
    """

    position: StorePosition = StorePosition()
    configuration: bytes = b""
    configuration_position: StorePosition = StorePosition()
    evacuated: frozenset[str] = frozenset()
    member_by_name: dict[str, Member] = attrs.field(factory=dict)
    known_names: frozenset[str] = frozenset()
    departure_by_key: dict[str, DepartedStart] = attrs.field(factory=dict)

    def departures_at(self, daemon: str) -> dict[str, DepartedStart]:
        """Return the departures of the backend server beside a daemon, by key."""
        return {
            key: start
            for key, start in self.departure_by_key.items()
            if key.rpartition("/")[0] == daemon
        }

    @property
    def names(self) -> frozenset[str]:
        """Names of all daemons that may be running."""
        return self.known_names.union(self.member_by_name)


@attrs.frozen
class FleetChange:
    """Changes between two positions in the store's history, both of one era.

    Parameters
    ----------
    position : StorePosition
        Position up to which the changes are complete.
    configuration : bytes or None
        The new configuration, encoded; None if it has not changed.
    configuration_position : StorePosition
    evacuated, returned : tuple of str
        Data centres taken out of and returned to service, according to the last
        declaration for each data centre.
    joined : tuple of Member
        Members added or changed.
    left : tuple of str
        Names of members whose lease has ended.
    remembered, forgotten : tuple of str
        Names of daemons that have been registered for the first time, and that are
        known to be gone.
    departed : dict of str to DepartedStart
        Departures that were recorded, by key.
    dropped : tuple of str
        Keys of departures that were removed.
    """

    position: StorePosition
    configuration: bytes | None = None
    configuration_position: StorePosition = StorePosition()
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    joined: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    remembered: tuple[str, ...] = ()
    forgotten: tuple[str, ...] = ()
    departed: dict[str, DepartedStart] = attrs.field(factory=dict)
    dropped: tuple[str, ...] = ()


def apply_change(state: FleetState, change: FleetChange) -> FleetState:
    """Return the state with a change applied."""
    member_by_name = _without(state.member_by_name, change.left)
    member_by_name |= {member.name: member for member in change.joined}
    evacuated = state.evacuated - frozenset(change.returned)
    configuration = state.configuration
    configuration_position = state.configuration_position
    if change.configuration is not None:
        configuration = change.configuration
        configuration_position = change.configuration_position
    return FleetState(
        position=max(state.position, change.position),
        configuration=configuration,
        configuration_position=configuration_position,
        evacuated=evacuated | frozenset(change.evacuated),
        member_by_name=member_by_name,
        known_names=state.known_names.difference(change.forgotten).union(
            change.remembered
        ),
        departure_by_key=_without(state.departure_by_key, change.dropped)
        | change.departed,
    )


def _without(by_name: dict[str, _Value], names: Iterable[str]) -> dict[str, _Value]:
    removed = set(names)
    return {name: value for name, value in by_name.items() if name not in removed}
