"""What dry runs say of the objective, of refusals and of waits."""

import asyncio

import attrs
import pytest

from standins import virtual_time
from tamarackhatch.scheduler.tests import dry_run_trial
from tamarackhatch import where


def test_objective_and_prospect() -> None:
    """Guards against an objective that differs from the one in the order."""

    async def simulate() -> where.Answer:
        fleet = await dry_run_trial.start_fleet()
        steps = (
            dry_run_trial.BATCH,
            attrs.evolve(dry_run_trial.BATCH, after=(0,)),
        )
        return dry_run_trial.ask(fleet, steps, dry_run_trial.TIMELY)

    answer = virtual_time.run_virtually(simulate())
    assert answer.objective == where.Objective(
        # 1.5 times a second of work, and 2 s.
        3.5 * dry_run_trial.SECOND,
        # With estimates that are half of the run time.
        5 * dry_run_trial.SECOND,
        "in time",
    )
    assert answer.later_steps == (1,)


def test_refusal_under_overload_is_named() -> None:
    """Guards against an answer that leaves out the decision to refuse.

    Load: more work waits than fits within three times the objective.
    """

    async def simulate() -> None:
        fleet = await dry_run_trial.start_fleet()
        wide = (dry_run_trial.WIDE,)
        queue = dry_run_trial.TIMELY
        assert dry_run_trial.ask(fleet, wide, queue).refusal is None
        # Those that wait already are late, and go behind new ones.
        for number in range(80):
            await fleet.submit(f"wide{number}", *wide, queue=queue)
            await asyncio.sleep(0.05)
        answer = dry_run_trial.ask(fleet, wide, queue)
        assert "it would wait" in (answer.refusal or "")

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("remote_slowdown", [None, 1.5])
def test_wait_for_a_near_place_is_named(remote_slowdown: float | None) -> None:
    """Guards against an answer that leaves out the decision to wait."""

    async def simulate() -> None:
        fleet = await dry_run_trial.start_fleet(
            remote_slowdown=remote_slowdown
        )
        near = attrs.evolve(dry_run_trial.BATCH, preferred_rack="r1")
        (step,) = dry_run_trial.ask(fleet, (near,)).steps
        kinds = [remark.kind for remark in step.remarks]
        assert ("near_place" in kinds) is (remote_slowdown is not None)

    virtual_time.run_virtually(simulate())
