"""Measures the processor time of placement passes.

Prints, for fleets of several sizes, the time to choose runners for waiting
tasks of one priority, half of them fillers, with serving tasks everywhere.
"""

import datetime
import random
import time

from tamarackhatch import model
from tamarackhatch import placement

_FLEETS = (33, 246, 2000)
_WAITING = (100, 1000, 10_000)
# The largest pair takes minutes and says nothing that the others do not.
_MAX_RATINGS = 3_000_000
_CAPACITY = model.Resources(64_000, 256_000)
_SERVING = model.Step(
    1,
    model.Resources(13_000, 26_000),
    is_lasting=True,
    image="watch",
    tail_target=datetime.timedelta(milliseconds=50),
)
_BATCH = model.Step(1, model.Resources(6_000, 13_000))
_FILLER = model.Step(
    1, model.Resources(7_000, 13_000), is_filler=True, image="report"
)


def _make_fleet(size: int) -> list[placement.Candidate]:
    candidates = []
    for index in range(size):
        load = placement.RunnerLoad(f"i-{index}", "s", _CAPACITY, ("a", "r1"))
        states = []
        for number in range(3):
            load.add(model.TaskKey(f"{index}", 0, 0, number), _SERVING)
            own_load = random.uniform(0.2, 0.7)
            states.append(placement.ServingState("watch", own_load, 0.0, 0.8))
        candidates.append(placement.Candidate(load, 0.0, tuple(states)))
    return candidates


def _measure(fleet: int, waiting: int) -> tuple[float, int]:
    candidates = _make_fleet(fleet)
    factors = placement.InterferenceModel()
    placed = 0
    began = time.process_time()
    for number in range(waiting):
        step = _FILLER if number % 2 else _BATCH
        key = model.TaskKey("job", 0, 0, number)
        choice = placement.choose_runner(key, step, candidates, factors)
        if choice is not None:
            choice.candidate.load.add(key, step)
            placed += 1
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
