"""Processor time per message between daemons: WebSocket and length-prefixed frames.

Run with ``python -m benchmarks.frames``. Sender and receiver run in one
process without sockets, so that only the protocol code is measured.
"""

import time
from typing import Any

import cbor2
from websockets.client import ClientProtocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from knapweedlead.sidecar._frames import FrameConnection, encode_frame

MESSAGES = 20_000
FRAME = [1, 77, "9c41d07be2a35f68", "service", "route", "", 16, True, 1.5, b"h" * 300]


def websocket_seconds() -> float:
    """Return the processor seconds per message over WebSocket."""
    client = ClientProtocol(parse_uri("ws://127.0.0.1/"))
    server = ServerProtocol()
    client.send_request(client.connect())
    server.receive_data(b"".join(client.data_to_send()))
    request: Any = server.events_received()[0]
    server.send_response(server.accept(request))
    client.receive_data(b"".join(server.data_to_send()))
    client.events_received()
    started_at = time.process_time()
    for _ in range(MESSAGES):
        client.send_binary(cbor2.dumps(FRAME))
        server.receive_data(b"".join(client.data_to_send()))
        frames: Any = server.events_received()
        for frame in frames:
            cbor2.loads(bytes(frame.data))
    return (time.process_time() - started_at) / MESSAGES


def frame_seconds() -> float:
    """Return the processor seconds per message in a length-prefixed frame."""
    receiver = FrameConnection(lambda connection, frame: None, lambda *lost: None)
    started_at = time.process_time()
    for _ in range(MESSAGES):
        receiver.data_received(encode_frame(FRAME))
    return (time.process_time() - started_at) / MESSAGES


def main() -> None:
    """Print the processor time per message of both protocols."""
    print(f"websockets: {websocket_seconds() * 1e6:.1f} us per message")
    print(f"frames: {frame_seconds() * 1e6:.1f} us per message")


if __name__ == "__main__":
    main()
