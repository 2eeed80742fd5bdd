"""Construction of replies to operators."""

from typing import Any

import attrs

from knapweedlead.configuration._catalogue import Catalogue
from knapweedlead.configuration._change import Refusal
from knapweedlead.configuration._operations import OperatorReply
from knapweedlead.configuration._resources import KINDS, Resource
from knapweedlead.errors import ResourceError

NOT_APPLIED = "not_applied"
"""Outcome of a change that has certainly not been applied."""
UNKNOWN = "unknown"
"""Outcome of a change that may have been applied."""


def refusal_reply(refusal: Refusal) -> OperatorReply:
    """Return the reply for a refused request, an RFC 9457 problem document."""
    document = {
        "type": f"urn:knapweedlead:problem:{refusal.reason}",
        "title": refusal.reason.replace("_", " "),
        "status": refusal.status,
        "reason": refusal.reason,
        "detail": refusal.detail,
        "outcome": NOT_APPLIED,
    }
    if refusal.version is not None:
        document["version"] = refusal.version
    if refusal.field:
        document["field"] = refusal.field
    return OperatorReply(refusal.status, document, refusal.version)


def unavailable_reply(detail: str, outcome: str) -> OperatorReply:
    """Return the reply while the store or the catalogue is unavailable."""
    reply = refusal_reply(Refusal(503, "store_unavailable", detail))
    return attrs.evolve(reply, document={**reply.document, "outcome": outcome})


def invalid_reply(error: ResourceError) -> OperatorReply:
    """Return the reply for a document that failed validation."""
    refusal = Refusal(422, "invalid_resource", error.detail, field=error.field)
    return refusal_reply(refusal)


def not_found_reply(kind: str, name: str = "") -> OperatorReply:
    """Return the reply for a kind or resource that does not exist."""
    if kind not in KINDS:
        detail = f"expected a kind of {', '.join(KINDS)}, found {kind!r}"
    else:
        detail = f"no {kind} named {name!r}"
    return refusal_reply(Refusal(404, "not_found", detail))


def resource_reply(
    resource: Resource | None, version: int, revision: int
) -> OperatorReply:
    """Return the reply with a resource; without content if it was deleted."""
    content: dict[str, Any] = {} if resource is None else attrs.asdict(resource)
    document = {**content, "version": version, "revision": revision}
    return OperatorReply(200, document, version)


def list_reply(catalogue: Catalogue, kind: str) -> OperatorReply:
    """Return the reply that lists the resources of a kind."""
    items = [
        {**attrs.asdict(resource), "version": catalogue.version_of(kind, name)}
        for name, resource in catalogue.by_kind.get(kind, {}).items()
    ]
    return OperatorReply(200, {"revision": catalogue.revision, "items": items})
