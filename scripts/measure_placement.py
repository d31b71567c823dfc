"""Measures the CPU time of placement passes.

Prints, for fleets of several sizes, the CPU time to create the candidates and
to choose runners for waiting steps of eight tasks. Half of the steps are
best-effort steps; all runners have serving tasks.
"""

import datetime
import random
import time

from tamarackhatch import model
from tamarackhatch import placement

_FLEET_SIZES = (33, 246, 2000)
_WAITING_TASKS = (100, 1000, 10_000)
_TASKS_PER_STEP = 8
# Larger products of runners and waiting tasks are left out: they take minutes
# and show the same as the smaller ones.
_MAX_PRODUCT = 10_000_000
_RUNNER_CAPACITY = model.Resources(64_000, 256_000)
_SERVING_IMAGE_COUNT = 5
_POLICY = placement.PlacementPolicy()
_NOW = datetime.timedelta(seconds=1)
_BATCH_STEP = model.Step(_TASKS_PER_STEP, model.Resources(6_000, 13_000))


def _make_serving_step(image: int) -> model.Step:
    return model.Step(
        1,
        model.Resources(13_000, 26_000),
        is_long_running=True,
        image=f"watch-{image}",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )


def _make_best_effort_step() -> model.Step:
    return model.Step(
        _TASKS_PER_STEP,
        model.Resources(7_000, 13_000),
        is_best_effort=True,
        image=f"report-{random.randrange(9)}",
    )


def _make_fleet(runner_count: int) -> list[placement.RunnerLoad]:
    loads = []
    for index in range(runner_count):
        load = placement.RunnerLoad(
            f"i-{index}", "s", _RUNNER_CAPACITY, ("a", "r1")
        )
        step = _make_serving_step(index % _SERVING_IMAGE_COUNT)
        for number in range(3):
            load.add_task(model.TaskKey(f"{index}", 0, 0, number), step)
        loads.append(load)
    return loads


def _measure_pass(runner_count: int, waiting_tasks: int) -> tuple[float, int]:
    loads = _make_fleet(runner_count)
    interference = placement.InterferenceModel()
    placed_tasks = 0
    start_cpu_time_s = time.process_time()
    candidates = [
        placement.CandidateRunner(load, interference, _POLICY, _NOW)
        for load in loads
    ]
    for number in range(waiting_tasks // _TASKS_PER_STEP):
        step = _make_best_effort_step() if number % 2 else _BATCH_STEP
        keys = [
            model.TaskKey(f"{number}", 0, 0, n) for n in range(_TASKS_PER_STEP)
        ]
        choices = placement.choose_runners(keys, step, candidates, _POLICY)
        placed_tasks += len(choices)
    return time.process_time() - start_cpu_time_s, placed_tasks


def main() -> None:
    """Prints one line for each fleet size and number of waiting tasks."""
    random.seed(1)
    for runner_count in _FLEET_SIZES:
        for waiting_tasks in _WAITING_TASKS:
            if runner_count * waiting_tasks > _MAX_PRODUCT:
                print(
                    f"{runner_count} runners, {waiting_tasks} tasks: not run"
                )
                continue
            cpu_time_s, placed_tasks = _measure_pass(
                runner_count, waiting_tasks
            )
            print(
                f"{runner_count} runners, {waiting_tasks} tasks: "
                f"{cpu_time_s:.3f} s, "
                f"{cpu_time_s / waiting_tasks * 1e6:.0f} us a task, "
                f"{placed_tasks} placed"
            )


if __name__ == "__main__":
    main()
