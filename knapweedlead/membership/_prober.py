"""Probes under way and suspicions that run out."""

import random
from collections.abc import Iterator

import attrs

from knapweedlead.membership._member import Member

PROBE_SECONDS = 1.0
"""Period of probes."""
DIRECT_SECONDS = 0.5
"""Seconds for a direct answer, before others are asked to probe."""
PROBE_TIMEOUT = 1.0
"""Seconds for any answer."""
SUSPICION_SECONDS = 3.0
"""Seconds that a suspected member has to refute."""
REFUSED_SUSPICION_SECONDS = 1.0
"""The same where its address refuses connections."""


@attrs.define(eq=False)
class Probe:
    """A ping without an answer.

    Parameters
    ----------
    name : str
        Member that is probed.
    sent_at : float
        Seconds.
    is_indirect : bool
        Whether others were asked to probe too.
    asker : str
        Link address of the member on whose behalf it is; empty for none.
    asker_number : int
        Number of the asker's probe.
    """

    name: str
    sent_at: float
    is_indirect: bool = False
    asker: str = ""
    asker_number: int = 0


class Prober:
    """Chooses whom to probe and keeps the time of answers.

    Parameters
    ----------
    rng : random.Random
        Source of the order of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.by_number: dict[int, Probe] = {}
        self.suspicion_ends_at: dict[str, float] = {}
        self._round: list[str] = []
        self._last_number = 0

    def next_partner(self, fingers: list[str]) -> str | None:
        """Return whom to probe next: each finger once a round, in random order."""
        while True:
            if not self._round:
                self._round = list(fingers)
                self.rng.shuffle(self._round)
            if not self._round:
                return None
            name = self._round.pop()
            if name in fingers:
                return name

    def begin(
        self, name: str, now: float, asker: str = "", asker_number: int = 0
    ) -> int:
        """Record a probe and return its number."""
        self._last_number += 1
        self.by_number[self._last_number] = Probe(
            name, now, asker=asker, asker_number=asker_number
        )
        return self._last_number

    def end(self, number: int) -> Probe | None:
        """Return the probe that an answer ends."""
        return self.by_number.pop(number, None)

    def answered_by(self, name: str) -> None:
        """End the probes of a member that shows itself alive."""
        numbers = [n for n, probe in self.by_number.items() if probe.name == name]
        for number in numbers:
            if not self.by_number[number].asker:
                del self.by_number[number]

    def due_for_help(self, now: float) -> Iterator[tuple[int, Probe]]:
        """Return the probes for which others are to be asked now."""
        for number, probe in list(self.by_number.items()):
            is_due = now - probe.sent_at >= DIRECT_SECONDS
            if is_due and not probe.is_indirect and not probe.asker:
                probe.is_indirect = True
                yield number, probe

    def expired(self, now: float) -> Iterator[Probe]:
        """Return the probes that no one answered, and forget them."""
        for number, probe in list(self.by_number.items()):
            if now - probe.sent_at >= PROBE_TIMEOUT:
                del self.by_number[number]
                if not probe.asker:
                    yield probe

    def suspect(self, member: Member, now: float, seconds: float) -> None:
        """Start the time in which a member may refute."""
        ends_at = now + seconds
        before = self.suspicion_ends_at.get(member.name, ends_at)
        self.suspicion_ends_at[member.name] = min(before, ends_at)

    def suspicions_over(self, now: float) -> list[str]:
        """Return the members whose time to refute is over, and forget them."""
        over = [name for name, end in self.suspicion_ends_at.items() if end <= now]
        for name in over:
            del self.suspicion_ends_at[name]
        return over

    def resume(self, pause: float) -> None:
        """Forget the probes from before a pause of the own process."""
        self.by_number.clear()
        self.suspicion_ends_at = {
            name: end + pause for name, end in self.suspicion_ends_at.items()
        }
