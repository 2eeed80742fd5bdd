"""Operator role: handles requests to the operator API."""

import heapq
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from result import Err

from knapweedlead.configuration._change import Change
from knapweedlead.configuration._operations import (
    ApplyResource,
    DeleteResource,
    GetResource,
    GetStatus,
    ListResources,
    OperatorReply,
)
from knapweedlead.configuration._pending_change import PendingChange
from knapweedlead.configuration._replies import (
    NOT_APPLIED,
    invalid_reply,
    list_reply,
    not_found_reply,
    resource_reply,
    unavailable_reply,
)
from knapweedlead.configuration._resources import KINDS, check_resource
from knapweedlead.configuration._role import ConfigurationRole
from knapweedlead.configuration._status import StatusCollected, StatusRole
from knapweedlead.node import (
    Effect,
    Identity,
    OperatorCallReceived,
    ReplyToOperator,
    Role,
    StoreAnswered,
    StoreCall,
    StoreCallIds,
    Tick,
    WakeAt,
    handles,
)
from knapweedlead.store import Entry, StoreOperation

CHANGE_TIMEOUT_SECONDS = 5.0
"""Seconds for which a change is retried while the store is unreachable."""

Handler = Callable[[int, Any, float], Iterable[Effect]]


class OperatorRole(Role):
    """Reads and changes resources on behalf of operators.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    configuration : ConfigurationRole
        Source of the applied catalogue; applies accepted changes.
    status : StatusRole
        Collects the status of all members.
    store_calls : StoreCallIds
        Source of store call numbers.
    """

    def __init__(
        self,
        identity: Identity,
        configuration: ConfigurationRole,
        status: StatusRole,
        store_calls: StoreCallIds,
    ) -> None:
        self.identity = identity
        self.configuration = configuration
        self.status = status
        self.store_calls = store_calls
        self._awaiting_status: list[int] = []
        self._pending_by_call: dict[int, PendingChange] = {}
        self._called_at: dict[int, float] = {}
        self._retries: list[tuple[float, int, PendingChange]] = []
        self._order = itertools.count()
        self._handler_by_request: dict[type, Handler] = {
            ListResources: self._list,
            GetResource: self._get,
            GetStatus: self._get_status,
            ApplyResource: self._apply,
            DeleteResource: self._delete,
        }

    @handles(OperatorCallReceived)
    def on_operator_call(
        self, event: OperatorCallReceived, now: float
    ) -> Iterable[Effect]:
        """Reply to a read request, or start the requested change."""
        handler = self._handler_by_request[type(event.request)]
        return handler(event.exchange, event.request, now)

    def _list(
        self, exchange: int, request: ListResources, now: float
    ) -> Iterator[Effect]:
        catalogue = self.configuration.catalogue
        if request.kind not in KINDS:
            yield ReplyToOperator(exchange, not_found_reply(request.kind))
        elif catalogue is None:
            yield ReplyToOperator(exchange, _unknown_catalogue_reply())
        else:
            yield ReplyToOperator(exchange, list_reply(catalogue, request.kind))

    def _get(self, exchange: int, request: GetResource, now: float) -> Iterator[Effect]:
        yield ReplyToOperator(exchange, self._read_resource(request.kind, request.name))

    def _read_resource(self, kind: str, name: str) -> OperatorReply:
        catalogue = self.configuration.catalogue
        if kind not in KINDS:
            return not_found_reply(kind)
        if catalogue is None:
            return _unknown_catalogue_reply()
        resource = catalogue.resource(kind, name)
        if resource is None:
            return not_found_reply(kind, name)
        version = catalogue.version_of(kind, name)
        return resource_reply(resource, version, catalogue.revision)

    def _get_status(
        self, exchange: int, request: GetStatus, now: float
    ) -> Iterator[Effect]:
        self._awaiting_status.append(exchange)
        yield from self.status.collect(now)

    @handles(StatusCollected)
    def on_status_collected(
        self, event: StatusCollected, now: float
    ) -> Iterator[Effect]:
        """Reply to all pending status requests."""
        exchanges, self._awaiting_status = self._awaiting_status, []
        for exchange in exchanges:
            yield ReplyToOperator(exchange, OperatorReply(200, event.document))

    def _apply(
        self, exchange: int, request: ApplyResource, now: float
    ) -> Iterator[Effect]:
        if request.kind not in KINDS:
            yield ReplyToOperator(exchange, not_found_reply(request.kind))
            return
        document = request.document
        if isinstance(document, dict):
            document = {"name": request.name, **document}
        checked = check_resource(request.kind, document, request.name)
        if isinstance(checked, Err):
            yield ReplyToOperator(exchange, invalid_reply(checked.err_value))
            return
        yield from self._start_change(exchange, request, checked.ok_value, now)

    def _delete(
        self, exchange: int, request: DeleteResource, now: float
    ) -> Iterator[Effect]:
        if request.kind not in KINDS:
            yield ReplyToOperator(exchange, not_found_reply(request.kind))
            return
        yield from self._start_change(exchange, request, None, now)

    def _start_change(
        self, exchange: int, request: Any, resource: Any, now: float
    ) -> Iterator[Effect]:
        identity = self.identity
        generated_id = f"{identity.name}/{identity.incarnation}/{exchange}"
        change = Change(
            request.change_id or generated_id,
            request.kind,
            request.name,
            resource,
            request.expected_version,
        )
        pending = PendingChange(exchange, change, now + CHANGE_TIMEOUT_SECONDS)
        yield self._call_store(pending, pending.read(), now)

    def _call_store(
        self, pending: PendingChange, operation: StoreOperation, now: float
    ) -> Effect:
        call = self.store_calls.next()
        self._pending_by_call[call] = pending
        self._called_at[call] = now
        return StoreCall(call, operation)

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Advance the change whose store call was answered."""
        pending = self._pending_by_call.pop(event.call, None)
        if pending is None:
            return
        called_at = self._called_at.pop(event.call)
        if isinstance(event.result, Err):
            yield from self._on_store_failed(pending, event.result.err_value, now)
            return
        answer = event.result.ok_value
        step: StoreOperation | OperatorReply
        step = (
            pending.on_read(answer, self.configuration.catalogue)
            if isinstance(answer, Entry)
            else (pending.on_written())
        )
        if isinstance(step, StoreOperation):
            yield self._call_store(pending, step, now)
            return
        if pending.written is not None:
            yield from self.configuration.apply_stored(pending.written, called_at, now)
        yield ReplyToOperator(pending.exchange, step)

    def _on_store_failed(
        self, pending: PendingChange, error: Any, now: float
    ) -> Iterator[Effect]:
        next_step = pending.on_failed(error, now)
        if isinstance(next_step, Err):
            yield ReplyToOperator(pending.exchange, next_step.err_value)
            return
        retry_at = now + next_step.ok_value
        if retry_at <= now:
            yield self._call_store(pending, pending.read(), now)
            return
        heapq.heappush(self._retries, (retry_at, next(self._order), pending))
        yield WakeAt(retry_at)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Retry the changes that are due."""
        while self._retries and self._retries[0][0] <= now:
            _, _, pending = heapq.heappop(self._retries)
            yield self._call_store(pending, pending.read(), now)


def _unknown_catalogue_reply() -> OperatorReply:
    return unavailable_reply(
        "no configuration revision has been received yet", NOT_APPLIED
    )
