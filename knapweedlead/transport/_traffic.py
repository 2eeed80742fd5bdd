"""Message and byte counters of the links."""

from collections import Counter
from collections.abc import Iterable

from knapweedlead.messages import CallAnswer, CallCancel, CallRefusal, CallRequest

CALL_MESSAGES = (CallRequest, CallAnswer, CallRefusal, CallCancel)
"""Messages that belong to calls; all others are control messages."""


class Traffic:
    """Counters of messages and bytes in one direction, by message class.

    Only encoded messages are counted, without network headers and websocket framing,
    which adds 4 to 8 bytes to a message.
    """

    def __init__(self) -> None:
        self.messages_by_class: Counter[type] = Counter()
        self.bytes_by_class: Counter[type] = Counter()

    def add(self, message_class: type, size: int) -> None:
        """Count one message with its encoded size in bytes."""
        self.messages_by_class[message_class] += 1
        self.bytes_by_class[message_class] += size

    def total_bytes(self, message_classes: Iterable[type]) -> int:
        """Return the total size of the messages of some classes, in bytes."""
        return sum(self.bytes_by_class[cls] for cls in message_classes)

    @property
    def call_bytes(self) -> int:
        """Bytes of the messages in `CALL_MESSAGES`."""
        return self.total_bytes(CALL_MESSAGES)

    @property
    def control_bytes(self) -> int:
        """Bytes of the messages that are not in `CALL_MESSAGES`."""
        return self.bytes_by_class.total() - self.call_bytes
