"""Operator requests and replies, independent of HTTP.

An `OperatorCallReceived` event carries a request; a `ReplyToOperator` effect
carries its `OperatorReply`.
"""

from typing import Any

import attrs


@attrs.frozen
class ListResources:
    """Request for all resources of a kind."""

    kind: str


@attrs.frozen
class GetResource:
    """Request for one resource."""

    kind: str
    name: str


@attrs.frozen
class ApplyResource:
    """Request to create or replace a resource.

    Parameters
    ----------
    kind, name : str
        Kind and name of the resource.
    document : object
        Decoded JSON of the resource.
    expected_version : int or None
        Version to replace; 0 if the resource must not exist; None replaces
        any version.
    change_id : str
        Idempotency key: a change sent again with the same id is applied once;
        if empty, the daemon generates one.
    """

    kind: str
    name: str
    document: Any
    expected_version: int | None
    change_id: str


@attrs.frozen
class DeleteResource:
    """Request to delete a resource; fields as in `ApplyResource`."""

    kind: str
    name: str
    expected_version: int | None
    change_id: str


@attrs.frozen
class GetStatus:
    """Request for the members and the revisions that they have applied."""


@attrs.frozen
class OperatorReply:
    """Reply to an operator's request.

    Parameters
    ----------
    status : int
        HTTP status.
    document : object
        JSON-compatible body; a problem document if `status` is an error.
    version : int or None
        Version of the resource, for its ``ETag``.
    """

    status: int
    document: Any
    version: int | None = None
