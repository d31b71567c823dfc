"""Dry runs: they foretell what the scheduler does, and change nothing."""

import asyncio
import datetime
import pathlib
import pickle
import typing

import attrs
import pytest

from standins import advice
from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import health
from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _scheduler
from tamarackhatch.scheduler import _state
from tamarackhatch import where

_SECOND = datetime.timedelta(seconds=1)
_CORE = 1000
_QUEUE = standin_fleet.QUEUE
_LATER = attrs.evolve(_QUEUE, priority=3)
_TIMELY = attrs.evolve(_QUEUE, target_latency=2 * _SECOND, stretch=1.5)
_POLICY_QUEUE = attrs.evolve(
    _QUEUE,
    advice=model.AdviceTiming(0.05 * _SECOND, 0.002 * _SECOND, 3 * _SECOND),
)
_BATCH = model.Step(
    4, model.Resources(2 * _CORE, 1_000), estimate=0.5 * _SECOND
)
_WIDE = attrs.evolve(_BATCH, resources=model.Resources(16 * _CORE, 1_000))
_SERVING = model.Step(
    3,
    model.Resources(4 * _CORE, 1_000),
    is_long_running=True,
    image="serving",
    tail_latency_target=0.05 * _SECOND,
    max_per_runner=1,
)
_BEST_EFFORT = model.Step(
    6,
    model.Resources(3 * _CORE, 1_000),
    is_best_effort=True,
    image="report",
    estimate=_SECOND,
)
_ALMOST_WIDE = attrs.evolve(
    _BATCH, resources=model.Resources(14 * _CORE, 1_000)
)
_SMALL = model.Resources(_CORE, 1_000)
_RACKS = ("r1", "r1", "r2", "r2", "r3", "r3")

Submission = tuple[str, model.Queue, tuple[model.Step, ...]]


def _plan(task: str, run: int) -> tuple[float, str]:
    return (600.0 if task.startswith("long") else 5.0), "done"


async def _start_fleet(
    plan: runner.Plan = _plan, log_path: str = "/dev/null"
) -> standin_fleet.VirtualFleet:
    """Starts an instance and six runners of different sizes on three racks."""
    fleet = standin_fleet.VirtualFleet(0, plan, log_path=log_path)
    for index, rack in enumerate(_RACKS):
        fleet.add_runner(plan, index)
        fleet.runners[index].labels = ["large" if index > 3 else "a", rack]
        fleet.runners[index].capacity = model.Resources(
            (16 + 2 * index) * _CORE, 64_000
        )
    fleet.start_instance("a")
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    # Until the runners are tracked and have answered.
    await asyncio.sleep(2)
    return fleet


