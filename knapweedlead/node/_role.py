"""Roles: the parts that a node composes."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from knapweedlead.node._effects import Effect
from knapweedlead.node._events import Event

F = TypeVar("F", bound=Callable[..., Any])

_EVENT_ATTRIBUTE = "_handled_event"
_MESSAGE_ATTRIBUTE = "_handled_message"


def handles(event_class: type[Event]) -> Callable[[F], F]:
    """Mark a method ``(self, event, now) -> Iterable[Effect]`` as a handler."""

    def decorate(method: F) -> F:
        setattr(method, _EVENT_ATTRIBUTE, event_class)
        return method

    return decorate


def handles_message(message_class: type) -> Callable[[F], F]:
    """Mark a method ``(self, peer, message, now) -> Iterable[Effect]``."""

    def decorate(method: F) -> F:
        setattr(method, _MESSAGE_ATTRIBUTE, message_class)
        return method

    return decorate


class Role:
    """Base of the parts of a node; subclasses mark their handlers.

    Handlers are plain synchronous code. They return effects, and read the time
    only from their ``now`` argument, in seconds of a monotonic clock.
    """

    @property
    def is_idle(self) -> bool:
        """Whether the role has nothing left to finish before the process ends."""
        return True

    def event_handlers(self) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        """Return the marked event handlers of this role."""
        return self._marked(_EVENT_ATTRIBUTE)

    def message_handlers(self) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        """Return the marked message handlers of this role."""
        return self._marked(_MESSAGE_ATTRIBUTE)

    def _marked(self, mark: str) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        names = sorted(
            name for name in dir(type(self)) if hasattr(getattr(type(self), name), mark)
        )
        methods = [getattr(self, name) for name in names]
        return [(getattr(method, mark), method) for method in methods]
