"""Errors, most of them returned in ``result.Err`` rather than raised."""

import enum

import attrs


@attrs.frozen
class StepError:
    """A failed operation.

    Parameters
    ----------
    step : str
        Dotted name of the operation, such as ``"store.compare_and_swap"``.
    peer : str
        Address, file or resource name that the operation acted on.
    detail : str
        Description of the failure in one line.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.step} ({self.peer}): {self.detail}"


@attrs.frozen
class CodecError(StepError):
    """Bytes that can't be decoded into a known message."""


@attrs.frozen
class LinkError(StepError):
    """A link between two daemons failed or was refused."""


@attrs.frozen
class ResourceError(StepError):
    """A resource failed validation."""

    field: str = ""


@attrs.frozen
class SettingsError(StepError):
    """A setting that is missing, unknown, mistyped or out of range."""

    field: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Return one line with file, field, expected and actual value."""
        return (
            f"{self.peer}: field '{self.field}': "
            f"expected {self.expected}, found {self.found}"
        )


class StoreFault(enum.Enum):
    """Kind of failure of a call to the platform's store."""

    UNAVAILABLE = "unavailable"
    """The call did not reach the store, so it had no effect."""
    UNKNOWN_OUTCOME = "unknown_outcome"
    """The response was lost; a write may have taken effect."""
    CONFLICT = "conflict"
    """The key had a different revision, or the lease did not exist."""
    COMPACTED = "compacted"
    """A watch requested a revision that the store has compacted."""


@attrs.frozen
class StoreError(StepError):
    """A failed call to the platform's store."""

    fault: StoreFault


class ParameterError(ValueError):
    """A constructor parameter outside its declared constraint."""
