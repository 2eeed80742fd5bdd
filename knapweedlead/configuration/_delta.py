"""Serialized differences between two revisions of the catalogue."""

import attrs
from result import Err, Ok, Result

from knapweedlead.configuration._catalogue import AcceptedChange, Catalogue
from knapweedlead.configuration._change import MAX_REMEMBERED_CHANGES, replace_resources
from knapweedlead.configuration._document import (
    DOCUMENT_ERRORS,
    dump_document,
    load_document,
    parse_catalogue,
    serialize_catalogue,
)
from knapweedlead.configuration._resources import Resource, check_resource
from knapweedlead.errors import ResourceError


@attrs.frozen
class Delta:
    """Difference between two revisions.

    Parameters
    ----------
    base, revision : int
        Revisions before and after; base 0 means that `content` is a full catalogue.
    content : bytes
        Serialized changes and changed resources.
    """

    base: int
    revision: int
    content: bytes


def make_delta(catalogue: Catalogue, base: int) -> Delta:
    """Return the delta from revision `base` to the catalogue.

    The delta holds the full catalogue if `base` is 0 or its change history does
    not reach back to `base`.
    """
    changes = [change for change in catalogue.changes if change.revision > base]
    remembered = [change.revision for change in changes]
    if base <= 0 or remembered != list(range(base + 1, catalogue.revision + 1)):
        return Delta(0, catalogue.revision, serialize_catalogue(catalogue))
    keys = dict.fromkeys((change.kind, change.name) for change in changes)
    resources = [
        (kind, name, None if resource is None else attrs.asdict(resource))
        for kind, name in keys
        for resource in [catalogue.resource(kind, name)]
    ]
    document = {
        "changes": [attrs.astuple(change) for change in changes],
        "resources": resources,
    }
    return Delta(base, catalogue.revision, dump_document(document))


def apply_delta(
    catalogue: Catalogue | None, delta: Delta, peer: str
) -> Result[Catalogue, ResourceError]:
    """Apply a delta to a catalogue.

    Parameters
    ----------
    catalogue : Catalogue or None
        Current catalogue, at the delta's base revision or later; None is accepted
        for a full catalogue only.
    delta : Delta
        Delta to apply.
    peer : str
        Sender of the delta, for error messages.
    """
    if delta.base == 0:
        parsed = parse_catalogue(delta.content)
        return (
            parsed
            if isinstance(parsed, Err)
            else _check_revision(parsed.ok_value, delta)
        )
    if catalogue is None or catalogue.revision < delta.base:
        return _error(peer, f"expected to be at revision {delta.base}")
    try:
        return _apply(catalogue, delta)
    except DOCUMENT_ERRORS as error:
        return _error(peer, f"malformed delta: {type(error).__name__}: {error}")


def _apply(catalogue: Catalogue, delta: Delta) -> Result[Catalogue, ResourceError]:
    document = load_document(delta.content)
    changes = [AcceptedChange(*change) for change in document["changes"]]
    newer = [change for change in changes if change.revision > catalogue.revision]
    expected = list(range(catalogue.revision + 1, delta.revision + 1))
    if [change.revision for change in newer] != expected:
        raise ValueError("missing changes")
    content_by_key: dict[tuple[str, str], Resource | None] = {}
    for kind, name, item in document["resources"]:
        content_by_key[kind, name] = None
        if item is not None:
            checked = check_resource(kind, item, name)
            if isinstance(checked, Err):
                return checked
            content_by_key[kind, name] = checked.ok_value
    kept = (*catalogue.changes, *newer)[-MAX_REMEMBERED_CHANGES:]
    needed = {(change.kind, change.name) for change in newer}
    needed_content = {key: content_by_key[key] for key in needed}
    return Ok(replace_resources(catalogue, needed_content, kept))


def _check_revision(
    catalogue: Catalogue, delta: Delta
) -> Result[Catalogue, ResourceError]:
    if catalogue.revision != delta.revision:
        return _error("-", f"expected revision {delta.revision}")
    return Ok(catalogue)


def _error(peer: str, detail: str) -> Err[ResourceError]:
    return Err(ResourceError("configuration.delta", peer, detail))
