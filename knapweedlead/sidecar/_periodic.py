"""Steps that the daemon repeats for as long as it runs."""

import asyncio
from collections.abc import Callable

SLOW_STEP_TIME = 0.1
"""Seconds from which the duration or the delay of a repetition is reported. While a
step runs, the daemon handles no calls, probes or heartbeats."""


class PeriodicSteps:
    """Repeats steps on the event loop; an exception costs one repetition of its step.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.
    on_fault : callable
        Called with the name of a step and the exception that it raised.
    on_slow : callable
        Called with the name of a step, the seconds that a repetition took and the
        seconds by which it began late, if either is at least `SLOW_STEP_TIME`.

    Attributes
    ----------
    tasks : list of asyncio.Task
        One task for each step.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_fault: Callable[[str, Exception], None],
        on_slow: Callable[[str, float, float], None],
    ) -> None:
        self.clock = clock
        self.on_fault = on_fault
        self.on_slow = on_slow
        self.tasks: list[asyncio.Task[None]] = []

    def start(
        self,
        name: str,
        period: float,
        step: Callable[[float], None],
        delay: float = 0.0,
    ) -> None:
        """Repeat a step from now on.

        Parameters
        ----------
        name : str
        period : float
            Seconds between the repetitions.
        step : callable
            Called with the current time.
        delay : float
            Seconds until the first repetition.
        """
        repetition = self._repeat(name, period, step, delay)
        self.tasks.append(asyncio.ensure_future(repetition))

    async def _repeat(
        self, name: str, period: float, step: Callable[[float], None], delay: float
    ) -> None:
        due_at = self.clock() + delay
        await asyncio.sleep(delay)
        while True:
            started_at = self.clock()
            try:
                step(started_at)
            except Exception as error:
                self.on_fault(name, error)
            ended_at = self.clock()
            took, late = ended_at - started_at, started_at - due_at
            if max(took, late) >= SLOW_STEP_TIME:
                self.on_slow(name, took, late)
            due_at = ended_at + period
            await asyncio.sleep(period)

    def cancel(self) -> None:
        """End all steps."""
        for task in self.tasks:
            task.cancel()
