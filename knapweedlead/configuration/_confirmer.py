"""Questions to relays whether the revision in force is the newest."""

import itertools
import random
from collections.abc import Iterator

import attrs

from knapweedlead.membership import Member, MembershipRole

RELAYS_PER_DATA_CENTRE = 2
"""Members of each data centre that watch the store."""
CONFIRM_SECONDS = 1.5
"""Period of questions to a relay."""
RELAY_CONFIRM_SECONDS = 1.0
"""Period in which a relay without the store asks those of other data centres."""
UNANSWERED_SECONDS = 0.5
"""Seconds until another relay is asked."""
ANSWER_SECONDS = 6.0
"""Seconds after which an answer is no longer of use."""


@attrs.frozen
class Question:
    """A question to a relay, without an answer."""

    data_centre: str
    asked_at: float


class Confirmer:
    """Chooses which relays to ask, and remembers when it asked.

    Parameters
    ----------
    membership : MembershipRole
        Knows the members.
    rng : random.Random
        Source of the choice.
    """

    def __init__(self, membership: MembershipRole, rng: random.Random) -> None:
        self.membership = membership
        self.rng = rng
        self._question_by_number: dict[int, Question] = {}
        self._numbers = itertools.count(1)
        self._next_at = 0.0
        self._unanswered = 0

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre, other than this daemon."""
        relays = self.membership.relays_of(data_centre, RELAYS_PER_DATA_CENTRE)
        return [member for member in relays if member.name != self.own.name]

    @property
    def own(self) -> Member:
        """Announcement of this daemon."""
        return self.membership.own

    def is_relay(self) -> bool:
        """Return whether this daemon watches the store."""
        own = self.own
        if not self.membership.has_joined:
            return False
        relays = self.membership.relays_of(own.data_centre, RELAYS_PER_DATA_CENTRE)
        return own in relays

    def ask_soon(self, now: float) -> None:
        """Make the next question due now."""
        self._next_at = min(self._next_at, now)

    def due(self, is_cut_off: bool, now: float) -> Iterator[tuple[int, Member]]:
        """Return the questions that are due, with whom to ask.

        Parameters
        ----------
        is_cut_off : bool
            Whether this daemon is a relay that does not reach the store.
        now : float
            Seconds.
        """
        if now < self._next_at or not self.membership.has_joined:
            return
        self._forget(now)
        if is_cut_off:
            self._next_at = now + RELAY_CONFIRM_SECONDS
            chosen = self._relays_of_all()
        else:
            period = UNANSWERED_SECONDS if self._unanswered else CONFIRM_SECONDS
            self._next_at = now + period * (0.75 + self.rng.random() / 2)
            chosen = self._next_relay()
        self._unanswered += 1
        for member in chosen:
            number = next(self._numbers)
            self._question_by_number[number] = Question(member.data_centre, now)
            yield number, member

    def _relays_of_all(self) -> list[Member]:
        choices = [self.relays(name) for name in sorted(self._data_centres())]
        return [self.rng.choice(relays) for relays in choices if relays]

    def _next_relay(self) -> list[Member]:
        """Return a relay nearby, or anywhere where the last one was silent."""
        nearby = self.relays(self.own.data_centre)
        if nearby and self._unanswered % 2 == 0:
            return [self.rng.choice(nearby)]
        anywhere = self._relays_of_all()
        return [self.rng.choice(anywhere)] if anywhere else []

    def _data_centres(self) -> set[str]:
        return self.membership.table.data_centres()

    def answered(self, number: int) -> Question | None:
        """Return the question that an answer ends."""
        question = self._question_by_number.pop(number, None)
        if question is not None:
            self._unanswered = 0
        return question

    def _forget(self, now: float) -> None:
        self._question_by_number = {
            number: question
            for number, question in self._question_by_number.items()
            if now - question.asked_at < ANSWER_SECONDS
        }
