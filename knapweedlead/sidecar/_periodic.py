"""Steps that the daemon repeats for as long as it runs."""

import asyncio
from collections.abc import Callable


class PeriodicSteps:
    """Repeats steps on the event loop; an exception costs one repetition of its step.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.
    on_fault : callable
        Called with the name of a step and the exception that it raised.

    Attributes
    ----------
    tasks : list of asyncio.Task
        One task for each step.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_fault: Callable[[str, Exception], None],
    ) -> None:
        self.clock = clock
        self.on_fault = on_fault
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
        await asyncio.sleep(delay)
        while True:
            try:
                step(self.clock())
            except Exception as error:
                self.on_fault(name, error)
            await asyncio.sleep(period)

    def cancel(self) -> None:
        """End all steps."""
        for task in self.tasks:
            task.cancel()
