"""Table of the members known to a daemon."""

import hashlib
import heapq

from knapweedlead.membership._member import (
    ENDED_STATES,
    Member,
)
from knapweedlead.membership._ring import Ring, ring_position

_NO_MEMBERS: list[Member] = []


class MemberTable:
    """Member records by name, with derived indexes.

    Attributes
    ----------
    by_name, by_link_address : dict of str to Member
        All members, including those that ended recently.
    running_by_name, ended_by_name : dict of str to Member
        Members presumed to run, and members that are dead or gone.
    ring : Ring
        Members that run and are not leaving.
    digest : int
        XOR of the hashes of the running members; equal for equal sets.
    generation : int
        Rises with each change.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self.by_link_address: dict[str, Member] = {}
        self.ring = Ring()
        self.digest = 0
        self.generation = 0
        self.running_by_name: dict[str, Member] = {}
        self.ended_by_name: dict[str, Member] = {}
        self._alive_by_service: dict[str, dict[str, Member]] = {}
        self._alive_list_by_service: dict[str, list[Member]] = {}
        self._relays_by_data_centre: dict[tuple[str, int], list[Member]] = {}

    def put(self, member: Member) -> None:
        """Insert a record, replacing the previous one of the same name."""
        previous = self.by_name.get(member.name)
        if previous is not None:
            self._unindex(previous)
        self.by_name[member.name] = member
        self._index(member)
        self._on_change()

    def remove(self, name: str) -> None:
        """Remove a member."""
        self._unindex(self.by_name.pop(name))
        self._on_change()

    def _on_change(self) -> None:
        self.generation += 1
        self._relays_by_data_centre.clear()

    def _index(self, member: Member) -> None:
        name = member.name
        holder = self.by_link_address.get(member.link_address)
        if holder is None or holder.incarnation <= member.incarnation:
            self.by_link_address[member.link_address] = member
        if member.state in ENDED_STATES:
            self.ended_by_name[name] = member
            return
        self.running_by_name[name] = member
        self.digest ^= _member_digest(member)
        if member.state != "leaving":
            self.ring.add(name)
        if member.state == "alive":
            self._alive_by_service.setdefault(member.service, {})[name] = member
            self._alive_list_by_service.pop(member.service, None)

    def _unindex(self, member: Member) -> None:
        name = member.name
        if self.by_link_address.get(member.link_address) is member:
            del self.by_link_address[member.link_address]
        if member.state in ENDED_STATES:
            del self.ended_by_name[name]
            return
        del self.running_by_name[name]
        self.digest ^= _member_digest(member)
        if member.state != "leaving":
            self.ring.remove(name)
        if member.state == "alive":
            del self._alive_by_service[member.service][name]
            self._alive_list_by_service.pop(member.service, None)

    def suspects_of(self, service: str) -> list[Member]:
        """Return the suspect members of a service."""
        return [
            member
            for member in self.running_by_name.values()
            if member.state == "suspect" and member.service == service
        ]

    def alive_of(self, service: str) -> list[Member]:
        """Return the members of a service that are alive; not to be modified."""
        listing = self._alive_list_by_service.get(service)
        if listing is None:
            alive = self._alive_by_service.get(service)
            if not alive:
                return _NO_MEMBERS
            listing = self._alive_list_by_service[service] = list(alive.values())
        return listing

    def is_alive(self, name: str) -> bool:
        """Return whether a member is known and in state ``alive``."""
        member = self.by_name.get(name)
        return member is not None and member.state == "alive"

    def relays_of(self, data_centre: str, count: int) -> list[Member]:
        """Return the first `count` live members of a data centre by ring position."""
        key = (data_centre, count)
        relays = self._relays_by_data_centre.get(key)
        if relays is None:
            alive = (
                member
                for member in self.by_name.values()
                if member.data_centre == data_centre and member.state == "alive"
            )
            relays = heapq.nsmallest(count, alive, key=_relay_sort_key)
            self._relays_by_data_centre[key] = relays
        return relays

    def data_centres(self) -> set[str]:
        """Return the data centres of all members that are not gone."""
        return {m.data_centre for m in self.by_name.values() if m.state != "gone"}

    def has_running_majority(self, data_centre: str) -> bool:
        """Return whether most members of a data centre run, ignoring gone members."""
        states = [
            member.state
            for member in self.by_name.values()
            if member.data_centre == data_centre and member.state != "gone"
        ]
        running = sum(state not in ENDED_STATES for state in states)
        return 2 * running > len(states)


def _relay_sort_key(member: Member) -> tuple[int, str]:
    return ring_position(member.name), member.name


def _member_digest(member: Member) -> int:
    text = f"{member.name}/{member.incarnation}/{member.version}/{member.state}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")
