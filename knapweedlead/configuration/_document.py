"""Serialization of the catalogue to the document kept in the store."""

import json
import zlib
from typing import Any

import attrs
from result import Err, Ok, Result

from knapweedlead.configuration._catalogue import AcceptedChange, Catalogue
from knapweedlead.configuration._resources import KINDS, Resource, check_resource
from knapweedlead.errors import ResourceError

COMPRESSED_FROM_BYTES = 4096
"""Size from which a document is compressed."""

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Largest accepted size of a document after decompression."""

DOCUMENT_ERRORS = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    zlib.error,
)
"""Errors that a malformed document may raise while it is read."""

_JSON_START = b"{"


def serialize_catalogue(catalogue: Catalogue) -> bytes:
    """Return a catalogue as JSON, compressed from `COMPRESSED_FROM_BYTES`."""
    document = {
        "revision": catalogue.revision,
        "resources": {
            kind: [attrs.asdict(resource) for resource in by_name.values()]
            for kind, by_name in catalogue.by_kind.items()
        },
        "versions": {
            kind: {name: catalogue.version_of(kind, name) for name in by_name}
            for kind, by_name in catalogue.by_kind.items()
        },
        "changes": [attrs.astuple(change) for change in catalogue.changes],
    }
    return dump_document(document)


def parse_catalogue(data: bytes) -> Result[Catalogue, ResourceError]:
    """Parse the output of `serialize_catalogue`.

    Resources without a recorded version get the document's revision.
    """
    try:
        return _build_catalogue(load_document(data))
    except DOCUMENT_ERRORS as error:
        detail = f"malformed catalogue: {type(error).__name__}"
        return Err(ResourceError("configuration.parse", "catalogue", detail))


def dump_document(document: Any) -> bytes:
    """Return a document as JSON, compressed from `COMPRESSED_FROM_BYTES`."""
    data = json.dumps(document, separators=(",", ":")).encode()
    return zlib.compress(data) if len(data) >= COMPRESSED_FROM_BYTES else data


def load_document(data: bytes) -> Any:
    """Parse the output of `dump_document`.

    Raises
    ------
    ValueError, zlib.error
        If the data is malformed or exceeds `MAX_DOCUMENT_BYTES`.
    """
    if not data.startswith(_JSON_START):
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            raise ValueError(f"expected at most {MAX_DOCUMENT_BYTES} bytes")
    return json.loads(data)


def _build_catalogue(document: Any) -> Result[Catalogue, ResourceError]:
    revision = document["revision"]
    if type(revision) is not int:
        raise TypeError("expected an integer revision")
    by_kind: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}
    for kind, items in document["resources"].items():
        for item in items:
            checked = check_resource(kind, item)
            if isinstance(checked, Err):
                return checked
            by_kind[kind][checked.ok_value.name] = checked.ok_value
    versions = document.get("versions", {})
    version_by_name = {
        kind: {name: int(versions.get(kind, {}).get(name, revision)) for name in items}
        for kind, items in by_kind.items()
    }
    changes = tuple(AcceptedChange(*change) for change in document.get("changes", ()))
    return Ok(Catalogue(revision, by_kind, version_by_name, changes))
