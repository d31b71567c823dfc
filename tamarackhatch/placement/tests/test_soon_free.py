"""Compares the search for runners to reserve with one of all runners."""

import datetime

import attrs
import hypothesis
from hypothesis import strategies

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.placement import _reservations

_SECOND = datetime.timedelta(seconds=1)
_RESOURCES = strategies.builds(
    model.Resources,
    processors=strategies.integers(0, 16).map(lambda it: it * 1000),
    memory_mb=strategies.sampled_from([0, 1000, 30_000]),
    accelerators=strategies.sampled_from([0, 0, 1]),
)


@attrs.frozen
class _Start:
    """A task that starts on a runner; long-running without a run time."""

    runner: int
    reserved: model.Resources
    tenths: int | None


@attrs.frozen
class _Pass:
    """What happens before a pass, and its searches, each after a start."""

    pause_tenths: int
    ended: int
    stopping: model.Resources
    capacity: model.Resources
    searches: tuple[tuple[_Start, model.Resources], ...]


_STARTS = strategies.builds(
    _Start,
    runner=strategies.integers(0, 2),
    reserved=_RESOURCES,
    tenths=strategies.sampled_from([None, 0, 5, 24, 25, 26, 40]),
)
_PASSES = strategies.lists(
    strategies.builds(
        _Pass,
        pause_tenths=strategies.sampled_from([0, 0, 1, 5]),
        ended=strategies.integers(0, 3),
        stopping=strategies.sampled_from(
            [model.Resources(), model.Resources(), model.Resources(4000)]
        ),
        capacity=strategies.sampled_from(
            [model.Resources(32_000, 64_000, 1)] * 3
            + [model.Resources(24_000, 64_000, 1)]
        ),
        searches=strategies.lists(
            strategies.tuples(_STARTS, _RESOURCES), min_size=1, max_size=4
        ).map(tuple),
    ),
    min_size=1,
    max_size=6,
)


@attrs.frozen
class _Task:
    """A task on a runner, and when it is expected to end."""

    key: model.TaskKey
    step: model.Step
    end: datetime.timedelta


def _start(
    start: _Start,
    number: int,
    loads: list[placement.RunnerLoad],
    tasks: dict[str, list[_Task]],
    now: datetime.timedelta,
) -> None:
    load = loads[start.runner]
    step = model.Step(1, start.reserved, is_long_running=start.tenths is None)
    key = model.TaskKey(f"j-{number}", 0, 0, 0)
    load.add_task(key, step)
    tasks[load.identifier].append(
        _Task(key, step, now + (start.tenths or 0) * _SECOND / 10)
    )


@hypothesis.given(_PASSES)
@hypothesis.settings(max_examples=400, deadline=None)
def test_same_runners_as_a_search_of_all(passes: list[_Pass]) -> None:
    """Guards against a search that uses an outdated state of a runner."""
    loads = [
        placement.RunnerLoad(f"i-{number}", "s", model.Resources(32_000))
        for number in range(3)
    ]
    tasks: dict[str, list[_Task]] = {load.identifier: [] for load in loads}
    candidates = [
        placement.CandidateRunner(
            load,
            placement.InterferenceModel(),
            placement.PlacementPolicy(),
            datetime.timedelta(),
        )
        for load in loads
    ]
    now = datetime.timedelta()
    soon_free = placement.SoonFreeRunners()

    def list_runs(identifier: str) -> list[placement.TransientRun]:
        return [
            placement.TransientRun(
                task.step.reserved, max(_SECOND / 10, task.end - now)
            )
            for task in tasks[identifier]
            if not task.step.is_long_running
        ]

    def fits_soon(load: placement.RunnerLoad, step: model.Step) -> bool:
        release = placement.compute_release_time(
            load, step, list_runs(load.identifier)
        )
        return release is not None and release < _reservations.MAX_DURATION

    number = 0
    for placement_pass in passes:
        now += placement_pass.pause_tenths * _SECOND / 10
        changed = loads[placement_pass.ended % 3]
        changed.capacity = placement_pass.capacity
        changed.unassigned = placement_pass.stopping
        for task in tasks[changed.identifier][: placement_pass.ended]:
            changed.remove_task(task.key, task.step)
            tasks[changed.identifier].remove(task)
        soon_free.begin_pass(tasks)
        for start, demand in placement_pass.searches:
            number += 1
            _start(start, number, loads, tasks, now)
            # The time of the clock passes in a pass too.
            now += _SECOND / 20
            step = model.Step(1, demand)
            assert [
                candidate.load.identifier
                for candidate in soon_free.list_fitting(
                    demand, "s", candidates, now, list_runs
                )
            ] == [load.identifier for load in loads if fits_soon(load, step)]
