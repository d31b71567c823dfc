"""One play of deployment brindle-rota."""

import asyncio
import collections
import datetime
import functools
import pathlib
import resource
import signal

from soak import _run
from soak.rota import _calls
from soak.rota import _deployment
from soak.rota import _events
from soak.rota import _injection
from soak.rota import _options
from soak.rota import _schedule
from soak.rota import _traffic
from soak.rota import _troubles
from standins import history
from standins import repetitions


class _Play(_run.Run[_troubles.PlannedTrouble]):
    """A play in progress, which tells what a violation has to do with."""

    def __init__(
        self, target: _deployment.RotaDeployment, folder: pathlib.Path
    ) -> None:
        inject = functools.partial(_injection.inject, target=target)
        super().__init__(target, folder, inject)
        self._rota = target
        self._causes: collections.Counter[str] = collections.Counter()

    def summarise(self) -> None:
        super().summarise()
        for name, count in sorted(self._causes.items()):
            self.write(f"{count} of {name}")

    def is_violation(self, found: history.Violation) -> bool:
        # Run numbers show in which order commands were sent. One that is
        # carried out late is repeated on an incarnation that does not know it.
        # The form with a time bound does not hold for such a start either.
        is_excused = (
            found.rule == "NUMBER"
            or found.form is repetitions.Form.AFTER_NOTICE
        )
        return not is_excused or (
            _events.find_cause(*self._list_runs(found.task))
            is _events.Cause.NOT_LATE
        )

    def explain(self, violation: history.Violation) -> list[str]:
        runs, starts = self._list_runs(violation.task)
        cause = _events.find_cause(runs, starts).value
        self._causes[f"{_run.get_name(violation)} {cause}"] += 1
        late_calls = [
            call
            for machine in self._rota.machines
            for call in machine.proxy.late_calls
        ]
        lines = _events.describe(
            violation.task, runs, starts, late_calls, self._rota.events
        )
        return [f"  {cause}", *lines]

    def _list_runs(
        self, task: str
    ) -> tuple[list[history.RunRecord], list[_calls.Call]]:
        """Returns the runs of a task, and the start commands for it."""
        runs = [it for it in self._rota.fleet.history.runs if it.task == task]
        starts = [
            start
            for machine in self._rota.machines
            for start in machine.proxy.starts
            if start.task == task
        ]
        starts.sort(key=lambda start: start.received)
        return runs, starts


async def run_seed(
    seed: int,
    duration: datetime.timedelta,
    folder: pathlib.Path,
    deliberate: str | None = None,
    program: pathlib.Path | None = None,
    profile: _schedule.Profile = _schedule.Profile.ROTA,
) -> list[history.Violation]:
    """Plays a seed with real processes, and returns the violations.

    Args:
        seed: Seed of the jobs, the troubles and the links.
        duration: How long jobs and troubles begin.
        folder: Folder of settings and logs.
        deliberate: Name of a deliberate fault; the first violation then ends
            the play.
        program: Folder whose modules the instances run.
        profile: Kind of the schedule; RECUTS has the lease bounds of
            bazar-zholy and longer tasks.
    """
    schedule = _schedule.make_schedule(seed, duration, profile)
    is_recut = profile is _schedule.Profile.RECUTS
    print(*schedule, sep="\n")
    bursts = [
        _traffic.Burst(
            _traffic.ROSTER_BUILD,
            item.start.total_seconds(),
            (item.start + item.duration).total_seconds(),
            item.fault.factor,
        )
        for item in schedule
        if isinstance(item.fault, _troubles.Burst)
    ]
    arrivals = _traffic.draw_arrivals(
        seed,
        duration,
        bursts,
        _traffic.LONG_KINDS if is_recut else _traffic.KINDS,
    )
    task = asyncio.current_task()
    assert task is not None
    # The processes are ended when this one is asked to end.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    target = _deployment.RotaDeployment(
        folder,
        seed,
        deliberate,
        arrivals,
        program,
        _options.BAZAR_ZHOLY if is_recut else _options.BRINDLE_ROTA,
    )
    try:
        await target.open()
        play = _Play(target, folder)
        await play.play(schedule, deliberate is not None)
        play.summarise()
        if deliberate is not None:
            return play.list_conclusive()
        return list(play.found.values())
    finally:
        await target.close()
        _print_processor_time()


def _print_processor_time() -> None:
    own, children = (
        resource.getrusage(who)
        for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    )
    print(
        f"processor time so far: {own.ru_utime + own.ru_stime:.0f} s for "
        f"stand-ins and callers, "
        f"{children.ru_utime + children.ru_stime:.0f} s for processes"
    )
