"""Moves of long-running tasks that make room for a batch task."""

import datetime

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import placement

_CAPACITY = model.Resources(48_000, 96_000)
_WAITING = model.TaskKey("urgent", 0, 0, 0)


@attrs.frozen
class Case:
    """Runners by the cores of their tasks, and a waiting task.

    Attributes:
        runners: Cores of the long-running tasks on each runner.
        cores: Cores of the waiting task.
        moves: Expected moves, each as cores, source and target.
        most: Largest number of moves.
        memory_mb: Memory of the waiting task.
        limited: Numbers of the runners whose tasks are of one step, of which
            a runner gets one task.
        of_one_step: Whether all tasks are of one step.
        failing: Numbers of runners on which runs fail.
        urgent: Numbers of runners with tasks of a more urgent queue.
    """

    runners: tuple[tuple[int, ...], ...]
    cores: int
    moves: tuple[tuple[int, int, int], ...]
    most: int = 10
    memory_mb: int = 1000
    limited: tuple[int, ...] = ()
    of_one_step: bool = False
    failing: tuple[int, ...] = ()
    urgent: tuple[int, ...] = ()


def _make_step(cores: int, limit: int = 0) -> model.Step:
    return model.Step(
        1,
        model.Resources(cores * 1000, cores * 1000),
        is_long_running=True,
        max_per_runner=limit,
        image="watch",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )


def _make_planner(case: Case) -> placement.ConsolidationPlanner:
    sources, targets = [], []
    for number, runner in enumerate(case.runners):
        load = placement.RunnerLoad(f"i-{number}", "office", _CAPACITY)
        tasks = []
        for index, cores in enumerate(runner):
            is_limited = number in case.limited
            step = _make_step(cores, int(is_limited))
            job = "limited" if is_limited else f"watch-{number}-{index}"
            if case.of_one_step:
                job = "watch"
            key = model.TaskKey(job, 0, 0, 100 * number + index)
            load.add_task(key, step)
            priority = -1.0 if number in case.urgent else 0.0
            tasks.append(placement.MovableTask(key, step, priority))
        candidate = placement.CandidateRunner(
            load,
            placement.InterferenceModel(),
            placement.PlacementPolicy(),
            datetime.timedelta(),
        )
        candidate.penalty = float(number in case.failing)
        targets.append(candidate)
        sources.append(placement.MoveSource(candidate, tasks))
    return placement.ConsolidationPlanner(sources, targets)


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(((12, 12, 12), (12, 12, 12)), 24, ((12, 0, 1),)),
            id="one-move-joins-two-pieces",
        ),
        pytest.param(
            Case(((16, 10, 10), (12, 12, 12)), 20, ((10, 0, 1),)),
            id="the-smallest-task-that-suffices",
        ),
        pytest.param(
            Case(((12, 12, 12), (36,), (30, 4)), 24, ((12, 0, 1),)),
            id="the-smallest-piece-that-suffices",
        ),
        pytest.param(
            Case(
                ((12, 12, 12), (36,), (36,)),
                36,
                ((12, 0, 1), (12, 0, 2)),
            ),
            id="two-moves-to-two-runners",
        ),
        pytest.param(
            Case(((12, 12, 12), (36,), (36,)), 36, (), most=1),
            id="no-more-moves-than-allowed",
        ),
        pytest.param(
            Case(((12, 12, 16), (12, 12, 16)), 24, ()),
            id="pieces-smaller-than-each-task",
        ),
        pytest.param(
            Case(((12, 12, 12), (12, 12, 12)), 24, (), memory_mb=90_000),
            id="too-little-memory",
        ),
        pytest.param(
            Case(((12, 12, 12), (12, 12, 12)), 24, (), limited=(0, 1)),
            id="limit-of-a-step-on-a-runner",
        ),
        pytest.param(
            Case(((12, 12, 12), (36,), (36,)), 36, (), of_one_step=True),
            id="one-task-of-a-step",
        ),
        pytest.param(
            Case(
                ((12, 12, 12), (12, 12, 12)), 24, ((12, 1, 0),), failing=(1,)
            ),
            id="no-move-to-a-runner-on-which-runs-fail",
        ),
        pytest.param(
            Case(((12, 12, 12), (12, 12, 12)), 24, ((12, 1, 0),), urgent=(0,)),
            id="tasks-of-a-more-urgent-queue-stay",
        ),
    ],
)
def test_fewest_moves_that_make_room_are_planned(case: Case) -> None:
    """Guards against moves that do not help, or that break a limit."""
    planner = _make_planner(case)
    step = model.Step(1, model.Resources(case.cores * 1000, case.memory_mb))
    moves = planner.plan(_WAITING, step, case.most)
    assert (
        tuple(
            (
                move.task.processors // 1000,
                int(move.source.removeprefix("i-")),
                int(move.target.load.identifier.removeprefix("i-")),
            )
            for move in moves
        )
        == case.moves
    )


def test_moves_for_several_tasks_share_no_runner_and_are_released() -> None:
    """Guards against pieces that are counted for two waiting tasks."""
    planner = _make_planner(Case(((12, 12, 12),) * 5, 24, ()))
    step = model.Step(1, model.Resources(24_000, 1000))
    plans = [planner.plan(_WAITING, step, 10) for _ in range(3)]
    used = [
        identifier
        for moves in plans
        for move in moves
        for identifier in (move.source, move.target.load.identifier)
    ]
    assert len(used) == len(set(used)) == 4
    assert not plans[2]
    planner.release()
    for moves in plans:
        for move in moves:
            assert move.target.load.reserved_cpu == 36_000
