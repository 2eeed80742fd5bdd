"""Counts of the messages on links."""

from collections import Counter
from collections.abc import Iterable

from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal, CallRequest

CALL_MESSAGES = (CallRequest, CallAnswer, CallRefusal, CallCancel)
"""Messages that carry calls; all others are for control."""


class Traffic:
    """Messages and their bytes in one direction, by message class.

    Bytes are those of the encoded messages, without the framing of websockets,
    of 4 to 8 bytes a message, and of the network.
    """

    def __init__(self) -> None:
        self.messages_by_class: Counter[type] = Counter()
        self.bytes_by_class: Counter[type] = Counter()

    def add(self, message_class: type, size: int) -> None:
        """Count one message."""
        self.messages_by_class[message_class] += 1
        self.bytes_by_class[message_class] += size

    def bytes_of(self, message_classes: Iterable[type]) -> int:
        """Return the bytes of some classes."""
        return sum(self.bytes_by_class[cls] for cls in message_classes)

    @property
    def call_bytes(self) -> int:
        """Bytes of the messages that carry calls."""
        return self.bytes_of(CALL_MESSAGES)

    @property
    def control_bytes(self) -> int:
        """Bytes of all other messages."""
        return self.bytes_by_class.total() - self.call_bytes
