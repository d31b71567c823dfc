"""Plans in a placement pass which new serving tasks fill runners together."""

from collections.abc import Sequence

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _state

StepKey = tuple[str, int, int]
# Service and priority; tasks of different ones are not combined.
_Pool = tuple[str, float]


@attrs.frozen
class FillReport:
    """How the new serving tasks of a service were combined.

    Attributes:
        service: The service.
        tasks: Number of tasks that fill runners together.
        runners: Number of these runners.
        left: Number of tasks that are placed one by one.
        remaining_share: Share of the processors that all of them leave.
    """

    service: str
    tasks: int
    runners: int
    left: int
    remaining_share: float


class FillPlanner:
    """Chooses places for new serving tasks that fill runners together.

    Each step is planned once, when its tasks are no longer collected. What is
    left of it is placed task by task.
    """

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context
        self._planned: set[StepKey] = set()
        # Of the present placement pass.
        self._reports: list[FillReport] = []
        self._candidates: _candidates.Candidates = {}
        self._unplanned: dict[_Pool, dict[StepKey, placement.FillingStep]] = {}
        self._pools: dict[StepKey, _Pool] = {}
        self._places: dict[model.TaskKey, placement.Choice] = {}

    def begin_pass(
        self,
        ordered: Sequence[_group_order.OrderedGroup],
        candidates: _candidates.Candidates,
        is_paused: _group_order.IsPaused,
    ) -> None:
        """Begins a placement pass.

        Args:
            ordered: The groups of waiting tasks with their sort keys.
            candidates: Runners that may get tasks, by service.
            is_paused: Returns whether a task must not start yet.
        """
        self._reports = []
        self._candidates = candidates
        self._unplanned = {}
        self._pools = {}
        waiting: set[StepKey] = set()
        for order, group in ordered:
            # Suspects of crashes may have started, all tasks of their group.
            first = next(iter(group.values()), None)
            if first is None or not _may_fill(first, order):
                continue
            step_key = _get_step_key(first.key)
            waiting.add(step_key)
            if step_key in self._planned:
                continue
            keys = [
                task.key
                for task in _group_order.select_tasks(group, is_paused).tasks
                if not task.run
            ]
            if keys:
                pool = (first.job.job.queue.service, order.priority)
                self._pools[step_key] = pool
                self._unplanned.setdefault(pool, {})[step_key] = (
                    placement.FillingStep(first.step, keys)
                )
        self._planned &= waiting

    def end_pass(self) -> list[FillReport]:
        """Ends the pass, and returns what was planned in it.

        Places that were not used are given back.
        """
        for choice in self._places.values():
            task = self._context.job_tracker.find_task(choice.key)
            if task is not None:
                placement.release_choices([choice], task.step)
        self._places = {}
        return self._reports

    def take_places(
        self, tasks: Sequence[_state.TaskEntry]
    ) -> list[placement.Choice]:
        """Returns the places that tasks of a step get beside others.

        Plans all steps of their pool when the first of them is asked for, so
        that all more urgent tasks have their places by then.
        """
        if not tasks:
            return []
        pool = self._pools.get(_get_step_key(tasks[0].key))
        if pool is None:
            return []
        steps = self._unplanned.pop(pool, None)
        if steps:
            self._plan(pool[0], steps)
        return [
            self._places.pop(task.key)
            for task in tasks
            if task.key in self._places
        ]

    def _plan(
        self, service: str, steps: dict[StepKey, placement.FillingStep]
    ) -> None:
        self._planned |= steps.keys()
        candidates = self._candidates.get(service, [])
        remaining_share = placement.compute_free_share(
            (candidate.load for candidate in candidates),
            sum(
                len(item.keys) * item.step.reserved.processors
                for item in steps.values()
            ),
        )
        policy = self._context.policy
        choices = placement.fill_runners(
            list(steps.values()),
            candidates,
            remaining_share < policy.ample_remaining_share,
            policy.min_combined_runners,
        )
        self._places.update({choice.key: choice for choice in choices})
        self._reports.append(
            FillReport(
                service,
                len(choices),
                len({choice.candidate.load.identifier for choice in choices}),
                sum(len(item.keys) for item in steps.values()),
                remaining_share,
            )
        )


def record_report(
    context: _context.SchedulerContext, report: FillReport
) -> None:
    """Counts and logs how new serving tasks were combined."""
    context.metrics.filled_runners.inc(report.runners)
    context.log.info(
        "runners_filled",
        service=report.service,
        tasks=report.tasks,
        runners=report.runners,
        left=report.left,
        remaining_percent=round(report.remaining_share * 100),
    )


def _may_fill(task: _state.TaskEntry, order: placement.OrderKey) -> bool:
    """Returns whether tasks of a new step may be combined with others."""
    step = task.step
    return (
        step.is_serving
        and order.rank is placement.Rank.LONG_RUNNING
        and _group_order.is_new(task)
        and not step.is_gang
        and not step.required_label
        and not step.preferred_rack
        and task.job.job.queue.advice is None
    )


def _get_step_key(key: model.TaskKey) -> StepKey:
    return (key.job, key.occurrence, key.step)
