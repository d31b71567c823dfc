"""Choice of runners for the tasks of a step."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import typing

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _load
from tamarackhatch.placement import _locality
from tamarackhatch.placement import _policy

# More than all other differences between two runners.
_OVER_LIMIT_PENALTY = 1000.0
# In thousandths of a core. The filter of runners computes the same limit as a
# rating in another order; it must not leave out what the rating allows.
_ROUNDING_ERROR = 0.001


class RunnerRating(typing.NamedTuple):
    """How good a runner is for a task.

    Attributes:
        score: Higher is better.
        speed_limit: Share of its full speed at which the task can run there
            without a target violation.
    """

    score: float
    speed_limit: float = 1.0


class Choice(typing.NamedTuple):
    """A task and the runner chosen for it.

    Attributes:
        key: The task.
        candidate: The runner.
        speed_limit: Speed limit of the task there, 0 to 1.
        score: Score of the runner when it was chosen.
    """

    key: model.TaskKey
    candidate: _candidate.CandidateRunner
    speed_limit: float
    score: float = 0.0


def is_allowed(
    load: _load.RunnerLoad, key: model.TaskKey, step: model.Step
) -> bool:
    """Returns whether label and limit of a step allow a task on a runner."""
    if step.required_label and step.required_label not in load.labels:
        return False
    if step.max_per_runner:
        step_key = (key.job, key.occurrence, key.step)
        return load.step_counts[step_key] < step.max_per_runner
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

    Adds the tasks to the loads of the chosen runners.

    Args:
        keys: The tasks, the first to place first.
        step: Their step.
        candidates: Runners to choose from.
        policy: Weights and limits.
        min_speed: Least share of its full speed at which a best-effort task
            has to be able to run there.
        is_excluded: Returns whether the runner of an identifier is left out.

    Returns:
        One choice for each task in their order; none for the last ones if
        there is no capacity for all.
    """
    if not keys:
        return []
    included_candidates = [
        candidate
        for candidate in _list_roomy(
            step, _list_fast(step, candidates, min_speed)
        )
        if not is_excluded(candidate.load.identifier)
    ]
    heap: list[tuple[float, int, float]] = []
    for index, candidate in enumerate(included_candidates):
        rating = rate_if_possible(keys[0], step, candidate, policy)
        if rating is not None and rating.speed_limit >= min_speed:
            heap.append((-rating.score, index, rating.speed_limit))
    heapq.heapify(heap)
    choices: list[Choice] = []
    for key in keys:
        if not heap:
            break
        negative_score, index, speed_limit = heapq.heappop(heap)
        candidate = included_candidates[index]
        candidate.load.add_task(key, step)
        candidate.update_headrooms()
        choices.append(Choice(key, candidate, speed_limit, -negative_score))
        rating = rate_if_possible(key, step, candidate, policy)
        if rating is not None and rating.speed_limit >= min_speed:
            heapq.heappush(heap, (-rating.score, index, rating.speed_limit))
    return choices


def release_choices(choices: Iterable[Choice], step: model.Step) -> None:
    """Takes chosen tasks of a step that do not start from the loads again."""
    for choice in choices:
        choice.candidate.load.remove_task(choice.key, step)
        choice.candidate.update_headrooms()


def _list_fast(
    step: model.Step,
    candidates: Iterable[_candidate.CandidateRunner],
    min_speed: float,
) -> Iterable[_candidate.CandidateRunner]:
    """Returns the runners that may be fast enough for a task.

    When more best-effort tasks wait than fit, this leaves out most runners at
    a small part of the cost of their ratings.
    """
    needed = step.resources.processors * min_speed - _ROUNDING_ERROR
    if not step.is_best_effort or needed < 0:
        return candidates
    image = step.image
    return [
        candidate
        for candidate in candidates
        # Costs less than a call, and leaves out half of the runners.
        if candidate.unused_cpu >= needed
        and candidate.has_best_effort_room(image, needed)
    ]


def _list_roomy(
    step: model.Step, candidates: Iterable[_candidate.CandidateRunner]
) -> list[_candidate.CandidateRunner]:
    """Returns the runners with processors and memory for a task.

    On a full fleet this leaves out most runners without a call for each.
    """
    processors = step.reserved.processors
    memory_mb = step.reserved.memory_mb
    return [
        candidate
        for candidate in candidates
        if (load := candidate.load).reserved_cpu
        + load.unassigned.processors
        + processors
        <= load.capacity.processors
        and load.reserved_memory_mb + load.unassigned.memory_mb + memory_mb
        <= load.capacity.memory_mb
    ]


