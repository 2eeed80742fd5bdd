"""What operators have declared, as far as this daemon knows."""

import attrs


@attrs.frozen
class OperatorState:
    """Declarations of operators as of a revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the newest change; 0 where nothing is known.
    configuration : bytes
        The newest configuration, encoded; empty where there is none.
    evacuated : frozenset of str
        Data centres that are out of service.
    """

    revision: int = 0
    configuration: bytes = b""
    evacuated: frozenset[str] = frozenset()
