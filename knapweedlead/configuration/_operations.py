"""Operators' requests to a node and its replies, free of HTTP.

A request travels in `OperatorCallReceived` and is answered by a
`ReplyToOperator` that carries an `OperatorReply`.
"""

from typing import Any

import attrs


@attrs.frozen
class ListResources:
    """Read all resources of a kind."""

    kind: str


@attrs.frozen
class GetResource:
    """Read one resource."""

    kind: str
    name: str


@attrs.frozen
class ApplyResource:
    """Create or replace a resource.

    Parameters
    ----------
    kind, name : str
        Which resource.
    document : object
        Decoded JSON of the resource.
    expected_version : int or None
        Version that is to be replaced; 0 where the resource must not exist;
        None replaces any.
    change_id : str
        Names the change; the same id sent again is recognized.
    """

    kind: str
    name: str
    document: Any
    expected_version: int | None
    change_id: str


@attrs.frozen
class DeleteResource:
    """Delete a resource; fields as in `ApplyResource`."""

    kind: str
    name: str
    expected_version: int | None
    change_id: str


@attrs.frozen
class GetStatus:
    """Read the members and the revisions in force on them."""


@attrs.frozen
class OperatorReply:
    """Answer to an operator's request.

    Parameters
    ----------
    status : int
        HTTP status.
    document : object
        JSON-compatible body; a problem document where `status` is an error.
    version : int or None
        Version of the resource, for its ``ETag``.
    """

    status: int
    document: Any
    version: int | None = None
