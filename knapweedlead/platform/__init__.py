"""Adapter to the users' platform: its names, formats and calls, without any policy."""

from knapweedlead.platform._boot import boot_path, load_boot_file
from knapweedlead.platform._configuration import decode_configuration
from knapweedlead.platform._heartbeats import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_heartbeat,
)
from knapweedlead.platform._requests import (
    REQUEST_ID,
    answer_headers,
    decode_call,
    decode_server_notice,
    is_declined,
    is_misdirected,
    is_sealed,
    server_request,
)
from knapweedlead.platform._store import PlatformStore

__all__ = [
    "DEREGISTER_PATH",
    "HEARTBEAT_PATH",
    "REQUEST_ID",
    "PlatformStore",
    "answer_headers",
    "boot_path",
    "decode_call",
    "decode_configuration",
    "decode_heartbeat",
    "decode_server_notice",
    "is_declined",
    "is_misdirected",
    "is_sealed",
    "load_boot_file",
    "server_request",
]
