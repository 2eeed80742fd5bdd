"""Ranking of members for a slot by rendezvous hashing."""

import xxhash


def rank_key(slot: int, name: str) -> int:
    """Return the sort key of a member for a slot; the lowest has the first rank."""
    return xxhash.xxh3_64_intdigest(f"{slot}/{name}".encode())


def slot_of(text: str, number_of_slots: int) -> int:
    """Return the slot to which a text hashes."""
    return xxhash.xxh3_64_intdigest(text.encode()) % number_of_slots
