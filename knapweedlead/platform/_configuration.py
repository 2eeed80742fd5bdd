"""Decoding of the operator's configuration in the platform's store.

One entry that cannot be decoded does not affect the rest of the document: calls that it
would apply to are refused, and `MeshConfiguration.problems` names the entry.
"""

import json
import math
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from result import Err, Ok, Result

from knapweedlead.checks import (
    check_amount,
    check_flag,
    check_header_name,
    check_list,
    check_name,
    check_text,
    describe,
)
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

UNKNOWN_COLD_START = 3.0
"""Seconds for which a server stays cold after its start if its service's entry cannot
be decoded."""
UNKNOWN_COLD_RATE = 1.0
"""Calls per second to a cold server if its service's entry cannot be decoded."""
UNKNOWN_MAX_CONNECTIONS = 64
"""Connections to a server if its service's entry cannot be decoded."""

_MS_PER_S = 1000.0
_VERSION_PREFIX = "r"
_IS_IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False, "upload": False}
_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_Entry = TypeVar("_Entry")


class _Problems:
    """Collects the parts of a document that cannot be decoded."""

    def __init__(self) -> None:
        self.details: list[str] = []

    def add(self, where: str, error: Exception | str) -> None:
        """Record a problem; `where` names the entry."""
        text = error if isinstance(error, str) else f"{type(error).__name__}: {error}"
        self.details.append(f"{where}: {text}")

    def decode(
        self,
        where: str,
        decode: Callable[[Any], _Entry],
        fallback: Callable[[Any], _Entry],
        entry: Any,
    ) -> _Entry | None:
        """Return the decoded entry, else its fallback, else None."""
        try:
            return decode(entry)
        except _DECODE_ERRORS as error:
            self.add(where, error)
        try:
            return fallback(entry)
        except _DECODE_ERRORS as error:
            self.add(f"{where} (dropped)", error)
            return None


def decode_configuration(value: bytes) -> Result[MeshConfiguration, CodecError]:
    """Decode the stored value of the configuration, a JSON document.

    Returns
    -------
    Result of MeshConfiguration
        An error if the document as a whole cannot be decoded: it is not JSON, has no
        version, or one of its lists is not a list.
    """
    problems = _Problems()
    try:
        document = json.loads(value)
        version = _decode_version(document["version"])
        hosts = check_list(document["virtualHosts"])
        services = check_list(document["services"])
        accounts = check_list(document.get("tenants", []))
        routes = _decode_routes(hosts, problems)
        service_by_name = _decode_services(services, problems)
        account_by_name = _decode_accounts(accounts, problems)
        limits = _decode_limits(document.get("limits", {}), problems)
        configuration = MeshConfiguration(
            version=version,
            routes=tuple(routes),
            service_by_name=service_by_name,
            account_by_name=account_by_name,
            limits=limits,
            requires_keys="tenants" in document,
            problems=tuple(problems.details),
        )
    except _DECODE_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        return Err(CodecError("configuration.decode", CONFIGURATION_KEY, detail))
    return Ok(configuration)


def _decode_version(text: str) -> int:
    if not text.startswith(_VERSION_PREFIX):
        raise ValueError(f"expected a version such as r12, got {describe(text)}")
    return int(text[len(_VERSION_PREFIX) :])


def _decode_routes(hosts: list[Any], problems: _Problems) -> list[Route]:
    routes = []
    for number, entry in enumerate(hosts):
        try:
            host, paths = check_name(entry["host"]), check_list(entry["paths"])
        except _DECODE_ERRORS as error:
            problems.add(f"virtualHosts[{number}]", error)
            continue
        for index, path in enumerate(paths):
            where = f"{host}.paths[{index}]"
            route = problems.decode(
                where,
                partial(_decode_route, host),
                partial(_unusable_route, host),
                path,
            )
            if route is None:
                continue
            if route.is_usable and path["kind"] not in _IS_IDEMPOTENT_BY_KIND:
                detail = (
                    f"unknown kind {describe(path['kind'])}, taken as not idempotent"
                )
                problems.add(where, detail)
            routes.append(route)
    return routes


def _decode_route(host: str, entry: dict[str, Any]) -> Route:
    # A kind of a later version may have an effect, so it counts as not idempotent.
    is_idempotent = _IS_IDEMPOTENT_BY_KIND.get(_read(entry, "kind", check_text), False)
    return Route(
        name=_read(entry, "name", check_name),
        host=host,
        prefix=_read(entry, "prefix", _prefix),
        services=_decode_backends(entry),
        is_idempotent=is_idempotent,
        timeout=_read(entry, "timeoutMs", _seconds),
        target_latency=_read(entry, "targetLatencyMs", _seconds),
        priority=_read(entry, "priority", _count, 0),
        max_attempts=_read(entry, "maxAttempts", _count, 1),
        is_public=_read(entry, "public", check_flag, False),
    )


def _unusable_route(host: str, entry: dict[str, Any]) -> Route:
    """Return a route whose calls are refused.

    It keeps the calls under its prefix from being matched by a shorter prefix, which
    may lead to another service.
    """
    prefix = _prefix(entry["prefix"])
    name = entry.get("name")
    return Route(
        name=name if isinstance(name, str) else f"{host}{prefix}",
        host=host,
        prefix=prefix,
        services=(),
        is_idempotent=False,
        timeout=0.0,
        target_latency=0.0,
        priority=0,
        max_attempts=0,
        is_public=False,
        is_usable=False,
    )


