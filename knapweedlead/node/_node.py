"""The node: dispatches events and messages to the roles."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from knapweedlead.node._effects import (
    Count,
    Effect,
    HandlerFailed,
    Notify,
    ReplyToCaller,
)
from knapweedlead.node._events import CallReceived, Event, MessageReceived, Woken
from knapweedlead.node._role import Role

PAUSE_THRESHOLD = 1.0
"""Seconds between two events from which the process counts as paused."""

FAULT_STATUS = 502
"""Status of the reply to a call whose handler raised an exception. It promises nothing,
since the call may have been sent on."""

Handler = Callable[..., Iterable[Effect]]


class Node:
    """Functional core of one daemon, composed of roles.

    An exception in a handler ends this handler only: the effects that it returned
    before, and the other handlers of the event, are not affected.

    Parameters
    ----------
    roles : sequence of Role
        Roles in the order in which they receive an event that several of them handle.
    """

    def __init__(self, roles: Sequence[Role]) -> None:
        self.roles = roles
        self._handlers_by_event: dict[type, list[Handler]] = {}
        self._handlers_by_message: dict[type, list[Handler]] = {}
        self._last_event_at: float | None = None
        for role in roles:
            for event_class, handler in role.event_handlers():
                self._handlers_by_event.setdefault(event_class, []).append(handler)
            for message_class, handler in role.message_handlers():
                self._handlers_by_message.setdefault(message_class, []).append(handler)

    @property
    def is_idle(self) -> bool:
        """Whether all roles are idle."""
        return all(role.is_idle for role in self.roles)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return its effects.

        Parameters
        ----------
        event : Event
            Event reported by the shell.
        now : float
            Seconds of a monotonic clock, read after the event was taken from the
            queue, so that a pause of the process is detected before the event is
            handled.
        """
        pause = self._time_since_last_event(now)
        if pause >= PAUSE_THRESHOLD:
            effects = self._dispatch(Woken(pause), now)
            return effects + self._dispatch(event, now)
        return self._dispatch(event, now)

    def _time_since_last_event(self, now: float) -> float:
        last = self._last_event_at
        self._last_event_at = now
        return 0.0 if last is None else now - last

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        effects: list[Effect] = []
        pending = deque([event])
        while pending:
            for effect in self._run_handlers(pending.popleft(), now):
                if type(effect) is Notify:
                    pending.append(effect.event)
                else:
                    effects.append(effect)
        return effects

    def _run_handlers(self, event: Event, now: float) -> Iterable[Effect]:
        if type(event) is MessageReceived:
            message = event.message
            handlers = self._handlers_by_message.get(type(message))
            if handlers is None:
                return [Count("knapweedlead.messages.unhandled")]
            peer = event.peer
            return _run_all(handlers, event, peer, message, now)
        handlers = self._handlers_by_event.get(type(event), [])
        return _run_all(handlers, event, event, now)


def _run_all(handlers: Sequence[Handler], event: Event, *args: Any) -> list[Effect]:
    """Run handlers with the same arguments and return their effects."""
    effects: list[Effect] = []
    for handler in handlers:
        try:
            for effect in handler(*args):
                effects.append(effect)
        except Exception as error:
            effects.append(HandlerFailed(handler.__qualname__, event, error))
            if type(event) is CallReceived:
                effects.append(ReplyToCaller(event.exchange, FAULT_STATUS, {}, b""))
    return effects
