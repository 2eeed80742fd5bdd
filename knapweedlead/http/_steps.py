"""Connections whose input is parsed in steps of bounded work."""

import asyncio

MAX_STEP_EVENTS = 512
"""Headers and parts of bodies after which a connection lets the other work of the event
loop go first."""
PART_BYTES = 8192
"""Bytes that are parsed at once."""
_NO_BYTES = memoryview(b"")


class SteppedProtocol(asyncio.Protocol):
    """Parses input in parts, and leaves the rest of much input to later steps.

    Subclasses count the parser's events in `_events`, and pause reading while input is
    left.
    """

    __slots__ = ("_events", "_unparsed")

    def __init__(self) -> None:
        self._unparsed = _NO_BYTES
        self._events = 0

    def _receive(self, data: bytes) -> None:
        """Parse input for one step of the event loop."""
        if len(data) <= PART_BYTES:
            self._parse_part(data)
            self._end_step()
            return
        self._unparsed = memoryview(data)
        self._continue_parsing()

    def _continue_parsing(self) -> None:
        self._parse_step()
        if self._unparsed:
            asyncio.get_running_loop().call_soon(self._resume_parsing)
        self._end_step()

    def _resume_parsing(self) -> None:
        """Continue with the input, unless it has been dropped meanwhile."""
        if self._unparsed:
            self._continue_parsing()

    def _parse_step(self) -> None:
        """Parse input until it ends or has caused `MAX_STEP_EVENTS`."""
        self._events = 0
        while self._unparsed and self._events < MAX_STEP_EVENTS:
            part = self._unparsed[:PART_BYTES]
            self._unparsed = self._unparsed[PART_BYTES:]
            self._parse_part(part)

    def _parse_rest(self) -> None:
        """Parse all input that is left."""
        while self._unparsed:
            self._parse_step()

    def _drop_input(self) -> None:
        self._unparsed = _NO_BYTES

    def _parse_part(self, data: bytes | memoryview) -> None:
        raise NotImplementedError

    def _end_step(self) -> None:
        """Pause or resume reading after a step."""
        raise NotImplementedError
