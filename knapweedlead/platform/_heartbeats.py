"""Decoding of the heartbeats of backend servers."""

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
    """Decode the body of a heartbeat from `instance`."""
    try:
        document = json.loads(body)
        info = document["info"]
        status = document["status"]
        report = ServerReport(
            instance=instance,
            service=_non_empty_text(info["service"]),
            address=_non_empty_text(document["address"]),
            data_centre=_non_empty_text(info["zone"]),
            version=_non_empty_text(info["version"]),
            slots=_non_negative_int(info["slots"]),
            is_draining=_IS_DRAINING_BY_STATE[status["state"]],
            sequence=_non_negative_int(status["sequence"]),
            cold_remaining=_non_negative_number(status.get("coldRemainingMs", 0))
            / _MS_PER_S,
            born=_non_negative_int(document.get("born", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Err(CodecError("heartbeat.decode", instance, detail))
    return Ok(report)


def _non_empty_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, got {value!r}")
    return value


def _non_negative_int(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"expected a non-negative integer, got {value!r}")
    return value


def _non_negative_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"expected a non-negative number, got {value!r}")
    return float(value)
