"""Problem documents of the operator API."""

from typing import Any

TYPE_PREFIX = "urn:knapweedlead:operator:"


class OperatorProblemError(Exception):
    """A request that the API refuses, or that the node does not answer in time."""

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail

    @property
    def document(self) -> dict[str, Any]:
        """RFC 9457 problem document."""
        return {
            "type": TYPE_PREFIX + self.reason,
            "title": self.reason.replace("_", " "),
            "status": self.status,
            "reason": self.reason,
            "detail": self.detail,
        }


def problem(status: int, reason: str, detail: str) -> OperatorProblemError:
    """Return an error for the caller to raise."""
    return OperatorProblemError(status, reason, detail)
