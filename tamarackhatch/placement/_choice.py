"""Choice of a runner for a task: pure functions over runner loads."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _pace

# A serving task without a sample is taken to use this share of its
# reservation.
_USUAL_LOAD = 0.5
# A runner whose last runs failed is as good as one with this share of its
# capacity less room for each of them.
_FAILURE_WEIGHT = 0.5
_FAR_PENALTY = 0.5
# Pressure over a serving task's limit weighs this much more than missing
# processor time of the filler that causes it.
_HARM_WEIGHT = 8.0
# Even harmless pressure uses up what later fillers could have.
_PRESSURE_WEIGHT = 0.5
# Fillers stay on a runner for seconds, in which the own load may rise.
_RESERVE = 0.08
# Serving tasks of one image share runners, so that fillers which disturb
# that image can stay away from it.
_SAME_IMAGE_BONUS = 1.0
_OTHER_IMAGE_PENALTY = 1.0


@attrs.frozen
class Candidate:
    """A runner that may take new tasks.

    Attributes:
        load: What runs there.
        failures: Runs that failed there lately, more than elsewhere.
        serving: States of the serving tasks there.
    """

    load: _load.RunnerLoad
    failures: float = 0.0
    serving: tuple[_interference.ServingState, ...] = ()


@attrs.frozen
class Choice:
    """A chosen runner.

    Attributes:
        candidate: The runner.
        harm: Pressure beyond the limits of serving tasks that is expected.
        score: How good it is; higher is better.
    """

    candidate: Candidate
    harm: float
    score: float


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
    factors: _interference.InterferenceModel,
    is_excluded: Callable[[str], bool] = lambda identifier: False,
) -> Choice | None:
    """Returns the best runner with room for a task, or None."""
    best: Choice | None = None
    for candidate in candidates:
        load = candidate.load
        if not load.has_room(step) or not is_allowed(load, key, step):
            continue
        if is_excluded(load.identifier):
            continue
        choice = _rate(step, candidate, factors)
        if best is None or choice.score > best.score:
            best = choice
    return best


def _rate(
    step: model.Step,
    candidate: Candidate,
    factors: _interference.InterferenceModel,
) -> Choice:
    load = candidate.load
    score = -_FAILURE_WEIGHT * candidate.failures
    if step.preferred_rack and step.preferred_rack not in load.labels:
        score -= _FAR_PENALTY
    if step.is_filler:
        harm, pressure = _compute_harm(step, candidate, factors)
        score += min(0.0, _compute_spare_share(step, candidate))
        score -= _HARM_WEIGHT * harm + _PRESSURE_WEIGHT * pressure
        return Choice(candidate, harm, score)
    if step.is_serving:
        score += _rate_company(step, load)
    return Choice(
        candidate, 0.0, score + _compute_spare_share(step, candidate)
    )


def _rate_company(step: model.Step, load: _load.RunnerLoad) -> float:
    same = load.serving_images[step.image]
    others = sum(load.serving_images.values()) - same
    if others:
        return -_OTHER_IMAGE_PENALTY * others
    return _SAME_IMAGE_BONUS if same else 0.0


def _compute_spare_share(step: model.Step, candidate: Candidate) -> float:
    """Returns the share of the runner that stays free with a new task."""
    load = candidate.load
    capacity = max(1, load.capacity.processors)
    if step.is_lasting:
        used = float(load.reserved_cpu)
    else:
        used = compute_use(candidate)
    return (capacity - used - step.resources.processors) / capacity


def compute_use(candidate: Candidate) -> float:
    """Returns the processor use to expect, in thousandths of a core."""
    load = candidate.load
    states = candidate.serving
    usual = _USUAL_LOAD
    if states:
        usual = sum(state.own_load for state in states) / len(states)
    batch = load.reserved_cpu - load.serving_cpu
    return batch + load.serving_cpu * usual + load.filler_cpu


def _compute_harm(
    step: model.Step,
    candidate: Candidate,
    factors: _interference.InterferenceModel,
) -> tuple[float, float]:
    """Returns the pressure beyond limits, and the largest new pressure."""
    load = candidate.load
    capacity = max(1, load.capacity.processors)
    share = step.resources.processors / capacity
    harm = 0.0
    largest = 0.0
    for state in candidate.serving:
        added = factors.get_factor(state.image, step.image) * share
        pressure = added + sum(
            factors.get_factor(state.image, image) * cpu / capacity
            for image, cpu in load.filler_cpus.items()
        )
        expected = _pace.forecast_own_load(state) + _RESERVE + pressure
        harm += min(added, max(0.0, expected - state.limit))
        largest = max(largest, added)
    return harm, largest
