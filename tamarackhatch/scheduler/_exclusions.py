"""Names the reasons for which runners get no task of a step.

`_candidates` and `_runner_choice` decide; this module only finds out which of
their conditions a runner does not meet.
"""

import collections
from collections.abc import Iterable
import datetime

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch import where

_MAX_EXAMPLES = 3
_Reason = where.Exclusion


def explain_unavailable_runner(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
) -> where.Exclusion:
    """Returns why a runner is no candidate for any task.

    Args:
        context: Shared components of the scheduler.
        entry: A runner that is not among the candidates.
        now: Monotonic time.
    """
    evacuations = context.evacuations
    if evacuations.is_evacuated(entry.record.data_centre):
        if evacuations.is_known:
            return _Reason.EVACUATED
        return _Reason.EVACUATIONS_UNKNOWN
    if _candidates.is_available(context, entry, now):
        if entry.is_isolated(now):
            return _Reason.ISOLATED
        return _Reason.REGISTRY_OUTDATED
    if entry.is_schedulable(now):
        return _Reason.EJECTED
    if not entry.is_registered:
        return _Reason.UNREGISTERED
    if entry.record.is_draining:
        return _Reason.DRAINING
    if not entry.is_answering(now):
        return _Reason.NOT_ANSWERING
    if now < entry.avoid_until:
        return _Reason.AVOIDED
    return _Reason.UNSETTLED


def explain_rejected_candidate(
    key: model.TaskKey,
    step: model.Step,
    candidate: placement.CandidateRunner,
    rating: placement.RunnerRating | None,
    min_speed: float,
) -> where.Exclusion:
    """Returns why a candidate cannot get a task.

    Args:
        key: The task.
        step: Its step.
        candidate: The runner.
        rating: Its rating; None if there is none.
        min_speed: Least share of its full speed that the task accepts.
    """
    load = candidate.load
    if step.required_label and step.required_label not in load.labels:
        return _Reason.LABEL
    if not load.has_capacity(step):
        return _Reason.NO_CAPACITY
    if not placement.is_allowed(load, key, step):
        return _Reason.RUNNER_LIMIT
    if rating is None:
        return _Reason.START_LIMIT
    if rating.speed_limit < min_speed:
        return _Reason.SPEED
    return _Reason.OTHER


def group_exclusions(
    reasons: Iterable[tuple[str, where.Exclusion]],
) -> tuple[where.ExcludedRunners, ...]:
    """Returns excluded runners by reason, the most frequent reason first.

    Args:
        reasons: Identifiers of the runners, each with its reason.
    """
    groups: dict[where.Exclusion, list[str]] = collections.defaultdict(list)
    for runner, reason in reasons:
        groups[reason].append(runner)
    return tuple(
        where.ExcludedRunners(
            reason, len(runners), tuple(runners[:_MAX_EXAMPLES])
        )
        for reason, runners in sorted(
            groups.items(), key=lambda item: -len(item[1])
        )
    )
