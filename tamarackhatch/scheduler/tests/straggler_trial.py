"""A fleet whose runners proceed at speeds that a test sets."""

import asyncio
import datetime
import pathlib
import typing

import attrs
import orjson

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
RESTORE = 250 * _MS
WORK_S = 2.7
STEP = model.Step(
    20,
    model.Resources(1800, 500),
    estimate=2700 * _MS,
    is_checkpointing=True,
    is_best_effort=True,
    image="best-effort",
)


class SilencedRunner(runner.RunnerStandIn):
    """Is cut off as soon as a stop arrives, and does not carry it out."""

    faults: network.Faults | None = None

    def _stop(self, body: network.Body) -> network.Response:
        if self.faults is None:
            return super()._stop(body)
        self.faults.unreachable_from.add("*")
        raise network.BrokenConnectionError


class ViolatedRunner(runner.RunnerStandIn):
    """Lists serving tasks over their target, and obeys speed limits."""

    def _list_run(self, run: runner.Run) -> list[typing.Any]:
        if run.task.startswith("01."):
            return [run.task, run.run, "", 100, 60]
        return super()._list_run(run)


class Trial:
    """A fleet on which a step of best-effort tasks runs.

    Attributes:
        fleet: The fleet.
    """

    def __init__(
        self,
        log_path: pathlib.Path,
        speeds: list[float],
        restore: datetime.timedelta | None = RESTORE,
        work_s: dict[str, float] | None = None,
    ) -> None:
        self._log_path = log_path
        self._works = work_s or {}
        self.fleet = standin_fleet.VirtualFleet(
            runners=0, log_path=str(log_path)
        )
        self.fleet.bounds = attrs.evolve(
            self.fleet.bounds,
            restore=restore,
            stop_timeout=400 * _MS,
            checkpoint_interval=500 * _MS,
        )
        for index, speed in enumerate(speeds):
            self.add_runner(SilencedRunner, index, speed)

    def add_runner(
        self, kind: type[runner.RunnerStandIn], index: int, speed: float = 1.0
    ) -> None:
        """Adds a runner whose runs proceed at a share of their full speed."""
        added = kind(
            f"i-{index}",
            f"10.1.0.{index + 1}:8000",
            standin_fleet.SERVICE,
            lambda task, run: (self._works.get(task, WORK_S), "done"),
            self.fleet.history,
        )
        added.checkpoint_interval_s = 0.5
        added.restore_s = RESTORE.total_seconds()
        added.speed = speed
        self.fleet.adopt_runner(added)

    async def start(self, *instances: str) -> None:
        """Starts instances and waits until the fleet is in use."""
        for name in instances or ("a",):
            self.fleet.start_instance(name)
        await self.fleet.wait_until(
            lambda: self.fleet.get_leader() is not None
        )
        # A new scheduler moves nothing for three seconds.
        await asyncio.sleep(4)

    async def run_job(self, step: model.Step = STEP) -> float:
        """Runs a step and returns the seconds until its last run exits."""
        began = asyncio.get_running_loop().time()
        await self.fleet.submit("00", step)
        await self.fleet.wait_for_state("00", model.JobState.COMPLETED, 120)
        return max(run.exited or 0 for run in self.fleet.history.runs) - began

    async def wait_for_move(self) -> None:
        """Waits until the scheduler has decided on a move."""
        await self.fleet.wait_until(lambda: bool(self.list_moves()))

    def list_moves(self) -> list[dict[str, object]]:
        """Returns the log lines of all moves so far."""
        lines = self._log_path.read_bytes().splitlines()
        return [
            orjson.loads(line) for line in lines if b"straggler_moved" in line
        ]

    def get_metric(self, name: str) -> float:
        """Returns the sum of a metric over all labels and instances."""
        total = 0.0
        for instance in self.fleet.instances.values():
            for line in instance.metrics.render().decode().splitlines():
                if line.partition("{")[0].partition(" ")[0] == name:
                    total += float(line.split()[-1])
        return total
