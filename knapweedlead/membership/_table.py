"""Table of the members that a daemon knows."""

import hashlib
import heapq

from knapweedlead.membership._member import (
    ENDED_STATES,
    Member,
)
from knapweedlead.membership._ring import Ring, ring_position

_NO_MEMBERS: list[Member] = []


class MemberTable:
    """Members by name, and what is derived from them with each change.

    Attributes
    ----------
    by_name, by_link_address : dict of str to Member
        All members, those that ended lately included.
    running_by_name, ended_by_name : dict of str to Member
        Members that run, as far as is known, and those that ended.
    ring : Ring
        Members that run and do not leave.
    digest : int
        Equal on two tables with the same running members.
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
        self._listing_by_service: dict[str, list[Member]] = {}
        self._relays_by_data_centre: dict[tuple[str, int], list[Member]] = {}

    def put(self, member: Member) -> None:
        """Store a record in place of the one before."""
        before = self.by_name.get(member.name)
        if before is not None:
            self._unlink(before)
        self.by_name[member.name] = member
        self._link(member)
        self._changed()

    def forget(self, name: str) -> None:
        """Remove a member."""
        self._unlink(self.by_name.pop(name))
        self._changed()

    def _changed(self) -> None:
        self.generation += 1
        self._relays_by_data_centre.clear()

    def _link(self, member: Member) -> None:
        name = member.name
        holder = self.by_link_address.get(member.link_address)
        if holder is None or holder.incarnation <= member.incarnation:
            self.by_link_address[member.link_address] = member
        if member.state in ENDED_STATES:
            self.ended_by_name[name] = member
            return
        self.running_by_name[name] = member
        self.digest ^= _digest_of(member)
        if member.state != "leaving":
            self.ring.add(name)
        if member.state == "alive":
            self._alive_by_service.setdefault(member.service, {})[name] = member
            self._listing_by_service.pop(member.service, None)

    def _unlink(self, member: Member) -> None:
        name = member.name
        if self.by_link_address.get(member.link_address) is member:
            del self.by_link_address[member.link_address]
        if member.state in ENDED_STATES:
            del self.ended_by_name[name]
            return
        del self.running_by_name[name]
        self.digest ^= _digest_of(member)
        if member.state != "leaving":
            self.ring.remove(name)
        if member.state == "alive":
            del self._alive_by_service[member.service][name]
            self._listing_by_service.pop(member.service, None)

    def suspects_of(self, service: str) -> list[Member]:
        """Return the members of a service that are suspect."""
        return [
            member
            for member in self.running_by_name.values()
            if member.state == "suspect" and member.service == service
        ]

    def alive_of(self, service: str) -> list[Member]:
        """Return the members of a service that are alive."""
        listing = self._listing_by_service.get(service)
        if listing is None:
            alive = self._alive_by_service.get(service)
            if not alive:
                return _NO_MEMBERS
            listing = self._listing_by_service[service] = list(alive.values())
        return listing

    def is_alive(self, name: str) -> bool:
        """Return whether a member is known and alive."""
        member = self.by_name.get(name)
        return member is not None and member.state == "alive"

    def relays_of(self, data_centre: str, count: int) -> list[Member]:
        """Return the `count` live members of a data centre lowest on the ring."""
        key = (data_centre, count)
        relays = self._relays_by_data_centre.get(key)
        if relays is None:
            alive = (
                member
                for member in self.by_name.values()
                if member.data_centre == data_centre and member.state == "alive"
            )
            relays = heapq.nsmallest(count, alive, key=_relay_order)
            self._relays_by_data_centre[key] = relays
        return relays

    def data_centres(self) -> set[str]:
        """Return the data centres of the members that did not leave."""
        return {m.data_centre for m in self.by_name.values() if m.state != "gone"}

    def is_most_of(self, data_centre: str) -> bool:
        """Return whether most known members of a data centre run."""
        states = [
            member.state
            for member in self.by_name.values()
            if member.data_centre == data_centre and member.state != "gone"
        ]
        running = sum(state not in ENDED_STATES for state in states)
        return 2 * running > len(states)


def _relay_order(member: Member) -> tuple[int, str]:
    return ring_position(member.name), member.name


def _digest_of(member: Member) -> int:
    text = f"{member.name}/{member.incarnation}/{member.version}/{member.state}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")
