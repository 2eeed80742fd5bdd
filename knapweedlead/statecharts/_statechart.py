"""Interpreter for state charts in JSON files."""

import json
from importlib import resources
from typing import Self

import attrs

from knapweedlead.errors import ParameterError


@attrs.frozen
class Statechart:
    """States and the transitions between them.

    Parameters
    ----------
    initial : str
        Initial state.
    target_by_state_and_event : dict of (str, str) to str
        Next state for each state and accepted event.

    Examples
    --------
    >>> chart = Statechart("off", {("off", "press"): "on"})
    >>> chart.advance("off", "press")
    'on'
    >>> chart.advance("on", "press")
    'on'
    """

    initial: str
    target_by_state_and_event: dict[tuple[str, str], str]

    @classmethod
    def load(cls, package: str, name: str) -> Self:
        """Load the chart file `name` of `package`.

        Raises
        ------
        ParameterError
            If the initial state or the target of a transition is not declared.
        """
        text = resources.files(package).joinpath(name).read_text("utf-8")
        document = json.loads(text)
        states = document["states"]
        targets = {
            (state, event): target
            for state, transitions in states.items()
            for event, target in transitions.items()
        }
        unknown = set(targets.values()) - set(states)
        if unknown or document["initial"] not in states:
            raise ParameterError(f"{name}: undeclared states {sorted(unknown)}")
        return cls(document["initial"], targets)

    def accepts(self, state: str, event: str) -> bool:
        """Return whether `event` has a transition in `state`."""
        return (state, event) in self.target_by_state_and_event

    def advance(self, state: str, event: str) -> str:
        """Return the state after `event`; `state` itself if there is no transition."""
        return self.target_by_state_and_event.get((state, event), state)
