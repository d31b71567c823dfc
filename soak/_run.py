"""One run of the soak test."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import functools
import pathlib
import signal
import typing

import attrs
import orjson

from soak import _deployment
from soak import _faults
from soak import _injection
from soak import _timeline
from standins import history
from standins import repetitions

_CHECK_INTERVAL_S = 2.0
# The loop serves stand-ins and callers for this many times as long as a check
# of many runs takes.
_PAUSES_PER_CHECK = 20
# Time in which all accepted jobs must end after the last fault: a takeover
# beside runners that do not answer takes 10.3 s, and then the work that has
# waited runs on ejected runners that are probed.
_RECOVERY_S = 60.0
# After the last job, the bounds of the last cancellations end.
_LAST_CHECKS_S = 5.0


class Planned(typing.Protocol):
    """A fault with its time, counted from the start of the schedule."""

    @property
    def start(self) -> datetime.timedelta:
        """When it begins."""

    @property
    def fault(self) -> object:
        """The fault."""


_Planned = typing.TypeVar("_Planned", bound=Planned)
# Rule, subject and form.
_Key = tuple[str, str, repetitions.Form | None]


class Run(typing.Generic[_Planned]):
    """A run in progress, with one violation for each rule and subject."""

    def __init__(
        self,
        target: _deployment.Deployment,
        folder: pathlib.Path,
        inject: Callable[[_Planned], Awaitable[None]],
    ) -> None:
        """Creates a run.

        Args:
            target: The deployment.
            folder: Folder of its logs.
            inject: Carries out a fault.
        """
        self.found: dict[_Key, history.Violation] = {}
        self._suspected: set[_Key] = set()
        self._inject_fault = inject
        self._target = target
        self._folder = folder
        self._time = asyncio.get_running_loop().time
        self._start = self._time()
        self._last_check_s = 0.0

    async def play(self, schedule: Sequence[_Planned], is_brief: bool) -> None:
        """Injects the faults, lifts them, and waits until all jobs end."""
        pending = {asyncio.create_task(self._inject(it)) for it in schedule}
        try:
            while pending:
                timeout_s = max(_CHECK_INTERVAL_S, self._get_pause_s())
                done, pending = await asyncio.wait(pending, timeout=timeout_s)
                for task in done:
                    task.result()
                if self._check() and is_brief:
                    return
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        self.write("all faults are lifted")
        since = self._time()
        self._target.callers.stop()
        while self._target.callers.open_jobs:
            self._check()
            pause_s = max(_CHECK_INTERVAL_S / 4, self._get_pause_s())
            await asyncio.sleep(pause_s)
            if self._measure_timely(since) > _RECOVERY_S:
                break
        await asyncio.sleep(_LAST_CHECKS_S)
        self._target.checks.report_unfinished()
        self._check()
        await asyncio.sleep(_CHECK_INTERVAL_S / 4)
        self._check()

    def summarise(self) -> None:
        """Writes all runs of tasks to the folder, and prints totals."""
        observed = self._target.fleet.history
        lines = [orjson.dumps(attrs.asdict(run)) for run in observed.runs]
        (self._folder / "runs.jsonl").write_bytes(b"\n".join(lines))
        elapsed_s = self._time() - self._start
        late_s = elapsed_s - self._measure_timely(self._start)
        counts = collections.Counter(map(get_name, self.found.values()))
        by_name = [f"{name} {count}" for name, count in counts.items()]
        self.write(
            f"{len(self.found)} violations ({', '.join(by_name)}), "
            f"{len(observed.accepted)} jobs, "
            f"{len(observed.completed)} completed, {len(observed.runs)} runs, "
            f"the machine was late for {late_s:.1f} s"
        )

    def _get_pause_s(self) -> float:
        """Returns how long the loop should serve others after a check."""
        return _PAUSES_PER_CHECK * self._last_check_s

    def _check(self) -> bool:
        """Prints new violations, and returns whether any is conclusive.

        Only what is found twice counts, because the observations of runner
        processes may arrive out of order.
        """
        began = self._time()
        for item in self._target.fleet.runners:
            # Reading the property records the exits of runs that are over.
            _ = item.running
        self._target.check_processes()
        suspected, self._suspected = self._suspected, set()
        for violation in self._target.checks.find_violations():
            key = (violation.rule, violation.task, violation.form)
            self._suspected.add(key)
            if key not in suspected or key in self.found:
                continue
            if self.is_violation(violation):
                self.found[key] = violation
                text = f"{violation.task}: {violation.detail}"
                lines = [f"VIOLATION {get_name(violation)} {text}"]
                self.write("\n".join([*lines, *self.explain(violation)]))
        self._last_check_s = self._time() - began
        return bool(self.list_conclusive())

    def list_conclusive(self) -> list[history.Violation]:
        """Returns the violations that show a deliberate fault."""
        return list(self.found.values())

    def is_violation(self, found: history.Violation) -> bool:
        """Returns whether a finding counts."""
        return True

    def explain(self, violation: history.Violation) -> list[str]:
        """Returns further lines about a violation."""
        return []

    def _measure_timely(self, since: float) -> float:
        """Returns for how long the machine was not late."""
        scopes = {_timeline.MACHINE}
        return self._target.timeline.measure_quiet(scopes, since, self._time())

    async def _inject(self, item: _Planned) -> None:
        await asyncio.sleep(item.start.total_seconds())
        leader = self._target.fleet.read_leader()
        self.write(f"{item.fault} begins, {leader} is active", False)
        await self._inject_fault(item)
        self.write(f"{item.fault} has ended", False)

    def write(self, text: str, is_printed: bool = True) -> None:
        """Writes a line to the log of events, with its time."""
        now = self._time()
        utc = datetime.datetime.now(datetime.timezone.utc).isoformat()
        line = f"{now - self._start:6.2f} s ({now:.2f}) {text}"
        with (self._folder / "events.log").open("a") as log:
            log.write(f"{utc} {line}\n")
        if is_printed:
            print(line, flush=True)


def get_name(violation: history.Violation) -> str:
    """Returns the name of the rule, with the form in which it is broken."""
    if violation.form is None:
        return violation.rule
    return f"{violation.rule} ({violation.form.value})"


async def run_seed(
    seed: int,
    schedule: tuple[_faults.PlannedFault, ...],
    folder: pathlib.Path,
    deliberate: str | None = None,
) -> list[history.Violation]:
    """Runs a schedule against real processes, and returns the violations.

    Args:
        seed: Seed of the callers.
        schedule: The faults.
        folder: Folder of settings and logs.
        deliberate: Name of a deliberate fault; the first violation then ends
            the run.
    """
    task = asyncio.current_task()
    assert task is not None
    # The processes are ended when this one is asked to end.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    target = _deployment.Deployment(folder, seed, deliberate)
    try:
        await target.open()
        inject = functools.partial(_injection.inject, target=target)
        run: Run[_faults.PlannedFault] = Run(target, folder, inject)
        await run.play(schedule, deliberate is not None)
        run.summarise()
        return list(run.found.values())
    finally:
        await target.close()
