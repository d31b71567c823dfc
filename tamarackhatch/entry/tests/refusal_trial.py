"""Instances of which some refuse all new jobs, in virtual time."""

import asyncio
import datetime

import attrs

from tamarackhatch.entry.tests import fleet as entry_fleet
from tamarackhatch import model
from tamarackhatch import records

_S = datetime.timedelta(seconds=1)
QUEUE = attrs.evolve(entry_fleet.QUEUE, target_latency=0.5 * _S)
_TASK = model.Resources(100, 10)
_STEP = model.Step(1, _TASK, _S)
_WORK = (model.WorkPoint(100, 2_000_000),)
_WAITS = (
    model.WaitSummary(
        "office",
        False,
        100_000,
        model.Resources(),
        (model.BlockedTask(_TASK),),
        (model.WaitLevel(0, 0, 2_000_000, _WORK, _WORK),),
    ),
)
JOB = "00000000000000aa"


class Trial:
    """Instances of which some refuse all new jobs.

    Attributes:
        fleet: The instances.
    """

    def __init__(
        self, *names: str, has_internal_addresses: bool = False
    ) -> None:
        self.fleet = entry_fleet.EntryFleet(
            *names, has_internal_addresses=has_internal_addresses
        )
        self._overloaded: set[str] = set()
        self._task = asyncio.create_task(self._report_waits())
        for instance in self.fleet.instances.values():
            instance.configuration.configuration = model.Configuration(
                1, (QUEUE,)
            )

    async def start(self, *overloaded: str) -> None:
        """Waits until the given instances refuse new jobs."""
        self._overloaded.update(overloaded)
        await asyncio.sleep(2)

    async def end_overload(self) -> None:
        """Waits until no instance refuses new jobs."""
        self._overloaded.clear()
        await asyncio.sleep(2)

    async def submit(self, name: str, job: str = JOB) -> model.JobLookup:
        """Submits the job at an instance, as a caller does."""
        return await self.fleet.instances[name].service.submit(
            self.make_job(job), entry_fleet.TIMEOUT
        )

    def make_job(self, job: str = JOB) -> model.Job:
        """Returns the job as it is submitted now."""
        now = self.fleet.clock.get_utc()
        return model.Job(job, QUEUE, "w", (_STEP,), now)

    def read_refusal(self, job: str = JOB) -> records.Refusal | None:
        """Returns the stored refusal of the job, or None."""
        value = self.fleet.read_row(records.get_refusal_ref(job))
        return None if value is None else records.decode_refusal(value)

    def is_stored(self, job: str = JOB) -> bool:
        """Returns whether the job is stored."""
        return self.fleet.read_job(job) is not None

    async def _report_waits(self) -> None:
        while True:
            await asyncio.sleep(0.7)
            now = self.fleet.clock.get_monotonic()
            for name, instance in self.fleet.instances.items():
                waits = _WAITS if name in self._overloaded else ()
                instance.figures.record_heartbeat(1, waits, now)
