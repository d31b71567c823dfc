"""Dry runs: they foretell what the scheduler does, and change nothing."""

import asyncio
import pathlib
import pickle
import typing

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler.tests import dry_run_trial
from tamarackhatch import where

Submission = tuple[str, model.Queue, tuple[model.Step, ...]]


def _make_wide(count: int) -> model.Step:
    return attrs.evolve(dry_run_trial.WIDE, count=count)


def _make_batch(count: int) -> model.Step:
    return attrs.evolve(dry_run_trial.BATCH, count=count)


def _list_places(answer: where.Answer) -> dict[str, str]:
    """Returns the runner of each placed task, by step and index."""
    return {
        f"{step.step}.{index}": chosen.rated.runner
        for step in answer.steps
        for chosen in step.chosen
        for index in chosen.tasks
    }


@pytest.mark.parametrize(
    ("earlier", "queue", "steps"),
    [
        pytest.param(
            (), dry_run_trial.QUEUE, (dry_run_trial.BATCH,), id="empty runners"
        ),
        pytest.param(
            (("long", dry_run_trial.QUEUE, (dry_run_trial.SERVING,)),),
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.BATCH, count=9, preferred_rack="r3"),),
            id="preferred rack beside serving tasks",
        ),
        pytest.param(
            (("long", dry_run_trial.QUEUE, (dry_run_trial.SERVING,)),),
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.SERVING, image="other", count=4),),
            id="serving tasks of another image",
        ),
        pytest.param(
            (
                ("long", dry_run_trial.QUEUE, (dry_run_trial.SERVING,)),
                ("01", dry_run_trial.QUEUE, (dry_run_trial.BEST_EFFORT,)),
            ),
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.BEST_EFFORT, count=20),),
            id="best-effort tasks beside serving tasks",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_batch(20),),
                ),
            ),
            dry_run_trial.QUEUE,
            (
                attrs.evolve(dry_run_trial.BATCH, is_gang=True),
                dry_run_trial.WIDE,
                attrs.evolve(dry_run_trial.BATCH, required_label="large"),
                attrs.evolve(dry_run_trial.BATCH, max_per_runner=1, count=5),
                attrs.evolve(dry_run_trial.BATCH, after=(0,)),
            ),
            id="gang, wide tasks, label, limit per runner, later step",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_wide(3),),
                ),
            ),
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.WIDE, count=2, is_gang=True),),
            id="gang that fits",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_wide(5),),
                ),
            ),
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.WIDE, count=2, is_gang=True),),
            id="gang that does not fit",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_wide(5),),
                ),
                (
                    "02",
                    dry_run_trial.QUEUE,
                    (_make_wide(9),),
                ),
            ),
            dry_run_trial.LATER,
            (_make_batch(12),),
            id="large urgent job waits",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_wide(6),),
                ),
                (
                    "02",
                    dry_run_trial.QUEUE,
                    (_make_batch(90),),
                ),
            ),
            dry_run_trial.TIMELY,
            (_make_batch(12),),
            id="burst of small tasks",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_batch(9),),
                ),
            ),
            attrs.evolve(dry_run_trial.QUEUE, max_attempts=1),
            (dry_run_trial.BATCH,),
            id="last attempt",
        ),
        pytest.param(
            (),
            dry_run_trial.POLICY_QUEUE,
            (dry_run_trial.BATCH,),
            id="no ticket yet",
        ),
        pytest.param(
            (
                # Leaves 2 cores free on the smallest runner.
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (attrs.evolve(dry_run_trial.ALMOST_WIDE, count=6),),
                ),
                (
                    "02",
                    dry_run_trial.QUEUE,
                    (_make_wide(9),),
                ),
            ),
            dry_run_trial.LATER,
            (_make_batch(30),),
            id="reserved runner with free capacity",
        ),
        pytest.param(
            (
                (
                    "01",
                    dry_run_trial.QUEUE,
                    (_make_batch(59),),
                ),
            ),
            dry_run_trial.QUEUE,
            (
                attrs.evolve(
                    dry_run_trial.BATCH, count=3, resources=dry_run_trial.SMALL
                ),
            ),
            id="scarce capacity, where small tasks fill the fullest runners",
        ),
        pytest.param(
            (
                (
                    "long",
                    dry_run_trial.QUEUE,
                    (attrs.evolve(dry_run_trial.SERVING, count=6),),
                ),
            ),
            dry_run_trial.QUEUE,
            (
                attrs.evolve(
                    dry_run_trial.BEST_EFFORT,
                    count=8,
                    resources=dry_run_trial.SMALL,
                ),
            ),
            id="best-effort tasks of which some would be slowed down",
        ),
    ],
)
def test_scheduler_does_as_the_dry_run_says(
    earlier: tuple[Submission, ...],
    queue: model.Queue,
    steps: tuple[model.Step, ...],
) -> None:
    """Guards against an answer that differs from the next placement pass."""

    async def simulate() -> tuple[dict[str, str], dict[str, str]]:
        fleet = await dry_run_trial.start_fleet()
        for name, earlier_queue, earlier_steps in earlier:
            await fleet.submit(name, *earlier_steps, queue=earlier_queue)
            await asyncio.sleep(1.2)
        foretold = _list_places(dry_run_trial.ask(fleet, steps, queue))
        await fleet.submit("0f", *steps, queue=queue)
        # Long-running tasks are collected for 0.1 s.
        await asyncio.sleep(0.3)
        started = {
            run.task.removeprefix("0f.0."): run.runner
            for run in fleet.history.runs
            if run.task.startswith("0f.")
        }
        return foretold, started

    foretold, started = virtual_time.run_virtually(simulate())
    assert foretold == started


