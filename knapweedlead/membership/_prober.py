"""Pending probes and the deadlines of suspicions."""

import random
from collections.abc import Iterator

import attrs

from knapweedlead.membership._member import Member

PROBE_PERIOD_SECONDS = 1.0
"""Seconds between two probes."""
DIRECT_PROBE_TIMEOUT_SECONDS = 0.5
"""Seconds to wait for a direct answer before indirect probes are requested."""
PROBE_TIMEOUT_SECONDS = 1.0
"""Seconds after which a probe has failed, whether direct or indirect."""
SUSPICION_TIMEOUT_SECONDS = 3.0
"""Seconds for a suspect member to refute the suspicion before it is declared dead."""
REFUSED_SUSPICION_TIMEOUT_SECONDS = 1.0
"""`SUSPICION_TIMEOUT_SECONDS` for a member whose address refuses connections."""


@attrs.define(eq=False)
class Probe:
    """A probe that has not been answered.

    Parameters
    ----------
    name : str
        Name of the probed member.
    sent_at : float
        Time of sending, in seconds.
    is_indirect : bool
        Whether indirect probes were requested too.
    requester : str
        Link address of the member that requested this probe by an
        `IndirectPing`; empty if this daemon started the probe.
    requester_number : int
        Number of the requester's probe.
    """

    name: str
    sent_at: float
    is_indirect: bool = False
    requester: str = ""
    requester_number: int = 0


class Prober:
    """Chooses the members to probe and tracks probe and suspicion timeouts.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the order of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.probe_by_number: dict[int, Probe] = {}
        self.suspicion_ends_at: dict[str, float] = {}
        self._round: list[str] = []
        self._last_number = 0

    def next_target(self, fingers: list[str]) -> str | None:
        """Return the finger to probe next, or None if there are no fingers.

        Each finger is probed once a round, in random order.
        """
        while True:
            if not self._round:
                self._round = list(fingers)
                self.rng.shuffle(self._round)
            if not self._round:
                return None
            name = self._round.pop()
            if name in fingers:
                return name

    def start(
        self, name: str, now: float, requester: str = "", requester_number: int = 0
    ) -> int:
        """Record a probe and return its number."""
        self._last_number += 1
        self.probe_by_number[self._last_number] = Probe(
            name, now, requester=requester, requester_number=requester_number
        )
        return self._last_number

    def finish(self, number: int) -> Probe | None:
        """Remove and return the probe `number`, or None if unknown."""
        return self.probe_by_number.pop(number, None)

    def finish_probes_of(self, name: str) -> None:
        """Remove the probes that this daemon started for a member found to be alive."""
        numbers = [n for n, probe in self.probe_by_number.items() if probe.name == name]
        for number in numbers:
            if not self.probe_by_number[number].requester:
                del self.probe_by_number[number]

    def due_for_indirect(self, now: float) -> Iterator[tuple[int, Probe]]:
        """Yield the probes for which indirect probes are now due, and mark them.

        Only probes started by this daemon are followed by indirect probes.
        """
        for number, probe in list(self.probe_by_number.items()):
            is_due = now - probe.sent_at >= DIRECT_PROBE_TIMEOUT_SECONDS
            if is_due and not probe.is_indirect and not probe.requester:
                probe.is_indirect = True
                yield number, probe

    def pop_expired(self, now: float) -> Iterator[Probe]:
        """Remove all expired probes and yield those that this daemon started."""
        for number, probe in list(self.probe_by_number.items()):
            if now - probe.sent_at >= PROBE_TIMEOUT_SECONDS:
                del self.probe_by_number[number]
                if not probe.requester:
                    yield probe

    def suspect(self, member: Member, now: float, seconds: float) -> None:
        """Set the deadline for a suspect member to refute; keep an earlier deadline."""
        ends_at = now + seconds
        previous = self.suspicion_ends_at.get(member.name, ends_at)
        self.suspicion_ends_at[member.name] = min(previous, ends_at)

    def pop_expired_suspicions(self, now: float) -> list[str]:
        """Remove expired suspicions and return the names of their members."""
        expired = [
            name for name, ends_at in self.suspicion_ends_at.items() if ends_at <= now
        ]
        for name in expired:
            del self.suspicion_ends_at[name]
        return expired

    def resume(self, pause: float) -> None:
        """Drop pending probes and extend suspicions after a pause of this process.

        Answers may have been missed during `pause` seconds.
        """
        self.probe_by_number.clear()
        self.suspicion_ends_at = {
            name: ends_at + pause for name, ends_at in self.suspicion_ends_at.items()
        }
