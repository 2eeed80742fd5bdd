"""TCP relay on loopback that resets a connection after a given byte."""

import socket
import struct
import threading

import attrs

from knapweedlead.http import split_address

_CHUNK_BYTES = 65536
_LINGER_ZERO = struct.pack("ii", 1, 0)


@attrs.define
class _Cut:
    """A pending cut, after `bytes_left` more bytes in one direction."""

    is_forward: bool
    bytes_left: int


@attrs.define(eq=False)
class _RelayedConnection:
    """The client and server sockets of a relayed connection."""

    client: socket.socket
    server: socket.socket

    def reset(self) -> None:
        """Reset both sides, with a linger time of 0."""
        for end in (self.client, self.server):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class CuttingRelay:
    """Relays connections to a target and resets a connection after some bytes.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the listener, on loopback.
    target : str
        ``IP:PORT`` of the target.

    Attributes
    ----------
    forwarded, returned : int
        Bytes relayed to and from the target.
    cuts : int
        Number of connections cut.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.forwarded = 0
        self.returned = 0
        self.cuts = 0
        self._cut: _Cut | None = None
        self._lock = threading.Lock()
        self._relayed: list[_RelayedConnection] = []
        self._listener = socket.create_server(split_address(address))
        threading.Thread(target=self._accept, daemon=True).start()

    def arm(self, is_forward: bool, bytes_left: int) -> None:
        """Set a pending cut for the connection that exceeds `bytes_left` bytes.

        Parameters
        ----------
        is_forward : bool
            Whether bytes to the target are counted, rather than bytes from it.
        bytes_left : int
            Bytes that are relayed before the cut.
        """
        with self._lock:
            self._cut = _Cut(is_forward, bytes_left)

    def disarm(self) -> None:
        """Remove the pending cut."""
        with self._lock:
            self._cut = None

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        for relayed in self._relayed:
            relayed.reset()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(split_address(self.target))
            except OSError:
                client.close()
                continue
            for end in (client, server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            relayed = _RelayedConnection(client, server)
            self._relayed.append(relayed)
            for is_forward in (True, False):
                arguments = (relayed, is_forward)
                threading.Thread(target=self._pump, args=arguments, daemon=True).start()

    def _pump(self, relayed: _RelayedConnection, is_forward: bool) -> None:
        ends = (relayed.client, relayed.server)
        source, sink = ends if is_forward else reversed(ends)
        try:
            while data := source.recv(_CHUNK_BYTES):
                passed, is_cut = self._apply_cut(len(data), is_forward)
                sink.sendall(data[:passed])
                if is_cut:
                    break
        except OSError:
            pass
        relayed.reset()

    def _apply_cut(self, size: int, is_forward: bool) -> tuple[int, bool]:
        """Return the number of bytes to relay, and whether to reset the connection."""
        with self._lock:
            passed, is_cut = size, False
            cut = self._cut
            if cut is not None and cut.is_forward is is_forward:
                passed, is_cut = min(size, cut.bytes_left), size > cut.bytes_left
                cut.bytes_left -= passed
            if is_cut:
                self._cut = None
                self.cuts += 1
            if is_forward:
                self.forwarded += passed
            else:
                self.returned += passed
            return passed, is_cut
