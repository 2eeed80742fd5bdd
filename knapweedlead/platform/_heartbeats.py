"""Heartbeats of backend servers."""

import json
from typing import Any

from result import Err, Ok, Result

from knapweedlead.errors import CodecError
from knapweedlead.mesh import ServerReport

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"

_MS_PER_S = 1000.0
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_heartbeat(instance: str, body: bytes) -> Result[ServerReport, CodecError]:
    """Decode the body of a heartbeat of `instance`."""
    try:
        document = json.loads(body)
        info = document["info"]
        status = document["status"]
        report = ServerReport(
            instance=instance,
            service=_text(info["service"]),
            address=_text(document["address"]),
            data_centre=_text(info["zone"]),
            version=_text(info["version"]),
            slots=_whole(info["slots"]),
            is_draining=_IS_DRAINING_BY_STATE[status["state"]],
            sequence=_whole(status["sequence"]),
            cold_remaining=_number(status.get("coldRemainingMs", 0)) / _MS_PER_S,
            born=_whole(document.get("born", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Err(CodecError("heartbeat.decode", instance, detail))
    return Ok(report)


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected text, got {value!r}")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"expected a whole number, got {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)
