"""Tests the removal of cancel and refusal rows of jobs."""

import asyncio
import base64
import datetime
import os
import typing

import pytest

from standins import network
from standins import store
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _job_markers

_STORE_ADDRESS = "10.0.0.1:7000"
_MINUTE = datetime.timedelta(minutes=1)
_VALUE = base64.b64encode(b"{}").decode()


class _Trial:
    """A collector with a store stand-in in virtual time."""

    def __init__(self) -> None:
        self.clock = virtual_time.VirtualClock(asyncio.get_running_loop())
        self.network = network.Network()
        self.store = store.StoreStandIn()
        self.network.serve(_STORE_ADDRESS, self.store.handle)
        log = observability.Log(
            observability.LineSink(
                os.open(os.devnull, os.O_WRONLY), self.clock, 10**9
            ),
            self.clock,
            observability.LevelFilter(),
            "a",
        )
        self.collector = _job_markers.MarkerCollector(
            platform.PlatformStore(
                typing.cast(typing.Any, self.network.make_client("a")),
                _STORE_ADDRESS,
            ),
            self.clock,
            10 * _MINUTE,
            log,
        )

    def add(self, ref: model.RowRef) -> None:
        """Writes and records a row."""
        version = self.store.put(ref.table, ref.key, _VALUE, ref.partition)
        self.collector.record(model.Row(ref, b"{}", version))

    def has(self, ref: model.RowRef) -> bool:
        """Returns whether a row is stored."""
        return self.store.get(ref.table, ref.key, ref.partition) is not None


def _name_jobs(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(count)]


@pytest.mark.parametrize(
    ("jobs", "max_writes"), [(1, 1), (16, 16), (160, 16), (600, 32)]
)
def test_rows_share_transactions(jobs: int, max_writes: int) -> None:
    """Guards against a removal that costs as many writes as the rows."""

    async def simulate() -> None:
        trial = _Trial()
        refs = [records.get_cancel_ref(job) for job in _name_jobs(jobs)]
        for ref in refs:
            trial.add(ref)
        await asyncio.sleep(599)
        await trial.collector.remove_due_rows()
        assert trial.store.writes == 0
        await asyncio.sleep(2)
        await trial.collector.remove_due_rows()
        await trial.collector.remove_due_rows()
        assert not any(trial.has(ref) for ref in refs)
        assert trial.store.writes <= max_writes

    virtual_time.run_virtually(simulate())


def test_row_that_matters_again_is_kept() -> None:
    """Guards against a stored job that loses its cancel row.

    Of four rows of one partition, one is written again, the job of one is
    stored, and one is removed by another scheduler.
    """

    async def simulate() -> None:
        trial = _Trial()
        jobs = [f"{number:015x}0" for number in range(4)]
        refs = [records.get_cancel_ref(job) for job in jobs]
        for ref in refs:
            trial.add(ref)
        await asyncio.sleep(300)
        trial.add(refs[1])
        job = records.get_job_ref(jobs[2])
        trial.store.put(job.table, job.key, _VALUE, job.partition)
        trial.store.remove(refs[3].table, refs[3].key, refs[3].partition)
        await asyncio.sleep(301)
        await trial.collector.remove_due_rows()
        assert [trial.has(ref) for ref in refs] == [False, True, True, False]
        await asyncio.sleep(300)
        await trial.collector.remove_due_rows()
        assert [trial.has(ref) for ref in refs] == [False, False, True, False]

    virtual_time.run_virtually(simulate())


def test_rows_are_removed_after_an_outage() -> None:
    """Guards against rows that are forgotten while the store fails."""

    async def simulate() -> None:
        trial = _Trial()
        refs = [records.get_cancel_ref(job) for job in _name_jobs(40)]
        for ref in refs:
            trial.add(ref)
        await asyncio.sleep(601)
        trial.store.is_down = True
        await trial.collector.remove_due_rows()
        trial.store.is_down = False
        await trial.collector.remove_due_rows()
        assert not any(trial.has(ref) for ref in refs)

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("age_s", "rows_kept"), [(30, 120), (70, 100), (601, 0)]
)
def test_number_of_rows_is_bounded(
    age_s: float, rows_kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a takeover that reads millions of cancel rows.

    The oldest go first, but none before late writes have ended.
    """
    monkeypatch.setattr(_job_markers, "_MAX_ROWS", 100)

    async def simulate() -> None:
        trial = _Trial()
        refs = [records.get_cancel_ref(job) for job in _name_jobs(120)]
        for ref in refs:
            trial.add(ref)
        await asyncio.sleep(age_s)
        await trial.collector.remove_due_rows()
        kept = [trial.has(ref) for ref in refs]
        assert kept == [False] * (120 - rows_kept) + [True] * rows_kept

    virtual_time.run_virtually(simulate())
