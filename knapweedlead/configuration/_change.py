"""Validation of changes and their application to a catalogue."""

import hashlib
import json
from collections import Counter
from collections.abc import Iterator

import attrs
from result import Err, Ok, Result

from knapweedlead.configuration._catalogue import AcceptedChange, Catalogue
from knapweedlead.configuration._resources import Resource, Route

MAX_REMEMBERED_CHANGES = 512
"""Length of the change history kept in a catalogue."""

_DIGEST_LENGTH = 16


@attrs.frozen
class Change:
    """A validated change of one resource requested by an operator.

    Parameters
    ----------
    change_id : str
        Idempotency key: a change sent again with the same id is applied once.
    kind, name : str
        Kind and name of the resource.
    resource : Resource or None
        New content; None deletes the resource.
    expected_version : int or None
        Version to replace; 0 if the resource must not exist; None replaces
        any version.
    """

    change_id: str
    kind: str
    name: str
    resource: Resource | None
    expected_version: int | None

    @property
    def digest(self) -> str:
        """Truncated SHA-256 digest of the content; empty for a deletion."""
        if self.resource is None:
            return ""
        content = json.dumps(attrs.asdict(self.resource), sort_keys=True)
        return hashlib.sha256(content.encode()).hexdigest()[:_DIGEST_LENGTH]


@attrs.frozen
class Refusal:
    """Reason for refusing a change.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Identifier from a closed list of reasons.
    detail : str
        Expected and actual values.
    version : int or None
        Current version of the resource, if relevant.
    field : str
        Offending field of the document; empty for the whole document.
    """

    status: int
    reason: str
    detail: str
    version: int | None = None
    field: str = ""


def find_accepted_change(
    catalogue: Catalogue, change: Change
) -> Result[AcceptedChange | None, Refusal]:
    """Find the record of a change that was accepted before.

    Returns
    -------
    Result
        The record, or None if there is none; a refusal if the id was used for
        another change.
    """
    same_id = (
        c for c in reversed(catalogue.changes) if c.change_id == change.change_id
    )
    record = next(same_id, None)
    if record is None:
        return Ok(None)
    recorded = (record.kind, record.name, record.digest)
    if recorded != (change.kind, change.name, change.digest):
        detail = f"change id {change.change_id!r} was already used for another change"
        return Err(Refusal(422, "change_id_reused", detail))
    return Ok(record)


def apply_change(catalogue: Catalogue, change: Change) -> Result[Catalogue, Refusal]:
    """Return the catalogue after a change, or the refusal of the change."""
    current = catalogue.version_of(change.kind, change.name)
    expected = change.expected_version
    if expected is not None and expected != current:
        detail = f"expected version {expected}, found {current}"
        return Err(Refusal(412, "version_conflict", detail, current))
    if change.resource is None and current == 0:
        detail = f"no {change.kind} named {change.name!r}"
        return Err(Refusal(404, "not_found", detail))
    changed = _with_change(catalogue, change)
    new_errors = Counter(consistency_errors(changed)) - Counter(
        consistency_errors(catalogue)
    )
    if new_errors:
        detail = "; ".join(sorted(new_errors))
        return Err(Refusal(409, "inconsistent", detail, current))
    if _changes_once_storage(catalogue, change):
        detail = "is_durable of an existing route cannot change; delete the route first"
        return Err(Refusal(409, "inconsistent", detail, current, "is_durable"))
    return Ok(changed)


def _changes_once_storage(catalogue: Catalogue, change: Change) -> bool:
    """Return whether a change moves a route's once records to other storage.

    Slot owners do not see claims in the store, and the store does not hold claims
    in the memory of slot owners. After such a change, a request with an already
    claimed idempotency key could run again.
    """
    before = catalogue.by_kind.get("routes", {}).get(change.name)
    after = change.resource
    if not isinstance(before, Route) or not isinstance(after, Route):
        return False
    return before.is_durable != after.is_durable


def _with_change(catalogue: Catalogue, change: Change) -> Catalogue:
    revision = catalogue.revision + 1
    record = AcceptedChange(
        revision, change.change_id, change.kind, change.name, change.digest
    )
    changes = (*catalogue.changes, record)[-MAX_REMEMBERED_CHANGES:]
    content_by_key = {(change.kind, change.name): change.resource}
    return replace_resources(catalogue, content_by_key, changes)


def replace_resources(
    catalogue: Catalogue,
    content_by_key: dict[tuple[str, str], Resource | None],
    changes: tuple[AcceptedChange, ...],
) -> Catalogue:
    """Return a catalogue with replaced resources, at the last change's revision.

    Parameters
    ----------
    catalogue : Catalogue
        Catalogue to start from.
    content_by_key : dict of (str, str) to Resource or None
        New content by kind and name; None deletes the resource.
    changes : tuple of AcceptedChange
        Change history of the new catalogue; not empty.
    """
    by_kind = dict(catalogue.by_kind)
    versions = dict(catalogue.version_by_name)
    for kind in {kind for kind, _ in content_by_key}:
        by_kind[kind] = dict(by_kind.get(kind, {}))
        versions[kind] = {
            name: catalogue.version_of(kind, name) for name in by_kind[kind]
        }
    revision_by_key = {(c.kind, c.name): c.revision for c in changes}
    for (kind, name), resource in content_by_key.items():
        if resource is None:
            by_kind[kind].pop(name, None)
            versions[kind].pop(name, None)
        else:
            by_kind[kind][name] = resource
            versions[kind][name] = revision_by_key[kind, name]
    return Catalogue(changes[-1].revision, by_kind, versions, changes)


def consistency_errors(catalogue: Catalogue) -> Iterator[str]:
    """Yield descriptions of dangling references and duplicates in a catalogue."""
    yield from _key_errors(catalogue)
    yield from _route_errors(catalogue)


def _key_errors(catalogue: Catalogue) -> Iterator[str]:
    keys = catalogue.by_kind.get("keys", {}).values()
    for key in keys:
        account = getattr(key, "client_account", "")
        if account not in catalogue.client_accounts:
            yield f"key {key.name!r} refers to unknown client account {account!r}"
    count_by_digest = Counter(getattr(key, "sha256", "") for key in keys)
    for digest, count in count_by_digest.items():
        if count > 1:
            yield f"{count} keys have the same digest {digest}"


def _route_errors(catalogue: Catalogue) -> Iterator[str]:
    routes = catalogue.by_kind.get("routes", {}).values()
    for route in routes:
        service = getattr(route, "service", "")
        if service not in catalogue.services:
            yield f"route {route.name!r} refers to unknown service {service!r}"
    count_by_prefix = Counter(getattr(route, "path_prefix", "") for route in routes)
    for prefix, count in count_by_prefix.items():
        if count > 1:
            yield f"{count} routes have the same path prefix {prefix!r}"
