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
from soak import rota

# Seeds that broke a rule with the default duration, with the cause and the
# commit that mended it. They stand for the same schedules only as long as
# `soak._schedule` and the callers draw the same random numbers in order.
REGRESSIONS: dict[int, str] = {}


@cappa.command(name="soak", help="Runs seeded schedules of random faults.")
@attrs.frozen
class Soak:
    """Runs seeds (or the regression seeds) of so many seconds of faults.

    The exit code is 1 if any breaks a rule. With ``deliberate``, the name of
    a fault of `soak.tests.faulty`, the first violation ends the command, and
    the exit code is 1 if there is none. The profile "rota" plays deployment
    brindle-rota, "cuts" the same with cuts of runners as the only troubles,
    and "recuts" runners that restart and are cut off soon after; ``program``
    is the folder whose modules its instances run.
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 45.0
    regressions: typing.Annotated[bool, cappa.Arg(long=True)] = False
    deliberate: typing.Annotated[str | None, cappa.Arg(long=True)] = None
    profile: typing.Annotated[
        typing.Literal["soak", "rota", "cuts", "recuts"], cappa.Arg(long=True)
    ] = "soak"
    program: typing.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None

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
        print(f"seed {seed}, logs in {folder}")
        if self.profile != "soak":
            play = rota.run_seed(
                seed,
                duration,
                folder,
                self.deliberate,
                self.program,
                rota.Profile(self.profile),
            )
            violations = asyncio.run(play)
        else:
            schedule = soak.make_schedule(seed, duration)
            print(*schedule, sep="\n")
            run = soak.run_seed(seed, schedule, folder, self.deliberate)
            violations = asyncio.run(run)
        if not violations:
            shutil.rmtree(folder)
        return bool(violations)


if __name__ == "__main__":
    cappa.invoke(Soak)
