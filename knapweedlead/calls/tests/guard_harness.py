"""Harness that runs one guard in a node, with explicit events and times."""

import hashlib
import itertools
import json
import random
from types import SimpleNamespace

from knapweedlead.calls import GuardRole
from knapweedlead.configuration import ConfigurationChanged, parse_catalogue
from knapweedlead.messages import CallRefusal, CallRequest
from knapweedlead.node import (
    Identity,
    MessageReceived,
    Node,
    RunAnswered,
    RunOnBackendServer,
    SendMessage,
    Started,
)
from knapweedlead.settings import AdmissionSettings, BackendServerSettings

IDENTITY = Identity("wear-1", 1, "127.0.0.1:1", "127.0.0.1:2", "r", "dc1", "wear", "i")
ENTRY = "127.0.0.9:1"


def catalogue(revision=1, withdrawn=(), out_of_service=False):
    accounts = ("crew", "city")
    resources = {
        "client_accounts": [
            {"name": name, "rate_per_s": 10, "burst": 10} for name in accounts
        ],
        "keys": [
            {
                "name": name,
                "client_account": name,
                "sha256": hashlib.sha256(name.encode()).hexdigest(),
                "is_withdrawn": name in withdrawn,
            }
            for name in accounts
        ],
        "data_centres": [{"name": "dc1", "in_service": not out_of_service}],
    }
    document = {"revision": revision, "resources": resources}
    return parse_catalogue(json.dumps(document).encode()).ok_value


class GuardHarness:
    """Delivers events to a guard and collects the effects of its node."""

    def __init__(self, slots=2, cold_slots=1, cold_start_s=0.0):
        self.is_fresh = True
        self.configuration = SimpleNamespace(
            catalogue=catalogue(), is_fresh=lambda now: self.is_fresh
        )
        limits = BackendServerSettings(
            "127.0.0.1:3", slots, cold_slots, cold_start_s, 100
        )
        self.guard = GuardRole(
            IDENTITY, limits, AdmissionSettings(), self.configuration, random.Random(1)
        )
        self.node = Node([self.guard])
        self.now = 0.0
        self.effects = []
        self.call_ids = itertools.count(1)
        self.deliver(Started())
        self.deliver(ConfigurationChanged(self.configuration.catalogue))

    def deliver(self, event, now=None):
        self.now = self.now if now is None else now
        new = self.node.handle(event, self.now)
        self.effects += new
        return new

    def set_catalogue(self, new_catalogue):
        self.configuration.catalogue = new_catalogue
        return self.deliver(ConfigurationChanged(new_catalogue))

    def send(self, now=None, **changes):
        call_id = next(self.call_ids)
        fields = {
            "request_id": call_id.to_bytes(16, "big"),
            "call_id": call_id,
            "attempt": 1,
            "account": "crew",
            "route": "wear",
            "service": "wear",
            "priority": 5,
            "deadline_ms": 1000,
            "retry_credits": 2,
            "hops": 0,
            "is_idempotent": False,
            "idempotency_key": "",
            "method": "POST",
            "path": "/wear/1",
            "headers": {},
            "body": b"",
            "revision": 1,
            "is_forwarded": False,
        }
        request = CallRequest(**{**fields, **changes})
        return request, self.deliver(MessageReceived(ENTRY, request), now)

    def send_many(self, count):
        return [self.send()[0] for _ in range(count)]

    def answer(self, run, now=None, **headers):
        return self.deliver(RunAnswered(run, 200, headers, b"whole"), now)


def runs_in(effects):
    return [effect for effect in effects if isinstance(effect, RunOnBackendServer)]


def messages_in(effects, kind):
    sent = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    return [message for message in sent if isinstance(message, kind)]


def refusals_in(effects):
    refusals = messages_in(effects, CallRefusal)
    return [(refusal.reason, refusal.outcome) for refusal in refusals]
