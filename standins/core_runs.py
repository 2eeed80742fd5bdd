"""Execution of requests on simulated backend servers, with their child calls."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from knapweedlead.node import Event, RunAnswered, RunFailed, RunOnBackendServer
from standins.core_types import CallerReply, Core, RunningRequest

if TYPE_CHECKING:
    from standins.cores import Cores


class CoreRuns:
    """Runs requests on the simulated clock of the cores.

    Parameters
    ----------
    cores : Cores
        Simulation that runs the child calls.
    """

    def __init__(self, cores: "Cores") -> None:
        self.cores = cores

    def run(self, core: Core, effect: RunOnBackendServer) -> None:
        """Start a request, or queue it until a slot is free."""
        fake = core.backend_server
        request = RunningRequest(
            effect.run, effect.path, effect.headers, self.cores.now
        )
        fake.journal.append(request)
        if len(fake.running_by_run) < fake.slots:
            self._begin(core, request)
        else:
            fake.waiting.append(request)

    def _begin(self, core: Core, request: RunningRequest) -> None:
        fake = core.backend_server
        request.started_at = self.cores.now
        fake.running_by_run[request.run] = request
        fake.most_running = max(fake.most_running, len(fake.running_by_run))
        composition = core.composition

        def work_done() -> None:
            if core.composition is composition and not request.is_cancelled:
                self._call_children(core, request, list(fake.child_paths))

        self.cores.at(self.cores.now + fake.work_s(request, self.cores.now), work_done)

    def _call_children(
        self, core: Core, request: RunningRequest, paths: list[str]
    ) -> None:
        if request.is_cancelled or not core.is_up:
            return
        fake = core.backend_server
        if not paths:
            self._end(core, request, fake.status_of(request))
            return
        group, rest = (paths, []) if fake.is_parallel else (paths[:1], paths[1:])
        statuses: list[int] = []

        def on_status(status: int) -> None:
            statuses.append(status)
            if len(statuses) < len(group):
                return
            if all(status == 200 for status in statuses):
                self._call_children(core, request, rest)
            else:
                self._end(core, request, fake.child_failure_status)

        for path in group:
            self._call_child(core, request, path, fake.child_retries, on_status)

    def _call_child(
        self,
        core: Core,
        request: RunningRequest,
        path: str,
        repeats: int,
        on_status: Callable[[int], None],
    ) -> None:
        def replied(reply: CallerReply) -> None:
            if reply.status == 200 or not repeats or request.is_cancelled:
                on_status(reply.status or 0)
            else:
                self._call_child(core, request, path, repeats - 1, on_status)

        self.cores.call(core.name, path, dict(request.headers), on_reply=replied)

    def _end(self, core: Core, request: RunningRequest, status: int) -> None:
        if request.is_cancelled:
            return
        self._remove(core, request)
        if status:
            event: Event = RunAnswered(request.run, status, {}, request.path.encode())
        else:
            event = RunFailed(request.run, was_sent=True, detail="connection lost")
        self.cores.report(core, event)

    def cancel(self, core: Core, run: int) -> None:
        """Cancel a running or queued request and report its failure."""
        fake = core.backend_server
        waiting = [request for request in fake.waiting if request.run == run]
        request = fake.running_by_run.get(run) or next(iter(waiting), None)
        if request is None:
            return
        request.is_cancelled = True
        self._remove(core, request)
        failed = RunFailed(run, was_sent=True, detail="cancelled")
        self.cores.at(self.cores.now, self.cores.reporting(core, failed))

    def _remove(self, core: Core, request: RunningRequest) -> None:
        fake = core.backend_server
        fake.running_by_run.pop(request.run, None)
        if request in fake.waiting:
            fake.waiting.remove(request)
        if fake.waiting and len(fake.running_by_run) < fake.slots:
            self._begin(core, fake.waiting.pop(0))
