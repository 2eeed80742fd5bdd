"""Base class of the roles of a node, and decorators for their handlers."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from knapweedlead.node._effects import Effect
from knapweedlead.node._events import Event

F = TypeVar("F", bound=Callable[..., Any])

_EVENT_ATTRIBUTE = "_handled_event"
_MESSAGE_ATTRIBUTE = "_handled_message"


def handles(event_class: type[Event]) -> Callable[[F], F]:
    """Register a method ``(self, event, now) -> Iterable[Effect]`` for an event."""

    def decorate(method: F) -> F:
        setattr(method, _EVENT_ATTRIBUTE, event_class)
        return method

    return decorate


def handles_message(message_class: type) -> Callable[[F], F]:
    """Register a method ``(self, peer, message, now) -> Iterable[Effect]``."""

    def decorate(method: F) -> F:
        setattr(method, _MESSAGE_ATTRIBUTE, message_class)
        return method

    return decorate


class Role:
    """Base class of the roles that make up a node.

    Subclasses register handlers with `handles` and `handles_message`. Handlers are
    synchronous, return effects, and take the time only from their ``now`` argument,
    in seconds of a monotonic clock. The handlers of one role run in alphabetical
    order of their method names.
    """

    @property
    def is_idle(self) -> bool:
        """Whether the role has no work to finish before the process may exit."""
        return True

    def event_handlers(self) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        """Return pairs of event class and bound handler."""
        return self._marked_methods(_EVENT_ATTRIBUTE)

    def message_handlers(self) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        """Return pairs of message class and bound handler."""
        return self._marked_methods(_MESSAGE_ATTRIBUTE)

    def _marked_methods(
        self, mark: str
    ) -> list[tuple[type, Callable[..., Iterable[Effect]]]]:
        names = sorted(
            name for name in dir(type(self)) if hasattr(getattr(type(self), name), mark)
        )
        methods = [getattr(self, name) for name in names]
        return [(getattr(method, mark), method) for method in methods]
