"""Reasons for which a dry run excludes runners."""

import asyncio
import typing

import attrs
import pytest

from standins import advice
from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import health
from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler.tests import dry_run_trial
from tamarackhatch import where


def _drain(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].state = "draining"


def _break_down(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].is_down = True


def _eject(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = dry_run_trial.get_scheduler(fleet)
    context.health.set_limits({standin_fleet.SERVICE: 2}, context.get_now())
    context.health.record_stall(
        "i-0", standin_fleet.SERVICE, context.get_now()
    )


def _avoid(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = dry_run_trial.get_scheduler(fleet)
    context.fleet["i-0"].avoid_until = (
        context.get_now() + 60 * dry_run_trial.SECOND
    )


def _unregister(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = dry_run_trial.get_scheduler(fleet)
    context.fleet["i-0"].is_registered = False


def _hide_runs(fleet: standin_fleet.VirtualFleet) -> None:
    _, context = dry_run_trial.get_scheduler(fleet)
    context.fleet["i-0"].has_unknown_runs = True


def _do_nothing(fleet: standin_fleet.VirtualFleet) -> None:
    pass


@pytest.mark.parametrize(
    ("change", "step", "expected"),
    [
        (_drain, dry_run_trial.BATCH, {where.Exclusion.DRAINING: ("i-0",)}),
        (
            _break_down,
            dry_run_trial.BATCH,
            {where.Exclusion.NOT_ANSWERING: ("i-0",)},
        ),
        (_eject, dry_run_trial.BATCH, {where.Exclusion.EJECTED: ("i-0",)}),
        (_avoid, dry_run_trial.BATCH, {where.Exclusion.AVOIDED: ("i-0",)}),
        (
            _unregister,
            dry_run_trial.BATCH,
            {where.Exclusion.UNREGISTERED: ("i-0",)},
        ),
        (
            _hide_runs,
            dry_run_trial.BATCH,
            {where.Exclusion.UNSETTLED: ("i-0",)},
        ),
        (
            _do_nothing,
            attrs.evolve(dry_run_trial.BATCH, required_label="r3"),
            {where.Exclusion.LABEL: ("i-0", "i-1", "i-2")},
        ),
        (
            _do_nothing,
            attrs.evolve(
                dry_run_trial.BATCH, resources=model.Resources(25_000, 1)
            ),
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
        fleet = await dry_run_trial.start_fleet()
        change(fleet)
        if change in (_drain, _break_down):
            # Until the scheduler has noticed it.
            await asyncio.sleep(2)
        return dry_run_trial.ask(fleet, (attrs.evolve(step, count=1),))

    (answer,) = virtual_time.run_virtually(simulate()).steps
    assert {item.reason: item.examples for item in answer.excluded} == expected


def _isolate(context: _context.SchedulerContext) -> None:
    """Lets a task that may crash its runner run on the first runner."""
    entry = context.fleet["i-0"]
    job = model.Job(
        "00",
        dry_run_trial.QUEUE,
        "",
        (dry_run_trial.BATCH,),
        context.clock.get_utc(),
    )
    key = model.TaskKey("00", 0, 0, 0)
    entry.suspects[key] = _state.TaskEntry(
        key,
        dry_run_trial.BATCH,
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
                    dry_run_trial.QUEUE.name,
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
        fleet = await dry_run_trial.start_fleet()
        _, context = dry_run_trial.get_scheduler(fleet)
        change(context)
        if earlier_tasks:
            step = attrs.evolve(
                dry_run_trial.BATCH,
                count=earlier_tasks,
                resources=dry_run_trial.SMALL,
            )
            await fleet.submit("01", step)
            await asyncio.sleep(0.3)
        queue = attrs.evolve(dry_run_trial.QUEUE, max_attempts=max_attempts)
        step = attrs.evolve(
            dry_run_trial.BATCH, count=1, resources=dry_run_trial.SMALL
        )
        return dry_run_trial.ask(fleet, (step,), queue)

    (answer,) = virtual_time.run_virtually(simulate()).steps
    assert [(item.reason, item.examples) for item in answer.excluded] == [
        (expected, ("i-0",))
    ]


def test_evacuated_and_unknown_data_centres() -> None:
    """Guards against two reasons that need different actions in one word."""

    async def simulate() -> list[where.Exclusion]:
        fleet = standin_fleet.VirtualFleet(2, data_centres=("east", "west"))
        fleet.bounds = attrs.evolve(
            fleet.bounds, evacuation=4 * dry_run_trial.SECOND
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        fleet.evacuate("east")
        await asyncio.sleep(2)
        first = dry_run_trial.ask(fleet, (dry_run_trial.BATCH,)).steps[0]
        assert {rated.data_centre for rated in first.next_best} <= {"west"}
        fleet.store.is_down = True
        await asyncio.sleep(3.5)
        second = dry_run_trial.ask(fleet, (dry_run_trial.BATCH,)).steps[0]
        return [first.excluded[0].reason, second.excluded[0].reason]

    assert virtual_time.run_virtually(simulate()) == [
        where.Exclusion.EVACUATED,
        where.Exclusion.EVACUATIONS_UNKNOWN,
    ]


def test_policy_queue_needs_tickets_and_asks_for_none() -> None:
    """Guards against a dry run that uses the policy service."""

    async def simulate() -> tuple[where.Answer, list[str]]:
        fleet = await dry_run_trial.start_fleet()
        service = advice.AdviceStandIn({"i-0": "t"})
        fleet.network.serve(standin_fleet.ADVICE_ADDRESS, service.handle)
        answer = dry_run_trial.ask(
            fleet, (dry_run_trial.BATCH,), dry_run_trial.POLICY_QUEUE
        )
        await asyncio.sleep(1)
        return answer, service.steps

    answer, requested = virtual_time.run_virtually(simulate())
    assert not requested
    (step,) = answer.steps
    assert step.placed == 0
    assert step.excluded[0].reason is where.Exclusion.NO_TICKET
    assert len(step.next_best) == 5
    # 50 ms, and 2 ms for each of the six runners.
    assert step.expected_wait == 0.062 * dry_run_trial.SECOND
    assert [remark.kind for remark in step.remarks] == ["tickets"]
