"""Runs the soak test: ``python -m soak --seed 1 --seconds 45``."""

import asyncio
import datetime
import pathlib
import shutil
import tempfile
import typing

import attrs
import cappa

import soak

# Seeds that broke a rule with the default duration, with the cause and the
# commit that mended it. They stand for the same schedules only as long as
# `soak._schedule` and the callers draw the same random numbers in order.
REGRESSIONS: dict[int, str] = {}


@cappa.command(name="soak", help="Runs seeded schedules of random faults.")
@attrs.frozen
class Soak:
    """Runs one seed after the other; the exit code is 1 if any breaks a rule.

    Attributes:
        seed: The first seed.
        seeds: Number of seeds.
        seconds: Seconds in which faults are injected.
        regressions: Whether to run the regression seeds instead.
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
        seeds = list(range(self.seed, self.seed + self.seeds))
        failed = []
        for seed in list(REGRESSIONS) if self.regressions else seeds:
            if self._find_violations(seed):
                failed.append(seed)
                if self.deliberate:
                    break
        print(f"seeds with violations: {failed}")
        if bool(failed) != bool(self.deliberate):
            raise cappa.Exit(code=1)

    def _find_violations(self, seed: int) -> bool:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        duration = datetime.timedelta(seconds=self.seconds)
        schedule = soak.make_schedule(seed, duration)
        print(f"seed {seed}, logs in {folder}", *schedule, sep="\n")
        arguments: tuple[str, ...] = ("tamarackhatch",)
        if self.deliberate:
            arguments = ("soak.tests.faulty", self.deliberate)
        violations = asyncio.run(
            soak.run_seed(
                seed, schedule, folder, arguments, bool(self.deliberate)
            )
        )
        if not violations:
            shutil.rmtree(folder)
        return bool(violations)


if __name__ == "__main__":
    cappa.invoke(Soak)
