"""Adapter to the users' platform: its names, formats and calls; decides nothing."""

from knapweedlead.platform._boot import boot_path, load_boot_file
from knapweedlead.platform._configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    decode_configuration,
)
from knapweedlead.platform._heartbeats import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_heartbeat,
)
from knapweedlead.platform._requests import (
    REQUEST_ID,
    answer_headers,
    decode_call,
    is_declined,
    is_misdirected,
    is_sealed,
    server_request,
)
from knapweedlead.platform._store import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "DEREGISTER_PATH",
    "EVACUATION_PREFIX",
    "HEARTBEAT_PATH",
    "OPERATOR_PREFIX",
    "REQUEST_ID",
    "PlatformStore",
    "answer_headers",
    "boot_path",
    "decode_call",
    "decode_configuration",
    "decode_heartbeat",
    "is_declined",
    "is_misdirected",
    "is_sealed",
    "load_boot_file",
    "server_request",
]
