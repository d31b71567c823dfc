"""Combinations of serving tasks that fill runners almost completely.

Answers the load in which many serving tasks come at once and reserve most of a
service. Placed one by one, they leave a few processors on each runner, too few
for any batch task. Combinations leave whole runners free instead, and keep
tasks of different images apart.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _choice
from tamarackhatch.placement import _load

# Processors are counted in this many parts of a runner.
_PARTS = 1000
# Share of a runner's processors that a combination may leave, by whether it is
# of one image. The small ones first, so that tasks which fit well together
# are not split up.
_ONE_IMAGE_SLACKS = (0.01, 0.06)
_ALL_IMAGES_SLACKS = (0.005, 0.02)
# Steps that are combined at a time, because the time for a runner grows with
# their number.
_MAX_STEPS = 50
# Combinations that do not fit after all, by their memory or by a rounding
# error, after which a runner is left out.
_MAX_ATTEMPTS = 8


@attrs.define
class FillingStep:
    """Serving tasks of one step that may be combined with others.

    Attributes:
        step: The step.
        keys: Its waiting tasks; those that get a place are removed.
    """

    step: model.Step
    keys: list[model.TaskKey]

    def count_allowed(self, load: _load.RunnerLoad) -> int:
        """Returns how many of the tasks a runner may get beside others."""
        limit = self.step.max_per_runner
        if not limit:
            return len(self.keys)
        key = self.keys[0]
        present = load.step_counts[(key.job, key.occurrence, key.step)]
        return max(0, min(len(self.keys), limit - present))


def fill_runners(
    steps: Sequence[FillingStep],
    candidates: Sequence[_candidate.CandidateRunner],
    may_mix_images: bool,
    min_runners: float,
) -> list[_choice.Choice]:
    """Returns places for serving tasks that fill runners together.

    Adds the tasks to the loads of the chosen runners. Tasks that fill no
    runner stay in their steps.

    Args:
        steps: Steps with waiting tasks, none of them with a required label.
        candidates: Runners to choose from.
        may_mix_images: Whether tasks of several images may fill a runner if
            none of its own images does.
        min_runners: Number of runners that the tasks of an image have to need.
    """
    choices: list[_choice.Choice] = []
    by_image = _group_by_image(steps, candidates, min_runners)
    runners = [candidate for candidate in candidates if not candidate.penalty]
    # The fullest first; of the empty ones, those with few best-effort tasks.
    runners.sort(
        key=lambda candidate: (
            not candidate.load.serving,
            candidate.load.compute_free().processors,
            candidate.load.best_effort_cpu,
        )
    )
    for slack in _ONE_IMAGE_SLACKS:
        for image, group in by_image.items():
            own = (
                candidate
                for candidate in runners
                if _serves_only(candidate.load, image)
            )
            choices += _fill_each(group, own, slack)
    if may_mix_images:
        everything = list(itertools.chain.from_iterable(by_image.values()))
        everything.sort(key=_get_preference)
        for slack in _ALL_IMAGES_SLACKS:
            choices += _fill_each(everything, runners, slack)
    return choices


def _group_by_image(
    steps: Sequence[FillingStep],
    candidates: Sequence[_candidate.CandidateRunner],
    min_runners: float,
) -> dict[str, list[FillingStep]]:
    """Returns the steps of the images that need enough runners, by image."""
    by_image: dict[str, list[FillingStep]] = {}
    for item in sorted(steps, key=_get_preference):
        by_image.setdefault(item.step.image, []).append(item)
    capacity = sum(candidate.processors for candidate in candidates)
    return {
        image: group
        for image, group in by_image.items()
        if _sum_awaited(group) * len(candidates) >= min_runners * capacity
    }


def _sum_awaited(steps: Iterable[FillingStep]) -> int:
    """Returns the CPU that waiting tasks ask for."""
    return sum(
        len(item.keys) * item.step.reserved.processors for item in steps
    )


def _get_preference(item: FillingStep) -> tuple[bool, int]:
    """Returns a sort key: tasks that are hard to place later go first."""
    step = item.step
    return (not step.max_per_runner, -step.reserved.processors)


def _serves_only(load: _load.RunnerLoad, image: str) -> bool:
    return all(group.image == image for group in load.serving.values())


def _fill_each(
    steps: Sequence[FillingStep],
    candidates: Iterable[_candidate.CandidateRunner],
    slack: float,
) -> Iterator[_choice.Choice]:
    """Yields places on the runners that the tasks of some steps fill."""
    waiting = [item for item in steps if item.keys]
    if not waiting:
        return
    awaited = _sum_awaited(waiting)
    smallest = min(item.step.reserved.processors for item in waiting)
    for candidate in candidates:
        load = candidate.load
        free = load.compute_free()
        most = awaited + slack * candidate.processors
        if not smallest <= free.processors <= most:
            continue
        counts = _combine(
            waiting[:_MAX_STEPS], load, free, candidate.processors, slack
        )
        if counts is None:
            continue
        is_used_up = False
        for item, count in zip(waiting, counts):
            for _ in range(count):
                key = item.keys.pop(0)
                load.add_task(key, item.step)
                awaited -= item.step.reserved.processors
                yield _choice.Choice(key, candidate, 1.0)
            is_used_up = is_used_up or not item.keys
        if is_used_up:
            waiting = [item for item in waiting if item.keys]
            if not waiting:
                return
            smallest = min(item.step.reserved.processors for item in waiting)


def _combine(
    steps: Sequence[FillingStep],
    load: _load.RunnerLoad,
    free: model.Resources,
    processors: int,
    slack: float,
) -> list[int] | None:
    """Returns how many tasks of each step fill a runner together.

    Args:
        steps: Steps with waiting tasks; of several combinations that are
            equally good, one with tasks of the first steps is chosen.
        load: Load of the runner.
        free: Resources that nothing reserves there.
        processors: Processors of the runner, in thousandths of a core.
        slack: Share of the processors that may be left.

    Returns:
        The numbers; None if no combination leaves so little.
    """
    part = processors / _PARTS
    parts = int(free.processors / part)
    mask = (1 << (parts + 1)) - 1
    # Bit N of `reachable` tells whether tasks can take N parts together.
    reachable = 1
    layers: list[tuple[int, int, int]] = []
    for index, item in enumerate(steps):
        # Rounded; the sum is compared without rounding below.
        size = round(item.step.reserved.processors / part)
        if not size:
            continue
        for _ in range(min(item.count_allowed(load), parts // size)):
            layers.append((reachable, index, size))
            reachable |= (reachable << size) & mask
    least = max(1, parts - int(slack * _PARTS))
    for _ in range(_MAX_ATTEMPTS):
        total = reachable.bit_length() - 1
        if total < least:
            return None
        counts = _trace_back(layers, total, len(steps))
        reserved = model.Resources()
        for item, count in zip(steps, counts):
            for _ in range(count):
                reserved += item.step.reserved
        if reserved.fits_in(free):
            return counts
        reachable &= ~(1 << total)
    return None


def _trace_back(
    layers: Sequence[tuple[int, int, int]], total: int, steps: int
) -> list[int]:
    """Returns how many tasks of each step take a total number of parts."""
    counts = [0] * steps
    for reachable_before, index, size in reversed(layers):
        if not (reachable_before >> total) & 1:
            counts[index] += 1
            total -= size
    return counts