def _ask(
    fleet: standin_fleet.VirtualFleet,
    steps: tuple[model.Step, ...],
    queue: model.Queue = _QUEUE,
) -> where.Answer:
    leader = fleet.get_leader()
    assert leader is not None
    job = model.Job(
        "dry-run",
        queue,
        "work",
        steps,
        fleet.clock.get_utc(),
        term=leader.role.term,
    )
    answer = leader.role.try_placement(job, 1)
    assert answer is not None
    return answer


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
        pytest.param((), _QUEUE, (_BATCH,), id="empty runners"),
        pytest.param(
            (("long", _QUEUE, (_SERVING,)),),
            _QUEUE,
            (attrs.evolve(_BATCH, count=9, preferred_rack="r3"),),
            id="preferred rack beside serving tasks",
        ),
        pytest.param(
            (("long", _QUEUE, (_SERVING,)),),
            _QUEUE,
            (attrs.evolve(_SERVING, image="other", count=4),),
            id="serving tasks of another image",
        ),
        pytest.param(
            (
                ("long", _QUEUE, (_SERVING,)),
                ("01", _QUEUE, (_BEST_EFFORT,)),
            ),
            _QUEUE,
            (attrs.evolve(_BEST_EFFORT, count=20),),
            id="best-effort tasks beside serving tasks",
        ),
        pytest.param(
            (("01", _QUEUE, (attrs.evolve(_BATCH, count=20),)),),
            _QUEUE,
            (
                attrs.evolve(_BATCH, is_gang=True),
                _WIDE,
                attrs.evolve(_BATCH, required_label="large"),
                attrs.evolve(_BATCH, max_per_runner=1, count=5),
                attrs.evolve(_BATCH, after=(0,)),
            ),
            id="gang, wide tasks, label, limit per runner, later step",
        ),
        pytest.param(
            (("01", _QUEUE, (attrs.evolve(_WIDE, count=3),)),),
            _QUEUE,
            (attrs.evolve(_WIDE, count=2, is_gang=True),),
            id="gang that fits",
        ),
        pytest.param(
            (("01", _QUEUE, (attrs.evolve(_WIDE, count=5),)),),
            _QUEUE,
            (attrs.evolve(_WIDE, count=2, is_gang=True),),
            id="gang that does not fit",
        ),
        pytest.param(
            (
                ("01", _QUEUE, (attrs.evolve(_WIDE, count=5),)),
                ("02", _QUEUE, (attrs.evolve(_WIDE, count=9),)),
            ),
            _LATER,
            (attrs.evolve(_BATCH, count=12),),
            id="large urgent job waits",
        ),
        pytest.param(
            (
                ("01", _QUEUE, (attrs.evolve(_WIDE, count=6),)),
                ("02", _QUEUE, (attrs.evolve(_BATCH, count=90),)),
            ),
            _TIMELY,
            (attrs.evolve(_BATCH, count=12),),
            id="burst of small tasks",
        ),
        pytest.param(
            (("01", _QUEUE, (attrs.evolve(_BATCH, count=9),)),),
            attrs.evolve(_QUEUE, max_attempts=1),
            (_BATCH,),
            id="last attempt",
        ),
        pytest.param((), _POLICY_QUEUE, (_BATCH,), id="no ticket yet"),
        pytest.param(
            (
                # Leaves 2 cores free on the smallest runner.
                ("01", _QUEUE, (attrs.evolve(_ALMOST_WIDE, count=6),)),
                ("02", _QUEUE, (attrs.evolve(_WIDE, count=9),)),
            ),
            _LATER,
            (attrs.evolve(_BATCH, count=30),),
            id="reserved runner with free capacity",
        ),
        pytest.param(
            (("01", _QUEUE, (attrs.evolve(_BATCH, count=59),)),),
            _QUEUE,
            (attrs.evolve(_BATCH, count=3, resources=_SMALL),),
            id="scarce capacity, where small tasks fill the fullest runners",
        ),
        pytest.param(
            (("long", _QUEUE, (attrs.evolve(_SERVING, count=6),)),),
            _QUEUE,
            (attrs.evolve(_BEST_EFFORT, count=8, resources=_SMALL),),
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
        fleet = await _start_fleet()
        for name, earlier_queue, earlier_steps in earlier:
            await fleet.submit(name, *earlier_steps, queue=earlier_queue)
            await asyncio.sleep(1.2)
        foretold = _list_places(_ask(fleet, steps, queue))
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
            (attrs.evolve(_WIDE, count=4),), (_WIDE,), 2, id="batch tasks"
        ),
        pytest.param(
            (attrs.evolve(_WIDE, count=3, is_gang=True),),
            (attrs.evolve(_BATCH, count=60),),
            39,
            id="gang before small tasks",
        ),
        pytest.param(
            (_SERVING,),
            (attrs.evolve(_SERVING, image="other", count=4),),
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
        fleet = await _start_fleet()
        _, context = _get_scheduler(fleet)
        job = model.Job(
            "01", _QUEUE, "", earlier, fleet.clock.get_utc(), term=context.term
        )
        context.job_tracker.add_job(job, 1)
        answer = _ask(fleet, steps, _LATER)
        context.job_tracker.add_job(
            attrs.evolve(job, identifier="0f", queue=_LATER, steps=steps), 2
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
        fleet = await _start_fleet()
        await fleet.submit("01", attrs.evolve(_WIDE, count=6))
        await asyncio.sleep(1)
        await fleet.submit("02", attrs.evolve(_BATCH, count=30))
        await asyncio.sleep(0.3)
        return _ask(fleet, (attrs.evolve(_BATCH, count=2),), _LATER)

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


def _get_scheduler(
    fleet: standin_fleet.VirtualFleet,
) -> tuple[_scheduler.Scheduler, _context.SchedulerContext]:
    leader: typing.Any = fleet.get_leader()
    scheduler = leader.role._scheduler
    return scheduler, scheduler._context


def _take_snapshot(fleet: standin_fleet.VirtualFleet) -> list[typing.Any]:
    """Returns the state of a scheduler, as far as it can be compared."""
    scheduler: typing.Any
    scheduler, context = _get_scheduler(fleet)
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
        dict(writer._unwritten_jobs),
        context.load_monitor.counters,
        context.metrics.render(),
        fleet.history.runs.copy(),
    ]


@pytest.mark.parametrize(
    ("queue", "steps"),
    [
        (_QUEUE, (_BATCH, attrs.evolve(_WIDE, count=20))),
        (_QUEUE, (attrs.evolve(_SERVING, count=5),)),
        (_QUEUE, (attrs.evolve(_BEST_EFFORT, count=50),)),
        (_QUEUE, (attrs.evolve(_WIDE, is_gang=True),)),
        (_POLICY_QUEUE, (_BATCH,)),
        (attrs.evolve(_QUEUE, max_attempts=1), (_BATCH,)),
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
        fleet = await _start_fleet(log_path=str(log_path))
        await fleet.submit("long", _SERVING)
        await fleet.submit("01", attrs.evolve(_BEST_EFFORT, count=9))
        await fleet.submit("02", attrs.evolve(_WIDE, count=6))
        # Long enough for a reservation for one of the wide tasks.
        await asyncio.sleep(1.5)
        # The first one computes values that are cached in the steps.
        _ask(fleet, steps, queue)
        before = _take_snapshot(fleet)
        log_size = log_path.stat().st_size
        _ask(fleet, steps, queue)
        assert _take_snapshot(fleet) == before
        assert log_path.stat().st_size == log_size

    virtual_time.run_virtually(simulate())


def _drain(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].state = "draining"


def _break_down(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].is_down = True


def _eject(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = _get_scheduler(fleet)
    context.health.set_limits({standin_fleet.SERVICE: 2}, context.get_now())
    context.health.record_stall(
        "i-0", standin_fleet.SERVICE, context.get_now()
    )


def _avoid(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = _get_scheduler(fleet)
    context.fleet["i-0"].avoid_until = context.get_now() + 60 * _SECOND


def _unregister(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = _get_scheduler(fleet)
    context.fleet["i-0"].is_registered = False


def _hide_runs(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = _get_scheduler(fleet)
    context.fleet["i-0"].has_unknown_runs = True


def _do_nothing(fleet: standin_fleet.VirtualFleet) -> None:
    pass


@pytest.mark.parametrize(
    ("change", "step", "expected"),
    [
        (_drain, _BATCH, {where.Exclusion.DRAINING: ("i-0",)}),
        (_break_down, _BATCH, {where.Exclusion.NOT_ANSWERING: ("i-0",)}),
        (_eject, _BATCH, {where.Exclusion.EJECTED: ("i-0",)}),
        (_avoid, _BATCH, {where.Exclusion.AVOIDED: ("i-0",)}),
        (_unregister, _BATCH, {where.Exclusion.UNREGISTERED: ("i-0",)}),
        (_hide_runs, _BATCH, {where.Exclusion.UNSETTLED: ("i-0",)}),
        (
            _do_nothing,
            attrs.evolve(_BATCH, required_label="r3"),
            {where.Exclusion.LABEL: ("i-0", "i-1", "i-2")},
        ),
        (
            _do_nothing,
            attrs.evolve(_BATCH, resources=model.Resources(25_000, 1)),
            {where.Exclusion.NO_CAPACITY: ("i-0", "i-1", "i-2")},
        ),
    ],
)
def test_excluded_runners_have_their_reason(
    change: typing.Callable[[standin_fleet.VirtualFleet], None],
    step: model.Step,
    expected: dict[where.Exclusion, tuple[str, ...]],
) -> None:
    """Guards against a wrong reason, which sends operators the wrong way."""

    async def simulate() -> where.Answer:
        fleet = await _start_fleet()
        change(fleet)
        if change in (_drain, _break_down):
            # Until the scheduler has noticed it.
            await asyncio.sleep(2)
        return _ask(fleet, (attrs.evolve(step, count=1),))

    (answer,) = virtual_time.run_virtually(simulate()).steps
    assert {item.reason: item.examples for item in answer.excluded} == expected


def _isolate(context: _context.SchedulerContext) -> None:
    """Lets a task that may crash its runner run on the first runner."""
    entry = context.fleet["i-0"]
    job = model.Job("00", _QUEUE, "", (_BATCH,), context.clock.get_utc())
    key = model.TaskKey("00", 0, 0, 0)
    entry.suspects[key] = _state.TaskEntry(
        key,
        _BATCH,
        _state.JobEntry(job, 1),
        _state.TaskPhase.RUNNING,
        entry,
        run=2,
        crashes={1: model.CrashRole.SUSPECT},
        placed_at=context.get_now(),
        confirmed=context.get_now(),
    )


def _trust_others(context: _context.SchedulerContext) -> None:
    """Records that all runners but the first have been used before."""
    for identifier in context.fleet:
        if identifier != "i-0":
            context.health.trust(identifier)


def _prove_others(context: _context.SchedulerContext) -> None:
    """Records that all runners but the first have run a task."""
    for identifier in context.fleet:
        if identifier != "i-0":
            context.health.record_exit(
                health.RunOutcome(
                    identifier,
                    standin_fleet.SERVICE,
                    (model.TaskKey("00", 0, 0, 0), 1),
                    _QUEUE.name,
                    False,
                    context.get_now(),
                    False,
                ),
                context.get_now(),
            )


@pytest.mark.parametrize(
    ("change", "earlier_tasks", "max_attempts", "expected"),
    [
        (_isolate, 0, 3, where.Exclusion.ISOLATED),
        # Four tasks may start at once on a runner that is not known.
        (_trust_others, 30, 3, where.Exclusion.START_LIMIT),
        (_prove_others, 0, 1, where.Exclusion.NOT_PROVEN),
    ],
)
def test_runners_with_doubtful_health_have_their_reason(
    change: typing.Callable[[_context.SchedulerContext], None],
    earlier_tasks: int,
    max_attempts: int,
    expected: where.Exclusion,
) -> None:
    """Guards against a wrong reason where the runner's past decides."""

    async def simulate() -> where.Answer:
        fleet = await _start_fleet()
        _, context = _get_scheduler(fleet)
        change(context)
        if earlier_tasks:
            step = attrs.evolve(_BATCH, count=earlier_tasks, resources=_SMALL)
            await fleet.submit("01", step)
            await asyncio.sleep(0.3)
        queue = attrs.evolve(_QUEUE, max_attempts=max_attempts)
        step = attrs.evolve(_BATCH, count=1, resources=_SMALL)
        return _ask(fleet, (step,), queue)

    (answer,) = virtual_time.run_virtually(simulate()).steps
    assert [(item.reason, item.examples) for item in answer.excluded] == [
        (expected, ("i-0",))
    ]


def test_evacuated_and_unknown_data_centres() -> None:
    """Guards against two reasons that need different actions in one word."""

    async def simulate() -> list[where.Exclusion]:
        fleet = standin_fleet.VirtualFleet(2, data_centres=("east", "west"))
        fleet.bounds = attrs.evolve(fleet.bounds, evacuation=4 * _SECOND)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        fleet.evacuate("east")
        await asyncio.sleep(2)
        first = _ask(fleet, (_BATCH,)).steps[0]
        assert {rated.data_centre for rated in first.next_best} <= {"west"}
        fleet.store.is_down = True
        await asyncio.sleep(3.5)
        second = _ask(fleet, (_BATCH,)).steps[0]
        return [first.excluded[0].reason, second.excluded[0].reason]

    assert virtual_time.run_virtually(simulate()) == [
        where.Exclusion.EVACUATED,
        where.Exclusion.EVACUATIONS_UNKNOWN,
    ]


def test_policy_queue_needs_tickets_and_asks_for_none() -> None:
    """Guards against a dry run that uses the policy service."""

    async def simulate() -> tuple[where.Answer, list[str]]:
        fleet = await _start_fleet()
        service = advice.AdviceStandIn({"i-0": "t"})
        fleet.network.serve(standin_fleet.ADVICE_ADDRESS, service.handle)
        answer = _ask(fleet, (_BATCH,), _POLICY_QUEUE)
        await asyncio.sleep(1)
        return answer, service.steps

    answer, requested = virtual_time.run_virtually(simulate())
    assert not requested
    (step,) = answer.steps
    assert step.placed == 0
    assert step.excluded[0].reason is where.Exclusion.NO_TICKET
    assert len(step.next_best) == 5
    # 50 ms, and 2 ms for each of the six runners.
    assert step.expected_wait == 0.062 * _SECOND
    assert [remark.kind for remark in step.remarks] == ["tickets"]


def test_objective_and_prospect() -> None:
    """Guards against an objective that differs from the one in the order."""

    async def simulate() -> where.Answer:
        fleet = await _start_fleet()
        steps = (_BATCH, attrs.evolve(_BATCH, after=(0,)))
        return _ask(fleet, steps, _TIMELY)

    answer = virtual_time.run_virtually(simulate())
    assert answer.objective == where.Objective(
        # 1.5 times a second of work, and 2 s.
        3.5 * _SECOND,
        # With estimates that are half of the run time.
        5 * _SECOND,
        "in time",
    )
    assert answer.later_steps == (1,)
