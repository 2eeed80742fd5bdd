"""A loopback proxy that injects faults into the connections passing through it."""

import asyncio

MODES = ("pass", "delay", "silent", "reset", "drop_answers")
DELAY = 0.25
"""Seconds by which each received chunk is delayed."""


class FaultyProxy:
    """Forwards bytes between an address and a target, subject to its mode.

    Attributes
    ----------
    mode : str
        ``"pass"``; ``"delay"``; ``"silent"``: bytes are discarded in both directions;
        ``"drop_answers"``: bytes from the target are discarded; ``"reset"``: all
        connections are reset.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "pass"
        self._writers = set()
        self._server = None

    async def start(self):
        """Listen at the address."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def set_mode(self, mode):
        """Change the mode, for open connections too.

        A mode that discards bytes leaves gaps in the streams, so its connections are
        reset when the mode ends.
        """
        if self.mode in ("silent", "drop_answers") or mode == "reset":
            self.reset()
        self.mode = mode

    def reset(self):
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Close the listener and abort all connections."""
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, False),
                self._forward(target_reader, writer, True),
            )
        except asyncio.CancelledError:
            # The run is over; without this, asyncio's stream callback would print the
            # cancellation.
            self.reset()
        self._writers -= pair
        for each in pair:
            each.close()

    async def _forward(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY)
                if self.mode == "silent" or (self.mode == "drop_answers" and is_answer):
                    continue
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