def _decode_backends(entry: dict[str, Any]) -> tuple[WeightedService, ...]:
    if entry.get("backends") is None:
        return (WeightedService(_read(entry, "service", check_name), 1.0),)
    backends = _read(entry, "backends", check_list)
    parts = tuple(
        WeightedService(
            _read(part, "service", check_name), _read(part, "weight", check_amount)
        )
        for part in backends
    )
    if not any(part.weight > 0.0 for part in parts):
        raise ValueError(
            f"backends: expected at least one weight above 0, got {describe(backends)}"
        )
    return parts


def _decode_services(entries: list[Any], problems: _Problems) -> dict[str, Service]:
    decoded = [
        problems.decode(f"services[{i}]", _decode_service, _cautious_service, entry)
        for i, entry in enumerate(entries)
    ]
    return {service.name: service for service in decoded if service is not None}


def _decode_service(entry: dict[str, Any]) -> Service:
    cold_start = _read(entry, "coldStartS", check_amount, 0.0)
    cold_rate = _read(entry, "coldPerS", check_amount, math.inf)
    has_cold_start = cold_start > 0.0 or cold_rate > 0.0
    return Service(
        name=_read(entry, "name", check_name),
        health_path=_read(entry, "healthPath", check_text),
        max_connections=_read(entry, "maxConnections", _count),
        cold_start=cold_start,
        cold_rate=cold_rate if has_cold_start else math.inf,
    )


def _cautious_service(entry: dict[str, Any]) -> Service:
    """Return a service whose servers receive few calls while they are cold."""
    return Service(
        name=check_name(entry["name"]),
        health_path="/",
        max_connections=UNKNOWN_MAX_CONNECTIONS,
        cold_start=UNKNOWN_COLD_START,
        cold_rate=UNKNOWN_COLD_RATE,
    )


def _decode_accounts(
    entries: list[Any], problems: _Problems
) -> dict[str, ClientAccount]:
    decoded = [
        problems.decode(f"tenants[{i}]", _decode_account, _unusable_account, entry)
        for i, entry in enumerate(entries)
    ]
    return {account.name: account for account in decoded if account is not None}


def _decode_account(entry: dict[str, Any]) -> ClientAccount:
    has_priority = entry.get("priority") is not None
    return ClientAccount(
        name=_read(entry, "name", check_header_name),
        keys=_read(entry, "apiKeys", _texts),
        priority=_read(entry, "priority", _count) if has_priority else None,
        rate=_read(entry, "ratePerS", check_amount, 0.0),
        burst=_read(entry, "burst", check_amount, 0.0),
    )


def _unusable_account(entry: dict[str, Any]) -> ClientAccount:
    """Return an account whose calls are refused, with the keys that can be read."""
    keys = entry.get("apiKeys")
    readable = keys if isinstance(keys, list) else []
    return ClientAccount(
        name=check_name(entry["name"]),
        keys=tuple(key for key in readable if isinstance(key, str) and key),
        priority=None,
        rate=0.0,
        burst=0.0,
        is_usable=False,
    )


def _decode_limits(entry: Any, problems: _Problems) -> RequestLimits:
    default = RequestLimits()
    if not isinstance(entry, dict):
        problems.add("limits", f"expected an object, got {describe(entry)}")
        return default

    def read(name: str, decode: Callable[[Any], _Entry], fallback: _Entry) -> _Entry:
        if name not in entry:
            return fallback
        try:
            return decode(entry[name])
        except _DECODE_ERRORS as error:
            problems.add(f"limits.{name}", error)
            return fallback

    return RequestLimits(
        max_header_bytes=read("maxHeaderBytes", _count, default.max_header_bytes),
        max_body_bytes=read("maxBodyBytes", _count, default.max_body_bytes),
        header_timeout=read("headerTimeoutMs", _seconds, default.header_timeout),
        idle_timeout=read("idleTimeoutMs", _seconds, default.idle_timeout),
    )


def _read(
    entry: dict[str, Any],
    field: str,
    decode: Callable[[Any], _Entry],
    default: _Entry | None = None,
) -> _Entry:
    """Return a decoded field, or the default if the entry has no such field.

    Raises
    ------
    ValueError
        If the field cannot be decoded, or is missing and has no default; its text names
        the field.
    """
    if field not in entry:
        if default is None:
            raise ValueError(f"{field}: expected a value, got none")
        return default
    try:
        return decode(entry[field])
    except _DECODE_ERRORS as error:
        raise ValueError(f"{field}: {error}") from error


def _texts(value: Any) -> tuple[str, ...]:
    return tuple(check_text(part) for part in check_list(value))


def _count(value: Any) -> int:
    return int(check_amount(value))


def _seconds(value: Any) -> float:
    return check_amount(value) / _MS_PER_S


def _prefix(value: Any) -> str:
    prefix = check_text(value)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(
            f"expected a prefix with slashes at both ends, got {describe(prefix)}"
        )
    return prefix