@pytest.mark.parametrize(
    ("earlier", "steps", "placed"),
    [
        pytest.param(
            (_make_wide(4),),
            (dry_run_trial.WIDE,),
            2,
            id="batch tasks",
        ),
        pytest.param(
            (attrs.evolve(dry_run_trial.WIDE, count=3, is_gang=True),),
            (_make_batch(60),),
            39,
            id="gang before small tasks",
        ),
        pytest.param(
            (dry_run_trial.SERVING,),
            (attrs.evolve(dry_run_trial.SERVING, image="other", count=4),),
            4,
            id="serving tasks that are collected together",
        ),
    ],
)
def test_dry_run_places_work_that_has_just_arrived(
    earlier: tuple[model.Step, ...],
    steps: tuple[model.Step, ...],
    placed: int,
) -> None:
    """Guards against a job that is promised the places of earlier work.

    Load: a burst, in which other jobs wait for the same placement pass.
    """

    async def simulate() -> tuple[where.Answer, dict[str, str]]:
        fleet = await dry_run_trial.start_fleet()
        _, context = dry_run_trial.get_scheduler(fleet)
        job = model.Job(
            "01",
            dry_run_trial.QUEUE,
            "",
            earlier,
            fleet.clock.get_utc(),
            term=context.term,
        )
        context.job_tracker.add_job(job, 1)
        answer = dry_run_trial.ask(fleet, steps, dry_run_trial.LATER)
        context.job_tracker.add_job(
            attrs.evolve(
                job, identifier="0f", queue=dry_run_trial.LATER, steps=steps
            ),
            2,
        )
        await asyncio.sleep(0.3)
        started = {
            run.task.removeprefix("0f.0."): run.runner
            for run in fleet.history.runs
            if run.task.startswith("0f.")
        }
        return answer, started

    answer, started = virtual_time.run_virtually(simulate())
    assert _list_places(answer) == started
    assert len(started) == placed
    assert answer.earlier_work.placed == sum(step.count for step in earlier)


