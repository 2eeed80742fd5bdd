"""Position in the history of a store."""

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """Era and revision, ordered as a pair.

    Revisions are comparable within one era only: a store that comes back from an
    older copy gives out its later revisions again.

    Parameters
    ----------
    era : int
        Number of times that the store has come back from a copy, as it states; 0 for
        a store that states none.
    revision : int
        Revision within the era; 0 before the first read.
    """

    era: int = 0
    revision: int = 0
