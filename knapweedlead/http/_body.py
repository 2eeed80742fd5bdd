"""Content of a message that is received in parts."""


class BodyBuffer:
    """Collects the parts of a body in one contiguous buffer.

    The memory that it takes is proportional to the bytes of the body. A list of the
    parts would take dozens of bytes for each part, however short.
    """

    __slots__ = ("_content",)

    def __init__(self) -> None:
        self._content: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self._content)

    def append(self, part: bytes) -> None:
        """Add a part."""
        if not self._content:
            self._content = part
            return
        if not isinstance(self._content, bytearray):
            self._content = bytearray(self._content)
        self._content += part

    def take(self) -> bytes:
        """Return the body, and release it."""
        content, self._content = self._content, b""
        return bytes(content)
