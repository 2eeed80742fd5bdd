"""Odd documents in the store and from peers, in place of the catalogue."""

import json

import pytest
from result import Err

from knapweedlead.configuration import Catalogue
from knapweedlead.configuration._delta import Delta, apply_delta
from knapweedlead.configuration._document import parse_catalogue

NESTED = b"[" * 100_000 + b"]" * 100_000
DOCUMENT = {"revision": 3, "resources": {}, "versions": {}, "changes": []}


def with_part(**parts):
    """Return an encoded document with changed parts; a number may be infinite."""
    return json.dumps(DOCUMENT | parts).encode()


ODD_DOCUMENTS = [
    NESTED,
    b'{"a":' * 100_000,
    b'{"resources": ' + NESTED + b"}",
    b"{}",
    b"7",
    b"\xff" * 20,
    with_part(revision=float("inf")),
    with_part(revision=None),
    with_part(resources={"routes": [{"name": "r"}]}),
    with_part(resources={"routes": 7}),
    with_part(resources={"keys": [[]]}),
    with_part(resources=7),
    with_part(resources={"data_centres": [{"name": "a"}]}, versions=7),
    with_part(
        resources={"data_centres": [{"name": "a", "in_service": True}]},
        versions={"data_centres": {"a": float("inf")}},
    ),
    with_part(changes=7),
    with_part(changes=[[]]),
]


@pytest.mark.parametrize("number", range(len(ODD_DOCUMENTS)))
def test_odd_catalogue_is_an_error_and_raises_nothing(number):
    # Guards against an exception in the handler of the watch, which is not repeated.
    assert isinstance(parse_catalogue(ODD_DOCUMENTS[number]), Err)


@pytest.mark.parametrize("base", [0, 3])
@pytest.mark.parametrize("number", range(len(ODD_DOCUMENTS)))
def test_odd_change_of_a_peer_is_an_error_and_raises_nothing(number, base):
    known = Catalogue(3, {})
    delta = Delta(base, 4, ODD_DOCUMENTS[number])
    assert isinstance(apply_delta(known, delta, "peer"), Err)
