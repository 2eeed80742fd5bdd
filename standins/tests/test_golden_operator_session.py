"""An operator session matches the recorded HTTP exchanges."""

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


def test_operator_session_matches_snapshot(address, snapshot):
    session = WireSession()
    session.add_heading("without the credential")
    session.exchange(address, "GET", "/v1/client_accounts")
    session.add_heading("a service, an account, a key, a route")
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
    session.add_heading("a route to a service that does not exist is refused")
    put(
        session, address, "/v1/routes/other", {**route, "name": "other", "service": "x"}
    )
    session.add_heading("the refusal names an invalid field")
    put(session, address, "/v1/client_accounts/foremen", {**account, "burst": "many"})
    session.add_heading("two concurrent changes of one revision: the second is refused")
    race = {**account, "rate_per_s": 20}
    put(session, address, "/v1/client_accounts/foremen", race, **{"if-match": '"2"'})
    race = {**account, "rate_per_s": 30}
    put(session, address, "/v1/client_accounts/foremen", race, **{"if-match": '"2"'})
    session.add_heading("a repeated change id is recognized")
    withdrawn = {**key, "is_withdrawn": True}
    for _ in range(2):
        put(session, address, "/v1/keys/foremen_1", withdrawn, **{"change-id": "w-1"})
    session.add_heading("a data centre is taken out of service and back")
    for in_service in (False, True):
        boston = {"name": "boston", "in_service": in_service}
        put(session, address, "/v1/data_centres/boston", boston)
    session.add_heading("the final state")
    session.exchange(address, "GET", "/v1/client_accounts", CREDENTIAL)
    session.exchange(address, "GET", "/v1/keys/foremen_1", CREDENTIAL)
    session.add_heading("an account with keys cannot be deleted; a key can")
    session.exchange(address, "DELETE", "/v1/client_accounts/foremen", CREDENTIAL)
    session.exchange(address, "DELETE", "/v1/keys/foremen_1", CREDENTIAL)
    session.exchange(address, "GET", "/v1/keys/foremen_1", CREDENTIAL)
    assert session.transcript == snapshot(extension_class=TextExtension)
