"""Decoding of the operator's configuration in the platform's store."""

import json
from typing import Any

from result import Err, Ok, Result

from knapweedlead.errors import CodecError
from knapweedlead.mesh import (
    ClientAccount,
    MeshConfiguration,
    RequestLimits,
    Route,
    Service,
    WeightedService,
)
from knapweedlead.platform._keys import CONFIGURATION_KEY

_MS_PER_S = 1000.0
_VERSION_PREFIX = "r"
_IS_IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False}


def decode_configuration(value: bytes) -> Result[MeshConfiguration, CodecError]:
    """Decode the stored value of the configuration, a JSON document."""
    try:
        document = json.loads(value)
        configuration = MeshConfiguration(
            version=_decode_version(document["version"]),
            routes=tuple(
                _decode_route(host["host"], path)
                for host in document["virtualHosts"]
                for path in host["paths"]
            ),
            service_by_name={
                entry["name"]: _decode_service(entry) for entry in document["services"]
            },
            account_by_name={
                entry["name"]: _decode_account(entry)
                for entry in document.get("tenants", ())
            },
            limits=_decode_limits(document.get("limits", {})),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Err(CodecError("configuration.decode", CONFIGURATION_KEY, detail))
    return Ok(configuration)


def _decode_version(text: str) -> int:
    if not text.startswith(_VERSION_PREFIX):
        raise ValueError(f"expected a version such as r12, got {text!r}")
    return int(text[len(_VERSION_PREFIX) :])


def _decode_route(host: str, entry: dict[str, Any]) -> Route:
    prefix = entry["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"expected a prefix with slashes at both ends, got {prefix!r}")
    return Route(
        name=entry["name"],
        host=host,
        prefix=prefix,
        services=_decode_backends(entry),
        is_idempotent=_IS_IDEMPOTENT_BY_KIND[entry["kind"]],
        timeout=float(entry["timeoutMs"]) / _MS_PER_S,
        target_latency=float(entry["targetLatencyMs"]) / _MS_PER_S,
        priority=int(entry.get("priority", 0)),
        max_attempts=int(entry.get("maxAttempts", 1)),
        is_public=bool(entry.get("public", False)),
    )


def _decode_backends(entry: dict[str, Any]) -> tuple[WeightedService, ...]:
    backends = entry.get("backends")
    if not backends:
        return (WeightedService(entry["service"], 1.0),)
    parts = tuple(
        WeightedService(part["service"], float(part["weight"])) for part in backends
    )
    if not any(part.weight > 0.0 for part in parts):
        raise ValueError(f"expected at least one weight above 0, got {backends!r}")
    return parts


def _decode_service(entry: dict[str, Any]) -> Service:
    return Service(
        name=entry["name"],
        health_path=entry["healthPath"],
        max_connections=int(entry["maxConnections"]),
        cold_start=float(entry.get("coldStartS", 0.0)),
        cold_rate=float(entry.get("coldPerS", 0.0)) or float("inf"),
    )


def _decode_account(entry: dict[str, Any]) -> ClientAccount:
    priority = entry.get("priority")
    return ClientAccount(
        name=entry["name"],
        keys=tuple(entry["apiKeys"]),
        priority=None if priority is None else int(priority),
        rate=float(entry.get("ratePerS", 0.0)),
        burst=float(entry.get("burst", 0.0)),
    )


def _decode_limits(entry: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        max_header_bytes=int(entry.get("maxHeaderBytes", default.max_header_bytes)),
        max_body_bytes=int(entry.get("maxBodyBytes", default.max_body_bytes)),
        header_timeout=_decode_seconds(
            entry, "headerTimeoutMs", default.header_timeout
        ),
        idle_timeout=_decode_seconds(entry, "idleTimeoutMs", default.idle_timeout),
    )


def _decode_seconds(entry: dict[str, Any], name: str, default: float) -> float:
    return float(entry[name]) / _MS_PER_S if name in entry else default
