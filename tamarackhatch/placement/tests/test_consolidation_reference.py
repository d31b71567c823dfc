"""Compares planned moves with a search of all combinations on drawn fleets."""

from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import itertools

import attrs
import hypothesis
from hypothesis import strategies

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.placement import _consolidation

_CAPACITY = model.Resources(32_000, 64_000, 1)


@attrs.frozen
class _TaskSetup:
    """A long-running task; tasks of one job are of one step."""

    job: int
    cores: int
    memory_mb: int
    priority: float
    limit: int


@attrs.frozen
class _RunnerSetup:
    """A runner with its tasks, and whether batch tasks may start there."""

    tasks: tuple[_TaskSetup, ...]
    penalty: float
    start_limit: int


_TASKS = strategies.builds(
    _TaskSetup,
    job=strategies.integers(0, 8),
    cores=strategies.integers(2, 14),
    memory_mb=strategies.sampled_from([1000, 20_000]),
    priority=strategies.sampled_from([0.0, 0.0, -1.0]),
    limit=strategies.integers(0, 1),
)
_RUNNERS = strategies.lists(
    strategies.builds(
        _RunnerSetup,
        tasks=strategies.lists(_TASKS, max_size=5).map(tuple),
        penalty=strategies.sampled_from([0.0, 0.0, 0.0, 1.0]),
        start_limit=strategies.sampled_from([9, 9, 0]),
    ),
    min_size=1,
    max_size=7,
)
_DEMANDS = strategies.lists(
    strategies.builds(
        model.Step,
        count=strategies.just(1),
        resources=strategies.builds(
            model.Resources,
            processors=strategies.integers(8, 32).map(lambda it: it * 1000),
            memory_mb=strategies.sampled_from([1000, 40_000]),
        ),
        max_per_runner=strategies.integers(0, 1),
    ),
    min_size=1,
    max_size=5,
)


def _make_planner(
    runners: Sequence[_RunnerSetup],
    kind: type[placement.ConsolidationPlanner],
) -> placement.ConsolidationPlanner:
    sources, targets = [], []
    for number, runner in enumerate(runners):
        load = placement.RunnerLoad(f"i-{number}", "s", _CAPACITY)
        movable = []
        for index, task in enumerate(runner.tasks):
            step = model.Step(
                20,
                model.Resources(task.cores * 1000, task.memory_mb),
                is_long_running=True,
                max_per_runner=task.limit,
                image=f"image-{task.job % 3}",
                tail_latency_target=datetime.timedelta(milliseconds=50),
            )
            if not load.has_capacity(step):
                continue
            key = model.TaskKey(f"j-{task.job}", 0, 0, 10 * number + index)
            load.add_task(key, step)
            movable.append(placement.MovableTask(key, step, task.priority))
        candidate = placement.CandidateRunner(
            load,
            placement.InterferenceModel(),
            placement.PlacementPolicy(),
            datetime.timedelta(),
        )
        candidate.penalty = runner.penalty
        candidate.start_limit = runner.start_limit
        targets.append(candidate)
        sources.append(placement.MoveSource(candidate, movable))
    return kind(sources, targets)


class _FullSearch(placement.ConsolidationPlanner):
    """Looks at every combination of every source, from its present load."""

    def _iterate_options(
        self, key: model.TaskKey, step: model.Step, count: int, priority: float
    ) -> Iterator[_consolidation._Option]:
        for prepared in self._sources:
            source = prepared.source
            load = source.candidate.load
            if load.transient_count >= source.candidate.start_limit:
                continue
            if not placement.is_allowed(load, key, step):
                continue
            movable = sorted(
                (
                    task
                    for task in source.tasks
                    if task.priority >= priority
                    and task.processors <= self._pieces[-1][0]
                    and task.step_name not in self._moved_steps
                ),
                key=lambda task: -task.processors,
            )
            options = []
            for tasks in itertools.combinations(movable, count):
                free = load.compute_free()
                for task in tasks:
                    free += task.step.reserved
                names = {task.step_name for task in tasks}
                if len(names) == count and step.reserved.fits_in(free):
                    options.append(
                        _consolidation._Option(
                            sum(task.processors for task in tasks),
                            source,
                            tasks,
                        )
                    )
            if options:
                yield min(options, key=lambda option: option.processors)


def _plan_all(
    planner: placement.ConsolidationPlanner,
    demands: Sequence[model.Step],
    priority: float,
) -> list[list[tuple[model.TaskKey, str, str]]]:
    return [
        [
            (move.task.key, move.source, move.target.load.identifier)
            for move in planner.plan(
                model.TaskKey(f"urgent-{number}", 0, 0, 0), step, 3, priority
            )
        ]
        for number, step in enumerate(demands)
    ]


@hypothesis.given(_RUNNERS, _DEMANDS, strategies.sampled_from([0.0, -1.0]))
@hypothesis.settings(max_examples=400, deadline=None)
def test_moves_are_those_of_a_search_of_all_combinations(
    runners: list[_RunnerSetup], demands: list[model.Step], priority: float
) -> None:
    """Guards against sources that are skipped although moves would help."""
    assert _plan_all(
        _make_planner(runners, placement.ConsolidationPlanner),
        demands,
        priority,
    ) == _plan_all(_make_planner(runners, _FullSearch), demands, priority)
