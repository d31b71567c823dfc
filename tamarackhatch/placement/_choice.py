"""Choice of runners for the tasks of a step, by pure functions."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import typing

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy


@attrs.frozen
class Rating:
    """How good a runner is for a task.

    Attributes:
        score: Higher is better.
        speed_limit: Share of its speed at which it could work without a target
            violation.
    """

    score: float
    speed_limit: float = 1.0


class Choice(typing.NamedTuple):
    """A task, the runner that was chosen for it, and its speed limit there."""

    key: model.TaskKey
    candidate: _candidate.CandidateRunner
    speed_limit: float


def is_allowed(
    load: _load.RunnerLoad, key: model.TaskKey, step: model.Step
) -> bool:
    """Tells whether a task may run on a runner at all, by its rules."""
    if step.required_label and step.required_label not in load.labels:
        return False
    if step.max_per_runner:
        name = (key.job, key.occurrence, key.step)
        return load.step_counts[name] < step.max_per_runner
    return True


def choose_runners(
    keys: Sequence[model.TaskKey],
    step: model.Step,
    candidates: Iterable[_candidate.CandidateRunner],
    policy: _policy.PlacementPolicy,
    min_speed: float = 1.0,
    is_excluded: Callable[[str], bool] = lambda identifier: False,
) -> list[Choice]:
    """Returns the best runners with capacity for tasks of one step.

    The loads of the chosen runners are changed as if the tasks ran there.

    Args:
        keys: The tasks, in the order in which they go first.
        step: Their step.
        candidates: The runners.
        policy: Weights and limits.
        min_speed: Best-effort tasks go only where they can work at this share
            of their speed at least.
        is_excluded: Tells which runners are left out.

    Returns:
        The choices, for the first tasks at least; fewer than tasks if there
        is no capacity for all.
    """
    if not keys:
        return []
    usable = [
        candidate
        for candidate in candidates
        if not is_excluded(candidate.load.identifier)
    ]
    heap: list[tuple[float, int, float]] = []
    for index, candidate in enumerate(usable):
        rating = _rate_if_possible(keys[0], step, candidate, policy)
        if rating is not None and rating.speed_limit >= min_speed:
            heap.append((-rating.score, index, rating.speed_limit))
    heapq.heapify(heap)
    choices: list[Choice] = []
    for key in keys:
        if not heap:
            break
        _, index, speed_limit = heapq.heappop(heap)
        candidate = usable[index]
        candidate.load.add(key, step)
        candidate.refresh()
        choices.append(Choice(key, candidate, speed_limit))
        rating = _rate_if_possible(key, step, candidate, policy)
        if rating is not None and rating.speed_limit >= min_speed:
            heapq.heappush(heap, (-rating.score, index, rating.speed_limit))
    return choices


def _rate_if_possible(
    key: model.TaskKey,
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> Rating | None:
    """Returns the rating of a runner; None if the task cannot run there."""
    load = candidate.load
    if not load.has_capacity(step) or not is_allowed(load, key, step):
        return None
    return rate(step, candidate, policy)


def rate(
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> Rating:
    """Returns how good a runner with capacity is for a task of a step."""
    load = candidate.load
    score = -policy.failure_weight * candidate.failures
    if step.preferred_rack and step.preferred_rack not in load.labels:
        score -= policy.locality_weight
    if step.is_best_effort:
        return _rate_for_best_effort(step, candidate, policy, score)
    used = (load.reserved_cpu + step.resources.processors) / (
        candidate.processors
    )
    if step.is_serving:
        score += policy.packing * used
        score -= policy.image_mixing_weight * _compute_image_mixing(step, load)
        return Rating(score - _forecast_utilisation(step, candidate))
    if candidate.headrooms:
        use = _compute_use(step, candidate)
        score -= policy.contention_weight * max(
            0.0, use - policy.max_cpu_usage
        )
    return Rating(score + policy.batch_packing * used)


def _compute_image_mixing(step: model.Step, load: _load.RunnerLoad) -> float:
    """Returns the share of other images among the serving tasks there."""
    if not load.serving:
        # An unused runner is better than one with other images, and worse
        # than one with the same image.
        return 0.5
    others = sum(
        group.tasks
        for group in load.serving.values()
        if group.image != step.image
    )
    if not others:
        return 0.0
    return 1 + others / sum(group.tasks for group in load.serving.values())


def _forecast_utilisation(
    step: model.Step, candidate: _candidate.CandidateRunner
) -> float:
    """Returns the utilisation that a new serving task would find there."""
    return (
        sum(
            candidate.estimate_factor(step.image, image) * cpu
            for image, cpu in candidate.load.best_effort_cpu_by_image.items()
        )
        / candidate.processors
    )


def _compute_use(
    step: model.Step, candidate: _candidate.CandidateRunner
) -> float:
    """Returns the share of the processors in use, with a new task."""
    load = candidate.load
    return candidate.serving_use + (
        load.best_effort_cpu + load.batch_cpu + step.resources.processors
    ) / (candidate.processors)


def _rate_for_best_effort(
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
    score: float,
) -> Rating:
    share = step.resources.processors / candidate.processors
    speed_limit = 1.0
    added = 0.0
    for headroom in candidate.headrooms:
        factor = candidate.estimate_factor(headroom.image, step.image)
        utilisation = factor * share
        if utilisation > headroom.free:
            speed_limit = min(
                speed_limit, max(0.0, headroom.free / utilisation)
            )
        added = max(added, utilisation)
    use = _compute_use(step, candidate)
    if not candidate.headrooms:
        added = policy.empty_runner_cost
    elif use > policy.max_cpu_usage:
        speed_limit = min(
            speed_limit, max(0.0, 1 - (use - policy.max_cpu_usage) / share)
        )
    score -= policy.utilisation_weight * added
    score -= policy.contention_weight * use
    return Rating(score - policy.speed_weight * (1 - speed_limit), speed_limit)
