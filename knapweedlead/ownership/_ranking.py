"""Which members stand first for a slot."""

import xxhash


def rank_key(slot: int, name: str) -> int:
    """Return the place of a member for a slot; the lowest stands first."""
    return xxhash.xxh3_64_intdigest(f"{slot}/{name}".encode())


def slot_of(text: str, number_of_slots: int) -> int:
    """Return the slot that a text names."""
    return xxhash.xxh3_64_intdigest(text.encode()) % number_of_slots
