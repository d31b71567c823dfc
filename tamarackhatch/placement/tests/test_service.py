"""Tests of JobService."""

import asyncio
import datetime
import typing

import attrs
import pytest

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import testing

SPEC = model.JobSpec(
    "j",
    "t",
    "k",
    2,
    model.Resources(1000, 512, 0),
    "run",
    False,
    clock.ManualClock().get_utc(),
    datetime.timedelta(seconds=5),
)
FAULT = testing.StoreFault


def build_service(tables: testing.FakeTableService) -> placement.JobService:
    backend = model.BackendServer(
        "w",
        model.ServerState.LIVE,
        "dc",
        "r",
        model.Resources(8000, 8192, 0),
        "w",
        "w:1",
        "query",
    )
    return placement.JobService(
        tables,
        testing.FixedInstances((backend,)),
        testing.FixedConfiguration(
            team=declarations.TeamPolicy(model.Resources(3000, 9999, 9))
        ),
    )


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({}, None),
        ({"task_count": 0}, errors.ErrorCode.BAD_JOB),
        ({"task_count": 100_000}, errors.ErrorCode.BAD_JOB),
        ({"job": "a/b"}, errors.ErrorCode.BAD_JOB),
        ({"team": ""}, errors.ErrorCode.BAD_JOB),
        ({"resources": model.Resources()}, errors.ErrorCode.BAD_JOB),
        ({"resources": model.Resources(-1, 5)}, errors.ErrorCode.BAD_JOB),
        # Fits the machine, but not beside the reserve of its runner.
        (
            {"resources": model.Resources(1000, 5000, 0)},
            errors.ErrorCode.INFEASIBLE_JOB,
        ),
        (
            {"resources": model.Resources(3500, 512, 0)},
            errors.ErrorCode.INFEASIBLE_JOB,
        ),
        (
            {"resources": model.Resources(0, 512, 1)},
            errors.ErrorCode.INFEASIBLE_JOB,
        ),
    ],
)
def test_submission_is_checked(
    change: dict[str, typing.Any], code: errors.ErrorCode | None
) -> None:
    """Guards against jobs that can never run, and names that collide."""

    async def run() -> None:
        tables = testing.FakeTableService()
        service = build_service(tables)
        spec = attrs.evolve(SPEC, **change)
        try:
            await service.submit_job(spec)
        except placement.JobRefusedError as error:
            assert error.code is code
            assert await service.get_job(spec.job) is None
            return
        assert code is None
        job = await service.get_job(spec.job)
        assert job is not None and job.spec == spec

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "is_stored", "raises"),
    [
        ([FAULT.LOST_ANSWER], True, False),
        ([FAULT.LOST_REQUEST], True, False),
        ([FAULT.LOST_REQUEST, FAULT.LOST_ANSWER], True, False),
        ([FAULT.UNAVAILABLE], False, True),
        ([FAULT.LOST_REQUEST] * 8, False, True),
    ],
)
def test_submission_with_store_faults(
    faults: list[testing.StoreFault], is_stored: bool, raises: bool
) -> None:
    """Guards against a job acknowledged but lost, or stored twice."""

    async def run() -> None:
        tables = testing.FakeTableService()
        service = build_service(tables)
        tables.add_commit_faults(*faults)
        try:
            await service.submit_job(SPEC)
            assert not raises
        except errors.CodedError:
            assert raises
        assert (await service.get_job("j") is not None) == is_stored

    asyncio.run(run())


def test_resubmission() -> None:
    """Guards against a repeat that is refused or replaces another job."""

    async def run() -> None:
        service = build_service(testing.FakeTableService())
        await service.submit_job(SPEC)
        later = SPEC.submitted_at + datetime.timedelta(seconds=9)
        await service.submit_job(attrs.evolve(SPEC, submitted_at=later))
        with pytest.raises(placement.JobRefusedError) as caught:
            await service.submit_job(attrs.evolve(SPEC, command="other"))
        assert caught.value.code is errors.ErrorCode.DUPLICATE
        job = await service.get_job("j")
        assert job is not None and job.spec == SPEC

    asyncio.run(run())


@pytest.mark.parametrize(
    "faults", [[], [FAULT.LOST_ANSWER], [FAULT.LOST_REQUEST]]
)
def test_cancellation(faults: list[testing.StoreFault]) -> None:
    """Guards against a cancellation that is lost with an answer."""

    async def run() -> None:
        tables = testing.FakeTableService()
        service = build_service(tables)
        with pytest.raises(placement.JobRefusedError):
            await service.cancel_job("j")
        await service.submit_job(SPEC)
        tables.add_commit_faults(*faults)
        await service.cancel_job("j")
        await service.cancel_job("j")
        job = await service.get_job("j")
        assert job is not None
        assert job.state is model.JobState.CANCELLED
        assert {task.state for task in job.tasks} == {
            model.TaskState.CANCELLED
        }

    asyncio.run(run())