def test_waiting_work_that_goes_first_takes_its_places() -> None:
    """Guards against an answer that promises capacity to two jobs.

    Load: urgent work that waits and would be placed before the job. It starts
    as soon as the starts are not paused any more.
    """

    async def simulate() -> where.Answer:
        fleet = await dry_run_trial.start_fleet()
        await fleet.submit("01", _make_wide(6))
        await asyncio.sleep(1)
        await fleet.submit("02", _make_batch(30))
        await asyncio.sleep(0.3)
        return dry_run_trial.ask(
            fleet,
            (_make_batch(2),),
            dry_run_trial.LATER,
        )

    answer = virtual_time.run_virtually(simulate())
    (step,) = answer.steps
    assert step.state is where.StepState.WAITS
    # The runners of 18 to 26 cores have 15 places for tasks of 2 cores
    # beside those of 16 cores.
    assert answer.earlier_work.tasks == 15
    (first,) = answer.earlier_work.first
    assert first.job == "02"
    assert first.reason == "its priority 0 is more urgent than 3"
    assert [(item.reason, item.count) for item in step.excluded] == [
        (where.Exclusion.NO_CAPACITY, 6)
    ]
    assert step.expected_wait is not None


def _take_snapshot(fleet: standin_fleet.VirtualFleet) -> list[typing.Any]:
    """Returns the state of a scheduler, as far as it can be compared."""
    scheduler: typing.Any
    scheduler, context = dry_run_trial.get_scheduler(fleet)
    tickets: typing.Any = context.tickets
    jobs: typing.Any = context.job_tracker
    writer: typing.Any = context.writer
    dispatcher = scheduler._dispatcher
    return [
        pickle.dumps(context.fleet),
        pickle.dumps(jobs._jobs),
        pickle.dumps(jobs.waiting),
        pickle.dumps(context.health),
        pickle.dumps(context.stalls),
        pickle.dumps(context.interference),
        pickle.dumps(dispatcher.large_tasks._reservations),
        dict(dispatcher._candidate_cache._candidates),
        [
            (candidate.created_at, candidate.penalty, candidate.start_limit)
            for candidate in dispatcher._candidate_cache._candidates.values()
        ],
        dict(tickets._requests),
        dict(tickets._tickets),
        context.wake.is_set(),
        writer._unwritten_jobs.identifiers,
        context.load_monitor.counters,
        context.metrics.render(),
        fleet.history.runs.copy(),
    ]


@pytest.mark.parametrize(
    ("queue", "steps"),
    [
        (
            dry_run_trial.QUEUE,
            (dry_run_trial.BATCH, _make_wide(20)),
        ),
        (dry_run_trial.QUEUE, (attrs.evolve(dry_run_trial.SERVING, count=5),)),
        (
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.BEST_EFFORT, count=50),),
        ),
        (
            dry_run_trial.QUEUE,
            (attrs.evolve(dry_run_trial.WIDE, is_gang=True),),
        ),
        (dry_run_trial.POLICY_QUEUE, (dry_run_trial.BATCH,)),
        (
            attrs.evolve(dry_run_trial.QUEUE, max_attempts=1),
            (dry_run_trial.BATCH,),
        ),
    ],
)
def test_dry_run_changes_nothing(
    queue: model.Queue,
    steps: tuple[model.Step, ...],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a dry run that starts, reserves or requests anything."""

    async def simulate() -> None:
        log_path = tmp_path / "log"
        fleet = await dry_run_trial.start_fleet(log_path=str(log_path))
        await fleet.submit("long", dry_run_trial.SERVING)
        await fleet.submit(
            "01", attrs.evolve(dry_run_trial.BEST_EFFORT, count=9)
        )
        await fleet.submit("02", _make_wide(6))
        # Long enough for a reservation for one of the wide tasks.
        await asyncio.sleep(1.5)
        # The first one computes values that are cached in the steps.
        dry_run_trial.ask(fleet, steps, queue)
        before = _take_snapshot(fleet)
        log_size = log_path.stat().st_size
        dry_run_trial.ask(fleet, steps, queue)
        assert _take_snapshot(fleet) == before
        assert log_path.stat().st_size == log_size

    virtual_time.run_virtually(simulate())
