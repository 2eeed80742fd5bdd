"""Conversion of callers' requests to pending calls."""

import itertools
import random

import xxhash
from result import Err, Ok, Result

from knapweedlead.accounts import authenticate
from knapweedlead.calls._guard import GuardRole
from knapweedlead.calls._guard_call import GuardCall
from knapweedlead.calls._headers import (
    AUTHORIZATION,
    IDEMPOTENCY_KEY,
    PARENT,
    forwarded_headers,
)
from knapweedlead.calls._pending import PendingCall
from knapweedlead.calls._validation import deadline_of, reason_to_refuse, trace_of
from knapweedlead.configuration import Catalogue, ConfigurationRole, Route
from knapweedlead.node import CallReceived
from knapweedlead.requests import RefusalReason
from knapweedlead.retries import CallerRetryCredits, RetryPolicy

MAX_HOPS = 32
"""Maximum depth of a call tree; stops call loops."""

RetryKey = tuple[str, str, bytes]
"""Client account, idempotency key or trace ID, and fingerprint."""

_FIRST_CALL_ID_BITS = 48
_REQUEST_ID_BITS = 128
_REQUEST_ID_BYTES = 16


class CallAcceptance:
    """Validates and authenticates requests and sets their deadline and credits.

    Parameters
    ----------
    configuration : ConfigurationRole
        Active accounts, keys and routes.
    guard : GuardRole
        Running calls of the local backend server, the parents of child calls.
    retries : RetryPolicy
        Determines how many credits a parent lends to a child call.
    caller_retries : CallerRetryCredits
        Remaining credits of failed requests that callers may retry.
    rng : random.Random
        Source of request IDs.
    """

    def __init__(
        self,
        configuration: ConfigurationRole,
        guard: GuardRole,
        retries: RetryPolicy,
        caller_retries: CallerRetryCredits,
        rng: random.Random,
    ) -> None:
        self.configuration = configuration
        self.guard = guard
        self.retries = retries
        self.caller_retries = caller_retries
        self.rng = rng
        self._call_ids = itertools.count(1 + rng.getrandbits(_FIRST_CALL_ID_BITS))

    def accept(
        self, event: CallReceived, now: float
    ) -> Result[PendingCall, RefusalReason]:
        """Return the pending call of a request, or why it is refused."""
        catalogue = self.configuration.catalogue
        if catalogue is None:
            return Err(RefusalReason.CONFIGURATION_UNKNOWN)
        if not self.configuration.is_fresh(now):
            return Err(RefusalReason.CONFIGURATION_STALE)
        route = catalogue.route_of(event.path)
        if route is None:
            return Err(RefusalReason.UNKNOWN_ROUTE)
        if PARENT in event.headers:
            return self._accept_child(event, route, now)
        return self._accept_root(event, route, catalogue, now)

    def _accept_root(
        self, event: CallReceived, route: Route, catalogue: Catalogue, now: float
    ) -> Result[PendingCall, RefusalReason]:
        account = None
        if not route.is_open:
            check = authenticate(catalogue, event.headers.get(AUTHORIZATION, ""))
            if check.reason is not None:
                return Err(check.reason)
            account = check.account
        reason = reason_to_refuse(event, route, not route.is_idempotent)
        if reason is not None:
            return Err(reason)
        name = account.name if account else ""
        retry_key = _retry_key(event, name) if route.is_idempotent else None
        credits = self.caller_retries.credits_for(retry_key, route.retry_credits, now)
        if credits is None:
            return Err(RefusalReason.RETRIES_EXHAUSTED)
        request_id = self.rng.getrandbits(_REQUEST_ID_BITS)
        return Ok(
            PendingCall(
                call_id=next(self._call_ids),
                event=event,
                route=route,
                account=name,
                metered_account=account,
                parent=None,
                request_id=request_id.to_bytes(_REQUEST_ID_BYTES, "big"),
                priority=route.priority,
                deadline=deadline_of(event, route, now),
                credits=credits,
                hops=0,
                retry_key=retry_key,
                headers=forwarded_headers(event.headers),
            )
        )

    def _accept_child(
        self, event: CallReceived, route: Route, now: float
    ) -> Result[PendingCall, RefusalReason]:
        parent = self.guard.parent_of(event.headers[PARENT])
        if parent is None:
            return Err(RefusalReason.INVALID_PARENT)
        reason = reason_to_refuse(event, route, is_claim_needed(parent, route))
        if reason is not None:
            return Err(reason)
        request = parent.request
        if request.hops + 1 > MAX_HOPS:
            return Err(RefusalReason.HOP_LIMIT)
        if not _charge_child_retry(parent, event):
            return Err(RefusalReason.RETRIES_EXHAUSTED)
        policy = self.retries.credits
        credits = policy.credits_for_child(parent.credits, route.retry_credits)
        parent.credits = policy.remaining_after(parent.credits, credits)
        return Ok(
            PendingCall(
                call_id=next(self._call_ids),
                event=event,
                route=route,
                account=request.account,
                metered_account=None,
                parent=parent,
                request_id=request.request_id,
                priority=min(request.priority, route.priority),
                deadline=min(parent.deadline, deadline_of(event, route, now)),
                credits=credits,
                hops=request.hops + 1,
                headers=forwarded_headers(event.headers),
            )
        )


def is_claim_needed(parent: GuardCall | None, route: Route) -> bool:
    """Return whether an idempotency key must be claimed before a call is sent.

    A parent that is not idempotent runs at most once, and so do its child
    calls. An idempotent parent may run again, so a child call that is not
    idempotent must claim its own key.
    """
    if route.is_idempotent:
        return False
    return parent is None or parent.request.is_idempotent


def fingerprint(event: CallReceived) -> bytes:
    """Return the digest of a request's method, path and body."""
    text = f"{event.method} {event.path}\n".encode()
    return xxhash.xxh3_128_digest(text + event.body)


def child_key(event: CallReceived) -> bytes:
    """Return the key by which a retry of a child call is recognized."""
    return event.headers.get(IDEMPOTENCY_KEY, "").encode() + fingerprint(event)


def _retry_key(event: CallReceived, account: str) -> RetryKey | None:
    """Return the key by which retries of a root call are recognized.

    None if the request has neither an idempotency key nor a trace ID.
    """
    name = event.headers.get(IDEMPOTENCY_KEY) or trace_of(event)
    return (account, name, fingerprint(event)) if name else None


def _charge_child_retry(parent: GuardCall, event: CallReceived) -> bool:
    """Return whether a child call may be sent; a retry costs the parent one credit."""
    if not parent.failed_children or child_key(event) not in parent.failed_children:
        return True
    if parent.credits < 1:
        return False
    parent.credits -= 1
    return True
