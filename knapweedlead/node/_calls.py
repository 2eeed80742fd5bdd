"""Numbers for store calls, shared by the roles of a node."""

import itertools


class StoreCalls:
    """Allots each store call of a node its own number, from 1."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def next(self) -> int:
        """Return a number not yet used."""
        return next(self._numbers)
