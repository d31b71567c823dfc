"""Workers in memory that check every order on their own account."""

import asyncio
import datetime
import enum

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform


class Fault(enum.Enum):
    """How a worker answers."""

    CUT_OFF = "cut off"
    LOST_ANSWER = "lost answer"
    LOST_REQUEST = "lost request"


class Run:
    """One attempt on one worker."""

    def __init__(
        self, order: platform.StartTask, started_at: datetime.datetime
    ) -> None:
        self.order = order
        self.started_at = started_at
        self.lease_until = order.lease_until
        self.state = platform.ReportedState.RUNNING
        self.checkpoint = order.checkpoint
        self.percent = 100


class FakeFleet:
    """Implements platform.WorkerClient; an address is a worker's name.

    A command is the run time in seconds, or "fail".
    """

    def __init__(
        self, time: clock.Clock, capacities: dict[str, model.Resources]
    ) -> None:
        self._clock = time
        self._capacities = dict(capacities)
        self._epochs = dict.fromkeys(capacities, 0)
        self._attempts: dict[model.TaskId, list[tuple[int, str]]] = {}
        self.runs: dict[str, dict[model.TaskId, Run]] = {
            name: {} for name in capacities
        }
        self.faults: dict[str, Fault] = {}
        self.failing: set[str] = set()
        self.violations: list[str] = []
        self.starts: list[tuple[str, platform.StartTask]] = []
        self.started_at: dict[tuple[model.TaskId, int], datetime.datetime] = {}
        self.usage_lag = datetime.timedelta(seconds=2)

    def restart(self, worker: str) -> None:
        """Ends and forgets all attempts."""
        self.runs[worker].clear()

    def list_running(self, worker: str | None = None) -> list[model.TaskId]:
        """Returns the tasks that run now, on one worker or on all."""
        names = [worker] if worker else sorted(self.runs)
        for name in names:
            self._advance(name)
        return sorted(
            task
            for name in names
            for task, run in self.runs[name].items()
            if run.state is platform.ReportedState.RUNNING
        )

    async def start_task(
        self, address: str, epoch: int, order: platform.StartTask
    ) -> None:
        fault = await self._enter(address, epoch)
        known = self.runs[address].get(order.task)
        if known is not None and known.order.attempt >= order.attempt:
            if known.order.attempt > order.attempt:
                raise platform.WorkerRefusedError("older attempt")
            return
        if order.lease_until <= self._clock.get_utc():
            raise platform.WorkerRefusedError("lease has passed")
        self._check_start(address, order)
        run = Run(order, self._clock.get_utc())
        if address in self.failing or order.command == "fail":
            run.state = platform.ReportedState.FAILED
        self.runs[address][order.task] = run
        self.starts.append((address, order))
        self.started_at[order.task, order.attempt] = run.started_at
        self._leave(fault)

    async def renew_leases(
        self,
        address: str,
        epoch: int,
        tasks: tuple[model.TaskId, ...],
        lease_until: datetime.datetime,
    ) -> tuple[model.TaskId, ...]:
        fault = await self._enter(address, epoch)
        renewed = []
        for task in tasks:
            run = self.runs[address].get(task)
            if run and run.state is platform.ReportedState.RUNNING:
                run.lease_until = max(run.lease_until, lease_until)
                renewed.append(task)
        self._leave(fault)
        return tuple(renewed)

    async def throttle_task(
        self, address: str, epoch: int, task: model.TaskId, percent: int
    ) -> None:
        fault = await self._enter(address, epoch)
        self._get_run(address, task).percent = percent
        self._leave(fault)

    async def checkpoint_task(
        self, address: str, epoch: int, task: model.TaskId
    ) -> str:
        fault = await self._enter(address, epoch)
        run = self._get_run(address, task)
        if run.state is not platform.ReportedState.RUNNING:
            raise platform.WorkerRefusedError("not running")
        run.checkpoint = f"{task}#{run.order.attempt}"
        self._leave(fault)
        return run.checkpoint

    async def stop_task(
        self, address: str, epoch: int, task: model.TaskId
    ) -> platform.ReportedTask:
        fault = await self._enter(address, epoch)
        run = self._get_run(address, task)
        if run.state is platform.ReportedState.RUNNING:
            run.state = platform.ReportedState.STOPPED
        self._leave(fault)
        return self._report(run)

    async def list_tasks(
        self, address: str, epoch: int
    ) -> tuple[platform.ReportedTask, ...]:
        fault = await self._enter(address, epoch)
        self._leave(fault)
        return tuple(self._report(run) for run in self.runs[address].values())

    async def read_usage(self, address: str) -> platform.UsageReport:
        await self._enter(address, self._epochs[address])
        return platform.UsageReport(
            self._clock.get_utc() - self.usage_lag,
            tuple(
                platform.TaskUsage(
                    task,
                    run.order.resources.processors * run.percent // 100,
                    1,
                )
                for task, run in self.runs[address].items()
                if run.state is platform.ReportedState.RUNNING
            ),
        )

    async def _enter(self, worker: str, epoch: int) -> Fault | None:
        await asyncio.sleep(0)
        fault = self.faults.get(worker)
        if fault is Fault.CUT_OFF:
            raise platform.WorkerUnavailableError("cut off")
        if fault is Fault.LOST_REQUEST:
            raise platform.WorkerOutcomeUnknownError("request lost")
        if epoch < self._epochs[worker]:
            raise platform.WorkerRefusedError("older epoch")
        self._epochs[worker] = epoch
        self._advance(worker)
        return fault

    def _leave(self, fault: Fault | None) -> None:
        if fault is Fault.LOST_ANSWER:
            raise platform.WorkerOutcomeUnknownError("answer lost")

    def _advance(self, worker: str) -> None:
        """Applies what happened by the worker's own clock."""
        now = self._clock.get_utc()
        for run in self.runs[worker].values():
            if run.state is not platform.ReportedState.RUNNING:
                continue
            if run.order.command.isdigit():
                duration = datetime.timedelta(seconds=int(run.order.command))
                end = run.started_at + duration
                if end <= min(now, run.lease_until):
                    run.state = platform.ReportedState.FINISHED
                    continue
            if run.lease_until <= now:
                run.state = platform.ReportedState.LAPSED

    def _check_start(self, worker: str, order: platform.StartTask) -> None:
        for name in self.runs:
            self._advance(name)
        used = order.resources
        for name, runs in self.runs.items():
            for task, run in runs.items():
                if run.state is not platform.ReportedState.RUNNING:
                    continue
                if task == order.task:
                    self.violations.append(f"{task} runs twice: {name}")
                if name == worker:
                    used = used + run.order.resources
        if not used.fits_in(self._capacities[worker]):
            self.violations.append(f"{worker} over-committed: {used}")
        history = self._attempts.setdefault(order.task, [])
        for attempt, place in history:
            if attempt >= order.attempt and place != worker:
                self.violations.append(f"{order.task}: old token {order}")
        history.append((order.attempt, worker))

    def _get_run(self, worker: str, task: model.TaskId) -> Run:
        run = self.runs[worker].get(task)
        if run is None:
            raise platform.WorkerRefusedError("unknown task")
        return run

    def _report(self, run: Run) -> platform.ReportedTask:
        return platform.ReportedTask(
            run.order.task, run.order.attempt, run.state, run.checkpoint
        )
