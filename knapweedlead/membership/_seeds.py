"""Seeds: the few announcements that the store holds for bootstrap."""

import json
from collections.abc import Iterator

import attrs

from knapweedlead.membership._member import Member
from knapweedlead.store import CompareAndSwap, Entry, Listing

SEEDS_PREFIX = "knapweedlead/seeds/"

SEEDS_PER_DATA_CENTRE = 2
"""Keys of each data centre, kept by as many members of it."""


def seed_key(data_centre: str, place: int) -> str:
    """Return the key of one of a data centre's seeds."""
    return f"{SEEDS_PREFIX}{data_centre}/{place}"


def seeds_in(listing: Listing) -> Iterator[Member]:
    """Return the announcements in a listing; what does not parse is left out."""
    for entry in listing.entries:
        member = _member_of(entry)
        if member is not None:
            yield member


def _member_of(entry: Entry) -> Member | None:
    try:
        return Member(**json.loads(entry.value))
    except (ValueError, TypeError):
        return None


def seed_write(member: Member, place: int, listing: Listing) -> CompareAndSwap | None:
    """Return the write that makes a member a seed; None where it is one.

    Parameters
    ----------
    member : Member
        The announcement.
    place : int
        Which of the data centre's seeds, from 0.
    listing : Listing
        The present seeds.
    """
    key = seed_key(member.data_centre, place)
    entry = next((entry for entry in listing.entries if entry.key == key), None)
    value = json.dumps(attrs.asdict(member)).encode()
    if entry is None:
        return CompareAndSwap(key, value, 0)
    seed = _member_of(entry)
    if seed is not None and (seed.name, seed.incarnation, seed.link_address) == (
        member.name,
        member.incarnation,
        member.link_address,
    ):
        return None
    return CompareAndSwap(key, value, entry.revision)
