"""Era of the store, from the answers of the store."""

MAX_ERA = 1_000_000
"""Highest era that an answer may state."""
MAX_ERA_STEP = 1000
"""Eras by which an answer may exceed the latest known one. A daemon may have missed
some; an answer with a damaged era must not outdate all answers that follow."""
_MAX_DIGITS = len(str(MAX_ERA))


class EraTracker:
    """Reads the era of each answer and rejects answers that are not usable.

    Attributes
    ----------
    latest : int
        Highest era seen; 0 before the first answer and for a store without eras.
    """

    def __init__(self) -> None:
        self.latest = 0

    def observe(self, text: str | None) -> int:
        """Return the era that an answer states.

        Parameters
        ----------
        text : str or None
            Value of the answer's header; None if the answer has no such header.

        Raises
        ------
        ValueError
            If the era cannot be read, or is older than the latest one.
        """
        era = self._decode(text)
        if era < self.latest:
            raise ValueError(f"expected era {self.latest} or later, got {era}")
        self.latest = era
        return era

    def _decode(self, text: str | None) -> int:
        if text is None:
            return 0
        is_number = text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS
        if not is_number:
            shown = repr(text[: 2 * _MAX_DIGITS])
            raise ValueError(f"expected an era of up to {MAX_ERA}, got {shown}")
        era = int(text)
        limit = MAX_ERA if self.latest == 0 else self.latest + MAX_ERA_STEP
        if era > min(limit, MAX_ERA):
            raise ValueError(f"expected an era of up to {limit}, got {era}")
        return era
