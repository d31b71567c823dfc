"""One run of the soak test."""

import asyncio
import datetime
import pathlib
import signal

import attrs
import orjson

from soak import _deployment
from soak import _faults
from soak import _injection
from soak import _timeline
from standins import history
from tamarackhatch import clock

_CHECK_INTERVAL_S = 2.0
# Time in which all accepted jobs must end after the last fault: a takeover
# beside runners that do not answer takes 10.3 s, and then the work that has
# waited runs on ejected runners that are probed.
_RECOVERY_S = 60.0
# After the last job, the bounds of the last cancellations end.
_LAST_CHECKS_S = 5.0


class _Run:
    """A run in progress."""

    def __init__(
        self, target: _deployment.Deployment, folder: pathlib.Path
    ) -> None:
        self._target = target
        self._folder = folder
        self._time = asyncio.get_running_loop().time
        self._start = self._time()
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
        self._target.check_processes()
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
        """Injects the faults, lifts them, and waits until all jobs end."""
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
        await self._recover()

    async def _recover(self) -> None:
        self._write("all faults are lifted")
        since, quiet_s = self._time(), 0.0
        self._target.callers.stop()
        while self._target.callers.open_jobs and quiet_s < _RECOVERY_S:
            self.check()
            await asyncio.sleep(_CHECK_INTERVAL_S / 4)
            quiet_s = self._target.timeline.measure_quiet(
                {_timeline.MACHINE}, since, self._time()
            )
        await asyncio.sleep(_LAST_CHECKS_S)
        self._target.checks.report_unfinished()
        self.check()

    def summarise(self) -> None:
        """Writes all runs of tasks to the folder, and prints totals."""
        observed = self._target.fleet.history
        lines = [orjson.dumps(attrs.asdict(run)) for run in observed.runs]
        (self._folder / "runs.jsonl").write_bytes(b"\n".join(lines))
        elapsed_s = self._time() - self._start
        late_s = elapsed_s - self._target.timeline.measure_quiet(
            {_timeline.MACHINE}, self._start, self._time()
        )
        self._write(
            f"{len(self._found)} violations, {len(observed.accepted)} jobs, "
            f"{len(observed.completed)} completed, {len(observed.runs)} runs, "
            f"the machine was late for {late_s:.1f} s"
        )

    async def _inject(self, item: _faults.PlannedFault) -> None:
        await asyncio.sleep(item.start.total_seconds())
        leader = self._target.fleet.read_leader()
        self._write(f"{item.fault} begins, {leader} is active", False)
        await _injection.inject(item, self._target)
        self._write(f"{item.fault} has ended", False)

    def _write(self, text: str, is_printed: bool = True) -> None:
        now = self._time()
        utc = datetime.datetime.now(datetime.timezone.utc).isoformat()
        line = f"{now - self._start:6.2f} s ({now:.2f}) {text}"
        with (self._folder / "events.log").open("a") as log:
            log.write(f"{utc} {line}\n")
        if is_printed:
            print(line, flush=True)


async def run_seed(
    seed: int,
    schedule: tuple[_faults.PlannedFault, ...],
    folder: pathlib.Path,
    arguments: tuple[str, ...] = ("tamarackhatch",),
    is_brief: bool = False,
) -> list[history.Violation]:
    """Runs a schedule against real processes, and returns the violations.

    Args:
        seed: Seed of the callers.
        schedule: The faults.
        folder: Folder of settings and logs.
        arguments: Python module of the instances, and its arguments behind
            those of ``serve``.
        is_brief: Whether the first violation ends the run.
    """
    task = asyncio.current_task()
    assert task is not None
    # The processes are ended when this one is asked to end.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    timeline = _timeline.Timeline(clock.SystemClock())
    target = _deployment.Deployment(folder, seed, timeline, arguments)
    try:
        await target.open()
        run = _Run(target, folder)
        await run.play(schedule, is_brief)
        run.summarise()
        return run.violations
    finally:
        await target.close()
