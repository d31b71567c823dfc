"""Measures placement on an in-memory table service.

For several fleet sizes it prints the placements per second of one
dispatcher, transactions for each placed task, the processor time spent, and
the size of the rows. The arguments are numbers of workers.
"""

import asyncio
import datetime
import json
import sys
import time
import zlib

from absl import logging
import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import testing

_SIZES = (100, 500, 2000)
# Tasks running for each worker at the size to design for: 26,000 on 2,000.
_TASKS_PER_WORKER = 13
_TASKS_PER_JOB = 100
_TEAMS = 25
_IDLE_PASSES = 20
_MACHINE = model.Resources(64000, 250_000, 2)
_NEED = model.Resources(4000, 16_000, 0)


@attrs.frozen
class Measurement:
    """Result for one fleet size."""

    workers: int
    placed: int
    seconds: float
    transactions: int
    reads: int
    scans: int
    idle_seconds: float
    stuck_seconds: float
    preempt_seconds: float
    worker_row: int
    job_row: int
    team_row: int


class _CountingTables(testing.FakeTableService):
    """Counts reads and scans as well as commits."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.scans = 0

    async def read_row(
        self, table: platform.Table, key: str
    ) -> platform.Row | None:
        self.reads += 1
        return await super().read_row(table, key)

    async def scan_rows(
        self, table: platform.Table, prefix: str
    ) -> tuple[platform.Row, ...]:
        self.scans += 1
        return await super().scan_rows(table, prefix)


class _Roster:
    """The only member."""

    instance = "a"
    data_centre = "dc"

    def list_members(self) -> tuple[model.SessionRecord, ...]:
        return (model.SessionRecord("a", "i", 1, "dc", "region", ""),)


class _Instances(testing.FixedInstances):
    """Keeps the list of servers, as a real view does between readings."""

    def __init__(self, backends: tuple[model.BackendServer, ...]) -> None:
        super().__init__(backends)
        self._listed = backends

    def list_backends(self) -> tuple[model.BackendServer, ...]:
        return self._listed


async def measure(workers: int) -> Measurement:
    """Fills a fleet, then measures idle, stuck and preempting passes."""
    manual = clock.ManualClock()
    tables = _CountingTables()
    backends = tuple(
        model.BackendServer(
            f"w{index:04}",
            model.ServerState.LIVE,
            f"dc{index % 6}",
            f"r{index // 8}",
            _MACHINE,
            f"w{index}",
        )
        for index in range(workers)
    )
    instances = _Instances(backends)
    configuration = testing.FixedConfiguration()
    dispatcher = placement.Dispatcher(
        tables,
        instances,
        _Roster(),
        testing.FixedOwnership("a", {item.worker: 1 for item in backends}),
        configuration,
        placement.PlacementPolicy(placement.InterferenceModel(manual)),
        manual,
        lambda worker: None,
    )
    service = placement.JobService(tables, instances, configuration)

    async def submit(
        job: str, count: int, need: model.Resources, urgent: bool
    ) -> None:
        await service.submit_job(
            model.JobSpec(
                job,
                f"team{zlib.crc32(job.encode()) % _TEAMS}",
                "kind",
                count,
                need,
                "command --with arguments",
                urgent,
                manual.get_utc(),
                datetime.timedelta(seconds=30),
            )
        )

    async def run_passes(count: int) -> float:
        spent = 0.0
        for _ in range(count):
            begin = time.process_time()
            await dispatcher.run_pass()
            spent += time.process_time() - begin
            await manual.advance(datetime.timedelta(seconds=0.5))
        return spent / count

    total = workers * _TASKS_PER_WORKER
    jobs = total // _TASKS_PER_JOB
    for index in range(jobs):
        await submit(f"job{index:06}", _TASKS_PER_JOB, _NEED, False)
    before, reads, scans = tables.commit_count, tables.reads, tables.scans
    seconds = 0.0
    placed = 0
    while placed < jobs * _TASKS_PER_JOB:
        seconds += await run_passes(1)
        rows = await testing.FakeTableService.scan_rows(
            tables, platform.Table.TEAMS, ""
        )
        placed = sum(
            platform.decode_row(row.value, model.TeamRecord).in_use.processors
            for row in rows
        )
        placed //= _NEED.processors
    transactions = tables.commit_count - before
    reads, scans = tables.reads - reads, tables.scans - scans
    idle = await run_passes(_IDLE_PASSES)
    big = model.Resources(40000, 100_000, 0)
    for index in range(200):
        await submit(f"big{index:06}", 10, big, False)
    # The first passes read the new jobs.
    await run_passes(4)
    stuck = await run_passes(_IDLE_PASSES)
    await submit("urgent", 8, big, True)
    await manual.advance(datetime.timedelta(seconds=2))
    preempt = await run_passes(1)
    return Measurement(
        workers,
        placed,
        seconds,
        transactions,
        reads,
        scans,
        idle,
        stuck,
        preempt,
        await _measure_rows(tables, platform.Table.WORKERS, "w"),
        await _measure_rows(tables, platform.Table.JOBS, "job"),
        await _measure_rows(tables, platform.Table.TEAMS, ""),
    )


async def _measure_rows(
    tables: testing.FakeTableService, table: platform.Table, prefix: str
) -> int:
    """Returns the mean size of rows as JSON, in bytes."""
    rows = await tables.scan_rows(table, prefix)
    sizes = [len(json.dumps(row.value).encode()) for row in rows]
    return sum(sizes) // max(len(sizes), 1)


def main() -> None:
    """Prints one line for each fleet size."""
    logging.set_verbosity(logging.FATAL)
    sizes = [int(text) for text in sys.argv[1:]] or list(_SIZES)
    for size in sizes:
        found = asyncio.run(measure(size))
        print(
            f"{found.workers} workers: {found.placed} tasks placed,"
            f" {found.placed / found.seconds:.0f}/s of processor time,"
            f" {found.transactions / found.placed:.4f} transactions"
            f" and {found.reads / found.placed:.4f} reads for each task,"
            f" {found.scans} scans"
        )
        print(
            f"  pass when idle {found.idle_seconds * 1000:.2f} ms,"
            f" with 200 jobs that do not fit"
            f" {found.stuck_seconds * 1000:.2f} ms,"
            f" with a preemption {found.preempt_seconds * 1000:.2f} ms"
        )
        print(
            f"  mean bytes of rows: worker {found.worker_row},"
            f" job of {_TASKS_PER_JOB} tasks {found.job_row},"
            f" team {found.team_row}"
        )


if __name__ == "__main__":
    main()
