"""One run of the soak test."""

import asyncio
import datetime
import pathlib

import attrs
import orjson

from soak import _deployment
from soak import _faults
from soak import _injection
from soak import _timeline
from standins import history
from tamarackhatch import clock

_CHECK_INTERVAL_S = 2.0
# Time without machine lateness in which all accepted jobs must end after the
# last fault: a takeover beside runners that do not answer takes 10.3 s, and
# failing and ejected runners are probed for longer.
_RECOVERY_S = 60.0
# For so long a cancelled task may still run, and one more bound of it may end.
_LAST_CHECKS_S = 5.0


@attrs.frozen
class Result:
    """What a run found.

    Attributes:
        violations: Violations, in the order in which they were found.
        jobs: Number of jobs that may have been accepted.
        runs: Number of runs of tasks.
        faults: Number of faults injected.
        late_s: Seconds by which the machine was late in total.
    """

    violations: list[history.Violation]
    jobs: int
    runs: int
    faults: int
    late_s: float


class _Run:
    """A run in progress."""

    def __init__(
        self,
        target: _deployment.Deployment,
        timeline: _timeline.Timeline,
        folder: pathlib.Path,
    ) -> None:
        self._target = target
        self._timeline = timeline
        self._folder = folder
        self._start = asyncio.get_running_loop().time()
        self._found: dict[tuple[str, str], history.Violation] = {}

    @property
    def violations(self) -> list[history.Violation]:
        """Violations so far; one for each rule and subject."""
        return list(self._found.values())

    def check(self) -> bool:
        """Prints new violations, and returns whether there is any."""
        for item in self._target.fleet.runners:
            # Reading the property records the exits of runs that are over.
            _ = item.running
        for violation in self._target.checks.find_violations():
            key = (violation.rule, violation.task)
            if key not in self._found:
                self._found[key] = violation
                self._write(
                    f"VIOLATION {violation.rule} {violation.task}: "
                    f"{violation.detail}"
                )
        return bool(self._found)

    async def play(
        self, schedule: tuple[_faults.PlannedFault, ...], is_brief: bool
    ) -> None:
        """Injects the faults, lifts them, and waits until all jobs end.

        Args:
            schedule: The faults.
            is_brief: Whether the first violation ends the run.
        """
        tasks = [asyncio.create_task(self._inject(item)) for item in schedule]
        try:
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(
                    pending, timeout=_CHECK_INTERVAL_S
                )
                for task in done:
                    task.result()
                if self.check() and is_brief:
                    return
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self._recover(is_brief)

    async def _recover(self, is_brief: bool) -> None:
        callers, time = self._target.callers, asyncio.get_running_loop().time
        self._write("all faults are lifted")
        since = time()
        callers.stop()
        while callers.open_jobs and not (self.check() and is_brief):
            if (
                self._timeline.measure_quiet(
                    {_timeline.MACHINE}, since, time()
                )
                > _RECOVERY_S
            ):
                break
            await asyncio.sleep(_CHECK_INTERVAL_S / 4)
        else:
            await asyncio.sleep(0 if is_brief else _LAST_CHECKS_S)
        for job in self._target.checks.list_unfinished():
            self._target.checks.report(
                "LOST", job, f"not ended {_RECOVERY_S} s after the last fault"
            )
        self.check()

    def write_runs(self) -> None:
        """Writes all runs of tasks to the folder."""
        lines = [
            orjson.dumps(attrs.asdict(run))
            for run in self._target.fleet.history.runs
        ]
        (self._folder / "runs.jsonl").write_bytes(b"\n".join(lines))

    async def _inject(self, item: _faults.PlannedFault) -> None:
        await asyncio.sleep(item.start.total_seconds())
        leader = self._target.fleet.read_leader()
        self._write(f"{item.fault} begins, {leader} is active", False)
        await _injection.inject(
            item.fault, self._target, item.duration.total_seconds()
        )
        self._write(f"{item.fault} has ended", False)

    def _write(self, text: str, is_printed: bool = True) -> None:
        now = asyncio.get_running_loop().time()
        utc = datetime.datetime.now(datetime.timezone.utc)
        line = f"{now - self._start:6.2f} s ({now:.2f}) {text}"
        with (self._folder / "events.log").open("a") as log:
            log.write(f"{utc.isoformat()} {line}\n")
        if is_printed:
            print(line, flush=True)


async def run_seed(
    seed: int,
    schedule: tuple[_faults.PlannedFault, ...],
    folder: pathlib.Path,
    arguments: tuple[str, ...] = ("tamarackhatch",),
    is_brief: bool = False,
) -> Result:
    """Runs a schedule against real processes.

    Args:
        seed: Seed of the callers.
        schedule: The faults.
        folder: Folder of settings and logs.
        arguments: Python module of the instances, and its arguments behind
            those of ``serve``.
        is_brief: Whether the first violation ends the run.
    """
    timeline = _timeline.Timeline(clock.SystemClock())
    target = _deployment.Deployment(folder, seed, timeline, arguments)
    try:
        await target.open()
        run = _Run(target, timeline, folder)
        await run.play(schedule, is_brief)
        run.write_runs()
        return Result(
            run.violations,
            len(target.fleet.history.accepted),
            len(target.fleet.history.runs),
            len(schedule),
            timeline.measure_total(_timeline.MACHINE),
        )
    finally:
        await target.close()
