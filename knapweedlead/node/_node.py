"""The node: a dispatcher of events to roles."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from knapweedlead.node._effects import Count, Effect, Notify
from knapweedlead.node._events import Event, MessageReceived, Woken
from knapweedlead.node._role import Role

PAUSE_THRESHOLD = 1.0
"""Seconds without an event after which the process counts as paused."""

Handler = Callable[..., Iterable[Effect]]


class Node:
    """The whole decision core of one daemon.

    Parameters
    ----------
    roles : sequence of Role
        Parts in the order in which they see events that several handle.
    """

    def __init__(self, roles: Sequence[Role]) -> None:
        self.roles = roles
        self._handlers_by_event: dict[type, list[Handler]] = {}
        self._handlers_by_message: dict[type, list[Handler]] = {}
        self._last_now: float | None = None
        for role in roles:
            for kind, handler in role.event_handlers():
                self._handlers_by_event.setdefault(kind, []).append(handler)
            for kind, handler in role.message_handlers():
                self._handlers_by_message.setdefault(kind, []).append(handler)

    @property
    def is_idle(self) -> bool:
        """Whether no role has anything left to finish."""
        return all(role.is_idle for role in self.roles)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Return the effects of an event.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Seconds of a monotonic clock, read after the event was taken up, so
            that a pause of the process shows before the event is acted on.
        """
        pause = self._pause_before(now)
        if pause >= PAUSE_THRESHOLD:
            effects = self._dispatch(Woken(pause), now)
            return effects + self._dispatch(event, now)
        return self._dispatch(event, now)

    def _pause_before(self, now: float) -> float:
        last = self._last_now
        self._last_now = now
        return 0.0 if last is None else now - last

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        effects: list[Effect] = []
        pending = deque([event])
        while pending:
            for effect in self._effects_of(pending.popleft(), now):
                if type(effect) is Notify:
                    pending.append(effect.event)
                else:
                    effects.append(effect)
        return effects

    def _effects_of(self, event: Event, now: float) -> Iterable[Effect]:
        if type(event) is MessageReceived:
            message = event.message
            handlers = self._handlers_by_message.get(type(message))
            if handlers is None:
                return [Count("knapweedlead.messages.unhandled")]
            peer = event.peer
            return [e for handler in handlers for e in handler(peer, message, now)]
        handlers = self._handlers_by_event.get(type(event), [])
        return [effect for handler in handlers for effect in handler(event, now)]
