"""Seeds: member records kept in the store for bootstrapping."""

import json
from collections.abc import Iterator

import attrs

from knapweedlead.membership._member import Member, check_member
from knapweedlead.messages import read_document
from knapweedlead.store import ABSENT, CompareAndSwap, Entry, Listing

SEEDS_PREFIX = "knapweedlead/seeds/"

SEEDS_PER_DATA_CENTRE = 2
"""Seed keys of each data centre; one member maintains each."""


def seed_key(data_centre: str, index: int) -> str:
    """Return the store key of a data centre's seed, counted from 0."""
    return f"{SEEDS_PREFIX}{data_centre}/{index}"


def parse_seeds(listing: Listing) -> Iterator[Member]:
    """Yield the member records in a listing, skipping malformed ones."""
    for entry in listing.entries:
        member = _parse_member(entry)
        if member is not None:
            yield member


def _parse_member(entry: Entry) -> Member | None:
    try:
        member = read_document(Member, json.loads(entry.value))
        check_member(member)
    except (ValueError, RecursionError):
        return None
    return member


def seed_write(member: Member, index: int, listing: Listing) -> CompareAndSwap | None:
    """Return the write that makes a member a seed, or None for an existing seed.

    Parameters
    ----------
    member : Member
        Record to write.
    index : int
        Index among the data centre's seeds, from 0.
    listing : Listing
        Current seeds.
    """
    key = seed_key(member.data_centre, index)
    entry = next((entry for entry in listing.entries if entry.key == key), None)
    value = json.dumps(attrs.asdict(member)).encode()
    if entry is None:
        return CompareAndSwap(key, value, ABSENT)
    seed = _parse_member(entry)
    if seed is not None and (seed.name, seed.incarnation, seed.link_address) == (
        member.name,
        member.incarnation,
        member.link_address,
    ):
        return None
    return CompareAndSwap(key, value, entry.position)
