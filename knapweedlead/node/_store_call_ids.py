"""Identifiers of store calls, shared by the roles of a node."""

import itertools


class StoreCallIds:
    """Generates the identifiers of a node's store calls, counting from 1.

    All roles share one generator, so that an answer matches one call only.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def next(self) -> int:
        """Return an unused identifier."""
        return next(self._numbers)
