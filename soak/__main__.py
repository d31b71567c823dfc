"""Runs the soak test: ``python -m soak --seed 1 --seconds 60``."""

import asyncio
import datetime
import pathlib
import shutil
import sys
import tempfile
import typing

import attrs
import cappa

from soak import _regressions
from soak import _run
from soak import _schedule

_FAULTY_MODULE = "soak.tests.faulty"


@cappa.command(name="soak", help="Runs seeded schedules of random faults.")
@attrs.frozen
class Soak:
    """Runs one seed after the other, and returns 1 if any breaks a rule.

    Attributes:
        seed: The first seed.
        seeds: Number of seeds.
        seconds: Seconds in which faults are injected.
        regressions: Runs the listed regression seeds instead.
        deliberate: Name of a deliberate fault of `soak.tests.faulty`. The
            first violation ends the command, with exit code 0.
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 45.0
    regressions: typing.Annotated[bool, cappa.Arg(long=True)] = False
    deliberate: typing.Annotated[str | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Runs the seeds."""
        runs = [
            (seed, self.seconds)
            for seed in range(self.seed, self.seed + self.seeds)
        ]
        if self.regressions:
            runs = [
                (item.seed, item.seconds) for item in _regressions.REGRESSIONS
            ]
        failed = []
        for seed, seconds in runs:
            if _run_one(seed, seconds, self.deliberate):
                failed.append(seed)
                if self.deliberate:
                    break
        print(f"{len(runs)} seeds, failed: {failed}")
        if bool(failed) != bool(self.deliberate):
            raise cappa.Exit(code=1)


def _run_one(seed: int, seconds: float, deliberate: str | None) -> bool:
    """Runs a seed, and returns whether it broke a rule."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    schedule = _schedule.make_schedule(
        seed, datetime.timedelta(seconds=seconds)
    )
    print(f"seed {seed}, logs in {folder}")
    for item in schedule:
        print(f"  {item}")
    arguments: tuple[str, ...] = ("tamarackhatch",)
    if deliberate:
        arguments = (_FAULTY_MODULE, deliberate)
    result = asyncio.run(
        _run.run_seed(seed, schedule, folder, arguments, bool(deliberate))
    )
    print(
        f"seed {seed}: {len(result.violations)} violations, "
        f"{result.faults} faults, {result.jobs} jobs, {result.runs} runs, "
        f"machine late for {result.late_s:.1f} s in total",
        flush=True,
    )
    if not result.violations:
        shutil.rmtree(folder)
    return bool(result.violations)


if __name__ == "__main__":
    sys.exit(cappa.invoke(Soak))
