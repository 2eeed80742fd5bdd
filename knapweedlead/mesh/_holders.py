"""Daemons that hold a share of a client account's rate."""

import zlib

_Rank = tuple[int, str]
_NO_RANK: _Rank = (0, "")
"""Rank of the last holder while all members are holders."""


def _rank(account: str, member: str) -> _Rank:
    return zlib.crc32(f"{account} {member}".encode()), member


class Holders:
    """The first members in an order that is different for each account.

    All daemons compute the same holders from the same members. A change of a few
    members takes time in proportion to them, not to all members, unless one of the
    holders has left.

    Parameters
    ----------
    account : str
        Name of the account.
    count : int
        Number of holders, if there are as many members.
    members : frozenset of str

    Attributes
    ----------
    names : frozenset of str
        Names of the holders.
    """

    def __init__(self, account: str, count: int, members: frozenset[str]) -> None:
        self.account = account
        self.count = count
        self.names: frozenset[str] = frozenset()
        self._last = _NO_RANK
        self._choose(members)

    def _choose(self, members: frozenset[str]) -> None:
        """Choose the holders among all members."""
        if len(members) <= self.count:
            self.names = members
            self._last = _NO_RANK
            return
        ranks = sorted(_rank(self.account, member) for member in members)
        self._last = ranks[self.count - 1]
        self.names = frozenset(name for _, name in ranks[: self.count])

    def update(
        self, members: frozenset[str], joined: frozenset[str], left: frozenset[str]
    ) -> None:
        """Follow a change of the members.

        Parameters
        ----------
        members, joined, left : frozenset of str
            All members after the change, those that are new, and those that are not
            among them any more.
        """
        are_all = self._last == _NO_RANK
        if are_all or self.names & left or self._precedes_last(joined):
            self._choose(members)

    def _precedes_last(self, joined: frozenset[str]) -> bool:
        """Return whether one of the new members is to become a holder."""
        return any(_rank(self.account, member) < self._last for member in joined)
