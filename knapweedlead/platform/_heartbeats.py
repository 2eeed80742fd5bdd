"""Decoding of the heartbeats of backend servers."""

import json

from result import Err, Ok, Result

from knapweedlead.checks import check_amount, check_count, check_name
from knapweedlead.errors import CodecError
from knapweedlead.mesh import ServerReport

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"
MAX_SLOTS = 1_000_000
"""Largest number of slots that a server may state."""
MAX_COLD_REMAINING = 24 * 3600.0
"""Longest cold start that a server may state, in seconds."""

_MS_PER_S = 1000.0
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_heartbeat(instance: str, body: bytes) -> Result[ServerReport, CodecError]:
    """Decode the body of a heartbeat from `instance`."""
    try:
        document = json.loads(body)
        info = document["info"]
        status = document["status"]
        report = ServerReport(
            instance=check_name(instance),
            service=check_name(info["service"]),
            address=check_name(document["address"]),
            data_centre=check_name(info["zone"]),
            version=check_name(info["version"]),
            slots=check_count(info["slots"], MAX_SLOTS),
            is_draining=_IS_DRAINING_BY_STATE[status["state"]],
            sequence=check_count(status["sequence"]),
            cold_remaining=_cold_remaining(status.get("coldRemainingMs", 0)),
            born=check_count(document.get("born", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Err(CodecError("heartbeat.decode", instance, detail))
    return Ok(report)


def _cold_remaining(milliseconds: object) -> float:
    seconds = check_amount(milliseconds) / _MS_PER_S
    if seconds > MAX_COLD_REMAINING:
        raise ValueError(f"expected at most {MAX_COLD_REMAINING} s, got {seconds} s")
    return seconds
