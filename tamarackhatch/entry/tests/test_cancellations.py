"""Tests that a cancelled job never runs, whatever becomes of its submission.

A cancellation may reach the store before the write that submits the job.
"""

import asyncio
import base64
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch.entry.tests import fleet as entry_fleet
from tamarackhatch.entry.tests import refusal_trial
from tamarackhatch import model
from tamarackhatch import records

_S = datetime.timedelta(seconds=1)
_TIMEOUT = 1.5 * _S
_JOB = refusal_trial.JOB
_STEP = model.Step(2, model.Resources(processors=500, memory_mb=64))
_NO_JOB, _UNKNOWN = model.Outcome.NO_JOB, model.Outcome.UNKNOWN
_CANCELLED = model.Outcome.CANCELLED


async def _start_fleet() -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet()
    for name in ("a", "b"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    return fleet


async def _cancel(
    fleet: standin_fleet.VirtualFleet, job: str, instance: str
) -> model.Outcome:
    return await fleet.instances[instance].service.cancel(
        job, standin_fleet.QUEUE, _TIMEOUT
    )


def _has_cancel_row(fleet: standin_fleet.VirtualFleet, job: str) -> bool:
    ref = records.get_cancel_ref(job)
    return fleet.store.get(ref.table, ref.key, ref.partition) is not None


@pytest.mark.parametrize(
    ("delay_s", "cancelled_at", "is_repeated", "is_killed"),
    [
        (2.0, "b", False, False),
        (5.9, "b", False, False),
        (5.9, "a", False, False),
        (5.9, "b", True, False),
        (5.9, "b", False, True),
        (5.9, "b", True, True),
    ],
)
def test_cancelled_job_does_not_start_after_a_late_submission(
    delay_s: float, cancelled_at: str, is_repeated: bool, is_killed: bool
) -> None:
    """Guards against tasks that start after their cancel was answered 410.

    The store carries out the submission of instance a after the cancel.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.late_clients.add("a")
        faults.late_delay_range_s = (delay_s, delay_s)
        lookup = await fleet.ask_service(
            "00", _STEP, instance="a", timeout=_TIMEOUT
        )
        assert lookup.outcome is _UNKNOWN
        faults.late_clients.clear()
        assert await _cancel(fleet, "00", cancelled_at) is _NO_JOB
        if is_repeated:
            lookup = await fleet.ask_service("00", _STEP, instance="b")
            assert lookup.outcome is _CANCELLED
        if is_killed:
            leader = fleet.get_leader()
            assert leader is not None
            leader.kill()
            del fleet.instances[leader.name]
        await asyncio.sleep(20)
        assert fleet.history.runs == []
        assert await fleet.read_state("00") is None

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("offset_ms", range(-16, 17, 2))
def test_submission_and_cancel_at_once(offset_ms: int) -> None:
    """Guards against a window between the cancel's read and its write."""

    async def simulate() -> None:
        fleet = await _start_fleet()

        async def submit() -> model.Outcome:
            await asyncio.sleep(max(0, offset_ms) / 1000)
            lookup = await fleet.ask_service("00", _STEP, instance="a")
            return lookup.outcome

        async def cancel() -> model.Outcome:
            await asyncio.sleep(max(0, -offset_ms) / 1000)
            return await _cancel(fleet, "00", "b")

        submitted, cancelled = await asyncio.gather(submit(), cancel())
        assert cancelled in (model.Outcome.DONE, _NO_JOB)
        await asyncio.sleep(10)
        state = await fleet.read_state("00")
        if submitted is model.Outcome.DONE:
            assert state is model.JobState.CANCELLED
        else:
            assert submitted is _CANCELLED
            assert state is None and fleet.history.runs == []

    virtual_time.run_virtually(simulate())


def test_cancel_that_is_done_late_stops_the_job() -> None:
    """Guards against a late cancel that has no effect on a stored job.

    The store carries out the cancel after a repeated submission.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_writes.add("a")
        assert await _cancel(fleet, "00", "a") is _UNKNOWN
        faults.lost_writes.clear()
        faults.late_clients.add("b")
        faults.late_delay_range_s = (4.0, 4.0)
        cancel = asyncio.create_task(_cancel(fleet, "00", "b"))
        await asyncio.sleep(0.1)
        step = model.Step(1, model.Resources(500, 64), is_long_running=True)
        lookup = await fleet.ask_service("00", step, instance="a")
        assert lookup.outcome is model.Outcome.DONE
        faults.late_clients.clear()
        assert await cancel in (model.Outcome.DONE, _UNKNOWN)
        await fleet.wait_for_state("00", model.JobState.CANCELLED, 8)
        await asyncio.sleep(2)
        assert not any(stand_in.running for stand_in in fleet.runners)

    virtual_time.run_virtually(simulate())


def test_job_of_an_earlier_build_is_cancelled_when_it_is_stored() -> None:
    """Guards against a write without the condition on the cancel row.

    Instances of earlier builds submit so during an upgrade.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        assert await _cancel(fleet, "00", "b") is _NO_JOB
        await asyncio.sleep(1)
        ref = records.get_job_ref("00")
        job = model.Job(
            "00", standin_fleet.QUEUE, "work", (_STEP,), fleet.clock.get_utc()
        )
        row = base64.b64encode(records.encode_job(job)).decode()
        fleet.store.put(ref.table, ref.key, row, ref.partition)
        await fleet.wait_for_state("00", model.JobState.CANCELLED, 5)
        assert fleet.history.runs == []

    virtual_time.run_virtually(simulate())


def test_forwarded_cancel_holds_for_a_pending_submission() -> None:
    """Guards against a 410 of another instance that promises nothing.

    The store refuses instance a, which forwards the cancel.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial(
            "x/a", "x/b", "x/c", has_internal_addresses=True
        )
        await trial.fleet.discover()
        faults = trial.fleet.store_faults
        faults.late_clients.add("c")
        faults.late_delay_range_s = (9.0, 9.0)
        instance = trial.fleet.instances["c"]
        deadline = trial.fleet.clock.get_monotonic() + 1.5 * _S
        lookup = await instance.service.submit_here(
            trial.make_job(), deadline, 1
        )
        assert lookup.outcome is _UNKNOWN
        faults.late_clients.clear()
        faults.refused_clients["a"] = 503
        outcome = await trial.fleet.instances["a"].service.cancel(
            _JOB, refusal_trial.QUEUE, entry_fleet.TIMEOUT
        )
        assert outcome is _NO_JOB
        lookup = await trial.submit("a")
        assert lookup.outcome is _CANCELLED
        await asyncio.sleep(12)
        assert not trial.is_stored()

    virtual_time.run_virtually(simulate())


def test_refused_job_that_is_cancelled_is_not_accepted_later() -> None:
    """Guards against a caller's last attempt that arrives after its cancel."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("a")
        assert (await trial.submit("a")).outcome is model.Outcome.REFUSED
        outcome = await trial.fleet.instances["b"].service.cancel(
            _JOB, refusal_trial.QUEUE, entry_fleet.TIMEOUT
        )
        assert outcome is _NO_JOB
        refusal = trial.read_refusal()
        for name in ("a", "b"):
            assert (await trial.submit(name)).outcome is _CANCELLED
        assert not trial.is_stored()
        # Attempts of a cancelled job write nothing.
        assert trial.read_refusal() == refusal

    virtual_time.run_virtually(simulate())


def test_cancels_of_unknown_jobs_write_a_bounded_number_of_rows() -> None:
    """Guards against callers that fill the store with cancels of nothing.

    Repeated cancels of one job write one row, and those beyond the rate are
    answered that nothing was done.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        writes = fleet.store.writes
        for _ in range(20):
            assert await _cancel(fleet, "00", "b") is _NO_JOB
        assert fleet.store.writes - writes < 5
        outcomes = [
            await _cancel(fleet, f"{number:016x}", "a")
            for number in range(1, 400)
        ]
        assert set(outcomes) == {_NO_JOB, model.Outcome.NOT_DONE}
        assert outcomes.index(model.Outcome.NOT_DONE) >= 50
        rows = sum(_has_cancel_row(fleet, f"{n:016x}") for n in range(1, 400))
        assert rows == outcomes.count(_NO_JOB) < 100
        await asyncio.sleep(3)
        assert await _cancel(fleet, f"{399:016x}", "a") is _NO_JOB
        # Stored jobs are cancelled at any rate.
        for number in range(500, 520):
            job = f"{number:016x}"
            await fleet.ask_service(job, _STEP, instance="a")
            assert await _cancel(fleet, job, "a") is model.Outcome.DONE

    virtual_time.run_virtually(simulate())


def test_cancel_rows_of_unknown_jobs_are_removed_together() -> None:
    """Guards against a table that grows, and a write for each removal."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        jobs = [f"{number:015x}0" for number in range(40)]
        for job in jobs:
            assert await _cancel(fleet, job, "b") is _NO_JOB
        await asyncio.sleep(590)
        assert all(_has_cancel_row(fleet, job) for job in jobs)
        writes = fleet.store.writes
        await asyncio.sleep(20)
        assert not any(_has_cancel_row(fleet, job) for job in jobs)
        # Heartbeats are written beside the two removals.
        assert fleet.store.writes - writes < 40
        lookup = await fleet.ask_service(jobs[0], _STEP)
        assert lookup.outcome is model.Outcome.DONE
        await fleet.wait_for_state(jobs[0], model.JobState.COMPLETED)

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_identifier_is_usable_after_its_cancel_row_is_removed(
    is_history_lost: bool,
) -> None:
    """Guards against an accepted job that an old cancellation ends.

    The feed may lose the removal of the row.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        assert await _cancel(fleet, "00", "b") is _NO_JOB
        await asyncio.sleep(2)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        if is_history_lost:
            faults.lost_feeds |= {(n, records.JOBS_TABLE) for n in "ab"}
            # The request in progress still gets changes.
            await asyncio.sleep(2)
        ref = records.get_cancel_ref("00")
        fleet.store.remove(ref.table, ref.key, ref.partition)
        await asyncio.sleep(1)
        if is_history_lost:
            fleet.store.discard_history()
            faults.lost_feeds.clear()
        await asyncio.sleep(3)
        lookup = await fleet.ask_service("00", _STEP)
        assert lookup.outcome is model.Outcome.DONE
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 10)

    virtual_time.run_virtually(simulate())