def can_start(
    key: model.TaskKey,
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> bool:
    """Returns whether a task could start on a runner now, at full speed."""
    rating = rate_if_possible(key, step, candidate, policy)
    return rating is not None and rating.speed_limit >= 1.0


def rate_if_possible(
    key: model.TaskKey,
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> RunnerRating | None:
    """Returns the rating of a runner; None if the task cannot run there."""
    load = candidate.load
    if not load.has_capacity(step):
        return None
    is_restricted = step.required_label or step.max_per_runner
    if is_restricted and not is_allowed(load, key, step):
        return None
    rating = rate_runner(step, candidate, policy)
    if load.transient_count < candidate.start_limit or step.is_long_running:
        return rating
    if candidate.is_limit_strict:
        return None
    return RunnerRating(rating.score - _OVER_LIMIT_PENALTY, rating.speed_limit)


def rate_runner(
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> RunnerRating:
    """Returns the rating of a runner with capacity for a task of a step."""
    load = candidate.load
    score = -policy.failure_weight * candidate.penalty
    if step.preferred_rack and not _is_near(step, candidate, policy):
        score -= policy.locality_weight
    if step.is_best_effort:
        rating = _rate_for_best_effort(step, candidate, policy, score)
        if (
            rating.speed_limit < 1.0
            and policy.prefers_sound_near
            and _is_near(step, candidate, policy)
        ):
            # A runner that throttles the task is no better for being near.
            rating = RunnerRating(
                rating.score - policy.locality_weight, rating.speed_limit
            )
        return rating
    reserved_share = (load.reserved_cpu + step.resources.processors) / (
        candidate.processors
    )
    if step.is_serving:
        score += policy.packing * reserved_share
        score -= policy.image_mixing_weight * compute_image_mixing(step, load)
        return RunnerRating(score - _forecast_utilisation(step, candidate))
    if candidate.headrooms:
        cpu_share = _compute_cpu_share(step, candidate)
        score -= policy.contention_weight * max(
            0.0, cpu_share - policy.max_cpu_usage
        )
    return RunnerRating(score + policy.batch_packing * reserved_share)


def _is_near(
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
) -> bool:
    """Returns whether a runner is preferred for being near a step's data."""
    return step.preferred_rack in candidate.load.labels and (
        not policy.prefers_sound_near or _locality.is_sound(candidate, policy)
    )


def compute_image_mixing(step: model.Step, load: _load.RunnerLoad) -> float:
    """Returns a measure of the other images among the serving tasks there.

    0 for only the same image, 0.5 for no serving tasks, above 1 otherwise.
    """
    if not load.serving:
        # A runner without serving tasks is better than one with other images,
        # and worse than one with only the same image.
        return 0.5
    others = sum(
        group.task_count
        for group in load.serving.values()
        if group.image != step.image
    )
    if not others:
        return 0.0
    return 1 + others / sum(
        group.task_count for group in load.serving.values()
    )


def _forecast_utilisation(
    step: model.Step, candidate: _candidate.CandidateRunner
) -> float:
    """Returns the utilisation that best-effort tasks add to a new task."""
    return (
        sum(
            candidate.estimate_factor(step.image, image) * cpu
            for image, cpu in candidate.load.best_effort_cpu_by_image.items()
        )
        / candidate.processors
    )


def _compute_cpu_share(
    step: model.Step, candidate: _candidate.CandidateRunner
) -> float:
    """Returns the share of the processors in use with a new task."""
    load = candidate.load
    return candidate.serving_cpu_share + (
        load.best_effort_cpu + load.batch_cpu + step.resources.processors
    ) / (candidate.processors)


def _rate_for_best_effort(
    step: model.Step,
    candidate: _candidate.CandidateRunner,
    policy: _policy.PlacementPolicy,
    score: float,
) -> RunnerRating:
    requested_share = step.resources.processors / candidate.processors
    limit = candidate.get_best_effort_limit(step.image)
    speed_limit = 1.0
    # A task that asks for no processors slows down nothing, even where there
    # is no headroom.
    if requested_share and requested_share > limit.max_share:
        speed_limit = max(0.0, limit.max_share / requested_share)
    added_utilisation = limit.utilisation_per_share * requested_share
    cpu_share = _compute_cpu_share(step, candidate)
    if not candidate.headrooms:
        added_utilisation = policy.empty_runner_cost
    elif requested_share and cpu_share > policy.max_cpu_usage:
        speed_limit = min(
            speed_limit,
            max(0.0, 1 - (cpu_share - policy.max_cpu_usage) / requested_share),
        )
    score -= policy.utilisation_weight * added_utilisation
    score -= policy.contention_weight * cpu_share
    return RunnerRating(
        score - policy.speed_weight * (1 - speed_limit), speed_limit
    )
