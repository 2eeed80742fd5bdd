"""Boot file that the platform writes for each process."""

import json
import os
from pathlib import Path

from result import Err, Ok, Result

from knapweedlead.errors import SettingsError
from knapweedlead.mesh import MeshSettings

BOOT_VARIABLE = "KNAPWEEDLEAD_BOOT"

_MS_PER_S = 1000.0


def boot_path() -> Path | None:
    """Return the path of the boot file, or None if the platform has set none."""
    path = os.environ.get(BOOT_VARIABLE)
    return Path(path) if path else None


def load_boot_file(path: Path) -> Result[MeshSettings, SettingsError]:
    """Load the settings from a boot file."""
    try:
        document = json.loads(path.read_bytes())
        listen = document["listen"]
        bounds = document["bounds"]
        first_port, last_port = document["internalPorts"]
        settings = MeshSettings(
            name=document["nodeName"],
            ip=document["ip"],
            data_centre=document["zone"],
            region=document["region"],
            service=document["service"],
            caller_address=listen["outbound"],
            report_address=listen["control"],
            ready_address=listen["ready"],
            server_address=document["appAddr"],
            link_port=int(first_port),
            metrics_port=int(last_port),
            store_address=document["platform"]["address"],
            heartbeat_period=document["heartbeatMs"] / _MS_PER_S,
            shutdown_time=float(bounds["graceS"]),
            drain_time=bounds["drainMs"] / _MS_PER_S,
            revocation_time=(
                bounds["revokeMs"] / _MS_PER_S if bounds.get("revokeStrict") else None
            ),
            repeat_ratio=float(bounds["budgetRatio"]),
            repeat_extra=float(bounds["budgetExtra"]),
            quota_window=float(bounds["quotaWindowS"]),
            lease_time_min=document["platform"]["ttlMinMs"] / _MS_PER_S,
            memory_mb=int(document["limits"]["memoryMb"]),
        )
    except OSError as error:
        return Err(_settings_error(path, "file", "a readable file", str(error)))
    except KeyError as error:
        return Err(_settings_error(path, str(error), "a value", "nothing"))
    except (ValueError, TypeError, AttributeError) as error:
        return Err(_settings_error(path, "file", "a boot file in JSON", str(error)))
    return Ok(settings)


def _settings_error(path: Path, field: str, expected: str, found: str) -> SettingsError:
    return SettingsError(
        step="boot.load",
        peer=str(path),
        detail="not a valid boot file",
        field=field,
        expected=expected,
        found=found,
    )
