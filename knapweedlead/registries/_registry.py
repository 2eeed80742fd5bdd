"""Registry of interchangeable classes by name."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from knapweedlead.errors import ParameterError

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to classes registered with the `register` decorator.

    Parameters
    ----------
    family : str
        Kind of the registered classes for error messages, such as ``"limiter"``.

    Examples
    --------
    >>> registry = Registry("greeter")
    >>> @registry.register("plain")
    ... class Plain:
    ...     pass
    >>> sorted(registry.by_name)
    ['plain']
    """

    def __init__(self, family: str) -> None:
        self.family = family
        self.by_name: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a decorator that registers a class as `name`.

        Raises
        ------
        ParameterError
            When decorating, if `name` is already registered.
        """

        def decorate(cls: type[T]) -> type[T]:
            if name in self.by_name:
                raise ParameterError(f"{self.family} '{name}' is registered twice")
            self.by_name[name] = cls
            return cls

        return decorate

    def create(self, name: str, **parameters: Any) -> T:
        """Return a new instance of the class registered under `name`.

        Raises
        ------
        ParameterError
            If no class is registered under `name`.
        """
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise ParameterError(
                f"{self.family}: expected one of {known}, got '{name}'"
            )
        return self.by_name[name](**parameters)
