"""Kinds of resources that operators declare, with their constraints."""

import re
from typing import Any, ClassVar

import attrs
from result import Err, Ok, Result

from knapweedlead.errors import ResourceError
from knapweedlead.parameters import Constraint, InstanceOf, Interval

MAX_NAME_LENGTH = 128

LOWEST_PRIORITY = 9
"""Number of the lowest priority; 0 is the highest."""

_DIGEST = re.compile(r"[0-9a-f]{64}")

_TEXT = InstanceOf(str)
_FLAG = InstanceOf(bool)


@attrs.frozen
class Digest:
    """Constraint on SHA-256 digests in lower-case hexadecimal."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a complete digest."""
        return isinstance(value, str) and _DIGEST.fullmatch(value) is not None

    def describe(self) -> str:
        """Return a description of accepted values, for error messages."""
        return "64 lower-case hexadecimal digits"


@attrs.frozen
class Resource:
    """Base class of all resource kinds.

    Parameters
    ----------
    name : str
        Name, unique within the kind.
    """

    name: str

    constraints: ClassVar[dict[str, Constraint]] = {"name": _TEXT}


@attrs.frozen
class ClientAccount(Resource):
    """Account of a caller, with its fleet-wide rate limit.

    Parameters
    ----------
    rate_per_s : float
        Requests per second, summed over all instances.
    burst : float
        Requests above the rate that any window may contain.
    weight : float
        Share of the capacity under overload, relative to other accounts.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "rate_per_s": Interval(float, 0.0, 1e6, "requests/s"),
        "burst": Interval(float, 1.0, 1e6, "requests"),
        "weight": Interval(float, 0.01, 1000.0),
    }


@attrs.frozen
class Key(Resource):
    """API key of a caller, of which only the digest is stored.

    Parameters
    ----------
    client_account : str
        Account charged for requests with the key.
    sha256 : str
        Hexadecimal SHA-256 digest of the key.
    is_withdrawn : bool
        Whether the key has been revoked.
    """

    client_account: str
    sha256: str
    is_withdrawn: bool = False

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "client_account": _TEXT,
        "sha256": Digest(),
        "is_withdrawn": _FLAG,
    }


@attrs.frozen
class Route(Resource):
    """Policy for requests under a path prefix.

    Parameters
    ----------
    path_prefix : str
        Matches paths that start with it; the longest matching prefix wins.
    service : str
        Service that handles the requests.
    priority : int
        Priority from 0, the highest, which is shed last.
    is_idempotent : bool
        Whether a request may be executed more than once.
    is_open : bool
        Whether requests are accepted without a key.
    timeout_ms : int
        Default timeout in milliseconds for requests without a deadline.
    retry_credits : int
        Retries allowed in the whole call tree of a request.
    is_durable : bool
        Whether once records, the claims of idempotency keys, are kept in the
        platform's store rather than in the memory of slot owners.
    """

    path_prefix: str
    service: str
    priority: int
    is_idempotent: bool
    is_open: bool = False
    timeout_ms: int = 5000
    retry_credits: int = 2
    is_durable: bool = False

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "path_prefix": _TEXT,
        "service": _TEXT,
        "priority": Interval(int, 0, LOWEST_PRIORITY),
        "is_idempotent": _FLAG,
        "is_open": _FLAG,
        "timeout_ms": Interval(int, 1, 600_000, "ms"),
        "retry_credits": Interval(int, 0, 100, "retries"),
        "is_durable": _FLAG,
    }


@attrs.frozen
class Service(Resource):
    """A named group of backend servers.

    Parameters
    ----------
    cold_slots : int
        Concurrent calls to a backend server during its cold start.
    cold_start_s : float
        Duration of a cold start in seconds.
    """

    cold_slots: int = 4
    cold_start_s: float = 30.0

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "cold_slots": Interval(int, 1, 100_000, "calls"),
        "cold_start_s": Interval(float, 0.0, 3600.0, "s"),
    }


@attrs.frozen
class DataCentre(Resource):
    """A data centre and its service state.

    Parameters
    ----------
    region : str
        Region of the data centre.
    in_service : bool
        Whether its backend servers accept new calls.
    """

    region: str = ""
    in_service: bool = True

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "region": _TEXT,
        "in_service": _FLAG,
    }


@attrs.frozen
class BackendServer(Resource):
    """Service state of one backend server.

    Parameters
    ----------
    in_service : bool
        Whether the backend server accepts new calls.
    """

    in_service: bool = True

    constraints: ClassVar[dict[str, Constraint]] = {
        "name": _TEXT,
        "in_service": _FLAG,
    }


KINDS: dict[str, type[Resource]] = {
    "client_accounts": ClientAccount,
    "keys": Key,
    "routes": Route,
    "services": Service,
    "data_centres": DataCentre,
    "backend_servers": BackendServer,
}
"""Resource class by kind, as named in the operator API."""


def check_resource(
    kind: str, document: Any, name: str | None = None
) -> Result[Resource, ResourceError]:
    """Validate a decoded JSON document and build its resource.

    Parameters
    ----------
    kind : str
        A key of `KINDS`.
    document : object
        Decoded JSON.
    name : str or None
        Required name; None accepts any.

    Returns
    -------
    Result
        The resource, or an error with the field, the expected and the actual value.
    """
    cls = KINDS.get(kind)
    if cls is None:
        return _error(kind, "", f"expected a kind of {', '.join(KINDS)}")
    if not isinstance(document, dict):
        return _error(kind, "", f"expected an object, found {document!r}")
    known = {attribute.name: attribute for attribute in attrs.fields(cls)}
    for field in document:
        if field not in known:
            return _error(kind, field, f"expected one of {', '.join(known)}")
    for field, attribute in known.items():
        if field not in document and attribute.default is attrs.NOTHING:
            return _error(kind, field, "expected a value, found none")
    for field, value in document.items():
        constraint = cls.constraints[field]
        if not constraint.accepts(value):
            detail = f"expected {constraint.describe()}, found {value!r}"
            return _error(kind, field, detail)
    found = document["name"]
    if not 0 < len(found) <= MAX_NAME_LENGTH or "/" in found:
        detail = f"expected 1 to 128 characters without '/', found {found!r}"
        return _error(kind, "name", detail)
    if name is not None and found != name:
        return _error(kind, "name", f"expected {name!r}, found {found!r}")
    return Ok(cls(**document))


def _error(kind: str, field: str, detail: str) -> Err[ResourceError]:
    where = f"field '{field}': {detail}" if field else detail
    return Err(ResourceError("configuration.check", kind, where, field))
