"""An operator's day, as exchanged on the wire."""

import json

import pytest

from standins.fleet import OPERATOR_CREDENTIAL, Fleet
from standins.tests.golden import TextExtension
from standins.wire import WireSession

CREDENTIAL = {"authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
DIGEST = "0" * 63 + "1"


@pytest.fixture(scope="module")
def address():
    with Fleet() as fleet:
        yield fleet.add("tickets-1", "tickets", "boston").operator_address


def put(session, address, path, document, **headers):
    body = json.dumps(document).encode()
    return session.exchange(address, "PUT", path, {**CREDENTIAL, **headers}, body)


def test_operator_day_reads_the_same_on_every_run(address, snapshot):
    session = WireSession()
    session.note("without the credential")
    session.exchange(address, "GET", "/v1/client_accounts")
    session.note("a service, an account, a key, a route")
    put(session, address, "/v1/services/tickets", {"name": "tickets"})
    account = {"name": "foremen", "rate_per_s": 10, "burst": 5}
    put(session, address, "/v1/client_accounts/foremen", account)
    key = {"name": "foremen_1", "client_account": "foremen", "sha256": DIGEST}
    put(session, address, "/v1/keys/foremen_1", key)
    route = {
        "name": "tickets",
        "path_prefix": "/tickets",
        "service": "tickets",
        "priority": 2,
        "is_idempotent": False,
    }
    put(session, address, "/v1/routes/tickets", route)
    session.note("a route to a service that does not exist is refused whole")
    put(
        session, address, "/v1/routes/other", {**route, "name": "other", "service": "x"}
    )
    session.note("a wrong field is named")
    put(session, address, "/v1/client_accounts/foremen", {**account, "burst": "many"})
    session.note("two operators race: one wins, the other learns of it")
    race = {**account, "rate_per_s": 20}
    put(session, address, "/v1/client_accounts/foremen", race, **{"if-match": '"2"'})
    race = {**account, "rate_per_s": 30}
    put(session, address, "/v1/client_accounts/foremen", race, **{"if-match": '"2"'})
    session.note("the same change sent again is recognized")
    withdrawn = {**key, "is_withdrawn": True}
    for _ in range(2):
        put(session, address, "/v1/keys/foremen_1", withdrawn, **{"change-id": "w-1"})
    session.note("a data centre out, and back")
    for in_service in (False, True):
        boston = {"name": "boston", "in_service": in_service}
        put(session, address, "/v1/data_centres/boston", boston)
    session.note("what stands at the end")
    session.exchange(address, "GET", "/v1/client_accounts", CREDENTIAL)
    session.exchange(address, "GET", "/v1/keys/foremen_1", CREDENTIAL)
    session.note("an account with keys is not deleted; a key is")
    session.exchange(address, "DELETE", "/v1/client_accounts/foremen", CREDENTIAL)
    session.exchange(address, "DELETE", "/v1/keys/foremen_1", CREDENTIAL)
    session.exchange(address, "GET", "/v1/keys/foremen_1", CREDENTIAL)
    assert session.transcript == snapshot(extension_class=TextExtension)
