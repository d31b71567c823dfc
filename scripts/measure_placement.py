"""Measures the processor time of placement passes.

Prints, for fleets of several sizes, the time to build the candidates and to
choose runners for waiting steps of eight tasks, half of them best-effort
tasks, with serving tasks everywhere.
"""

import datetime
import random
import time

from tamarackhatch import model
from tamarackhatch import placement

_FLEETS = (33, 246, 2000)
_WAITING = (100, 1000, 10_000)
_WIDTH = 8
# The largest pair takes minutes and says nothing that the others do not.
_MAX_RATINGS = 10_000_000
_CAPACITY = model.Resources(64_000, 256_000)
_IMAGES = 5
_POLICY = placement.PlacementPolicy()
_NOW = datetime.timedelta(seconds=1)
_BATCH = model.Step(_WIDTH, model.Resources(6_000, 13_000))


def _make_serving(image: int) -> model.Step:
    return model.Step(
        1,
        model.Resources(13_000, 26_000),
        is_long_running=True,
        image=f"watch-{image}",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )


def _make_best_effort() -> model.Step:
    return model.Step(
        _WIDTH,
        model.Resources(7_000, 13_000),
        is_best_effort=True,
        image=f"report-{random.randrange(9)}",
    )


def _make_fleet(size: int) -> list[placement.RunnerLoad]:
    loads = []
    for index in range(size):
        load = placement.RunnerLoad(f"i-{index}", "s", _CAPACITY, ("a", "r1"))
        step = _make_serving(index % _IMAGES)
        for number in range(3):
            load.add(model.TaskKey(f"{index}", 0, 0, number), step)
        loads.append(load)
    return loads


def _measure(fleet: int, waiting: int) -> tuple[float, int]:
    loads = _make_fleet(fleet)
    interference = placement.InterferenceModel()
    placed = 0
    began = time.process_time()
    candidates = [
        placement.CandidateRunner(load, interference, _POLICY, _NOW)
        for load in loads
    ]
    for number in range(waiting // _WIDTH):
        step = _make_best_effort() if number % 2 else _BATCH
        keys = [model.TaskKey(f"{number}", 0, 0, n) for n in range(_WIDTH)]
        choices = placement.choose_runners(keys, step, candidates, _POLICY)
        placed += len(choices)
    return time.process_time() - began, placed


def main() -> None:
    """Prints one line for each size."""
    random.seed(1)
    for fleet in _FLEETS:
        for waiting in _WAITING:
            if fleet * waiting > _MAX_RATINGS:
                print(f"{fleet} runners, {waiting} tasks: not run")
                continue
            seconds, placed = _measure(fleet, waiting)
            print(
                f"{fleet} runners, {waiting} tasks: {seconds:.3f} s, "
                f"{seconds / waiting * 1e6:.0f} us a task, {placed} placed"
            )


if __name__ == "__main__":
    main()
