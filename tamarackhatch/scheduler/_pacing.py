"""Pace of the fillers on one runner, from the samples that it reports."""

import datetime
import statistics

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _orders
from tamarackhatch.scheduler import _state

# Samples of serving tasks cover this time before a report.
_SAMPLE_WINDOW = datetime.timedelta(milliseconds=500)
# The first samples of a task that has just begun to serve are too low.
_WARM_UP = datetime.timedelta(seconds=1)
# Percentage that a lasting task shows once it is at work.
_AT_WORK = 100
_MILLISECOND = datetime.timedelta(milliseconds=1)


class PaceControl:
    """Keeps the serving tasks of one runner under their targets."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        orders: _orders.OrderDesk,
    ) -> None:
        self._context = context
        self._entry = entry
        self._orders = orders
        # Serving tasks over their target, and since when.
        self._over: dict[model.TaskKey, datetime.timedelta] = {}

    def control(self, report: model.RunnerReport) -> None:
        """Learns from a report's samples, and orders paces."""
        context, entry = self._context, self._entry
        if not entry.load.capacity.processors:
            # Known from an earlier term only; the registry was not read yet.
            return
        self._note_over(report)
        if all(
            task.pace is not None or not task.step.is_filler
            for task in entry.tasks.values()
        ):
            # Paces that a predecessor ordered are not known, so that samples
            # would teach wrong factors.
            self._observe(report)
        if self._confirm_paces(report):
            # Own loads are not known yet: the paces that a predecessor chose
            # are better than what follows from the highest own loads.
            return
        fillers = self._list_fillers()
        if not fillers:
            return
        serving = self._list_serving()
        if self._is_harmful():
            paces = {item.task: 0 for item in fillers if item.pace != 0}
        else:
            paces = placement.choose_paces(
                context.factors, serving, fillers, context.policy.caution
            )
        context.log.debug(
            "runner_sampled",
            runner=entry.identifier,
            listed=[
                (str(item.task), item.sample, item.percent)
                for item in report.running
            ],
            serving=[
                (state.image, state.own_load, state.limit) for state in serving
            ],
            fillers=[
                (str(filler.task), filler.image, filler.share, filler.pace)
                for filler in fillers
            ],
            capacity=entry.load.capacity.processors,
            reserved=entry.load.reserved_cpu,
            changes={str(key): pace for key, pace in paces.items()},
        )
        for key, percent in paces.items():
            self._orders.set_pace(entry.tasks[key], percent)

    def _confirm_paces(self, report: model.RunnerReport) -> bool:
        """Orders the paces at which adopted fillers seem to work.

        Returns:
            Whether there were any.
        """
        is_any = False
        for item in report.running:
            task = self._entry.tasks.get(item.task)
            if (
                task is None
                or task.pace is not None
                or not task.step.is_filler
                or task.phase is not _state.TaskPhase.RUNNING
                or not item.sample
            ):
                continue
            pace = placement.infer_pace(
                task.step.resources.processors, item.sample
            )
            self._orders.set_pace(task, pace)
            is_any = True
        return is_any

    def _observe(self, report: model.RunnerReport) -> None:
        """Takes the samples of the serving tasks into the model."""
        context, entry = self._context, self._entry
        now = context.get_now()
        tails: dict[str, list[int]] = {}
        uses: dict[model.TaskKey, int] = {}
        for item in report.running:
            task = entry.tasks.get(item.task)
            if task is None:
                continue
            if task.step.is_filler:
                uses[item.task] = item.sample
            if not task.step.is_serving:
                continue
            if item.percent < _AT_WORK or not item.sample:
                continue
            if task.at_work is None:
                task.at_work = now
            if now - task.at_work >= _WARM_UP:
                tails.setdefault(item.task.job, []).append(item.sample)
        samples = []
        for job, values in tails.items():
            group = entry.load.serving[job]
            samples.append(
                placement.JobSample(
                    job,
                    group.image,
                    statistics.median(values),
                    len(values),
                    group.target,
                )
            )
        entry.load.mix.observe(uses, now)
        shares = entry.load.mix.compute_shares(
            now - _SAMPLE_WINDOW, now, entry.load.capacity.processors
        )
        context.factors.observe(entry.identifier, samples, shares, now)

    def _note_over(self, report: model.RunnerReport) -> None:
        """Notes which serving tasks are over their targets, and since when."""
        now = self._context.get_now()
        over: dict[model.TaskKey, datetime.timedelta] = {}
        for item in report.running:
            task = self._entry.tasks.get(item.task)
            if task is None or not task.step.is_serving:
                continue
            if item.percent < _AT_WORK:
                continue
            if item.sample * _MILLISECOND > task.step.tail_target:
                over[item.task] = self._over.get(item.task, now)
        self._over = over

    def _is_harmful(self) -> bool:
        """Tells whether a serving task is over its target for too long."""
        limit = self._context.get_now() - self._context.policy.harm_patience
        return any(since <= limit for since in self._over.values())

    def _list_serving(self) -> list[placement.ServingState]:
        context = self._context
        factors, policy = context.factors, context.policy
        now = context.get_now()
        states = []
        for job, group in self._entry.load.serving.items():
            limit = factors.compute_limit(group.image, group.target)
            own_load = factors.forecast_own_load(
                job, group.image, limit, now, policy.pace_horizon
            )
            states.append(
                placement.ServingState(
                    group.image, own_load, limit - policy.margin
                )
            )
        return states

    def _list_fillers(self) -> list[placement.FillerState]:
        entry = self._entry
        capacity = entry.load.capacity.processors
        relapse = self._context.policy.pace_relapse
        states = []
        for task in entry.tasks.values():
            if (
                not task.step.is_filler
                or task.confirmed is None
                or task.phase is not _state.TaskPhase.RUNNING
            ):
                continue
            intensity = entry.load.mix.get_intensity(task.key)
            states.append(
                placement.FillerState(
                    task.key,
                    task.step.image,
                    task.step.resources.processors / capacity,
                    task.pace,
                    intensity + (1 - intensity) * relapse,
                )
            )
        return states
