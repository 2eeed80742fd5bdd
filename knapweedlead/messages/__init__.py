"""Typed messages that daemons exchange, and their CBOR codec."""

from knapweedlead.messages._calls import (
    CallAnswer,
    CallCancel,
    CallRefusal,
    CallRequest,
    LoadReport,
)
from knapweedlead.messages._codec import (
    Message,
    decode_message,
    encode_message,
    message,
    nested,
    read_document,
)
from knapweedlead.messages._links import Challenge, Hello, Welcome

__all__ = [
    "CallAnswer",
    "CallCancel",
    "CallRefusal",
    "CallRequest",
    "Challenge",
    "Hello",
    "LoadReport",
    "Message",
    "Welcome",
    "decode_message",
    "encode_message",
    "message",
    "nested",
    "read_document",
]
