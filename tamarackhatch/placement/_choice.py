"""Choice of a runner for a task: pure functions over runner loads."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _load

# Serving tasks use about this share of what they reserve; the rest is left
# to fillers.
_SERVING_USE = 0.5
# A runner whose last runs failed is as good as one with this share of its
# capacity less room for each of them.
_FAILURE_WEIGHT = 0.5
_FAR_PENALTY = 0.5


@attrs.frozen
class Candidate:
    """A runner that may take new tasks.

    Attributes:
        load: What runs there.
        failures: Runs that failed there lately, more than elsewhere.
    """

    load: _load.RunnerLoad
    failures: float = 0.0


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


def choose_runner(
    key: model.TaskKey,
    step: model.Step,
    candidates: Iterable[Candidate],
    is_excluded: Callable[[str], bool] = lambda identifier: False,
) -> Candidate | None:
    """Returns the best runner with room for a task, or None."""
    best: Candidate | None = None
    best_score = float("-inf")
    for candidate in candidates:
        load = candidate.load
        if not load.has_room(step) or not is_allowed(load, key, step):
            continue
        if is_excluded(load.identifier):
            continue
        score = compute_score(step, candidate)
        if score > best_score:
            best, best_score = candidate, score
    return best


def compute_score(step: model.Step, candidate: Candidate) -> float:
    """Returns how well a task of a step would do; higher is better."""
    load = candidate.load
    capacity = max(1, load.capacity.cpu)
    batch_cpu = load.reserved_cpu - load.serving_cpu
    used = batch_cpu + load.serving_cpu * _SERVING_USE + load.filler_cpu
    if step.is_lasting:
        used = load.reserved_cpu
    score = (capacity - used - step.resources.cpu) / capacity
    score -= _FAILURE_WEIGHT * candidate.failures
    if step.preferred_rack and step.preferred_rack not in load.labels:
        score -= _FAR_PENALTY
    return score
