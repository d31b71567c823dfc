"""Throttles the best-effort tasks on one runner, based on its samples."""

from collections.abc import Sequence
import datetime
import math
import statistics

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# A sample of a serving task covers this time before its report.
_SAMPLE_WINDOW = datetime.timedelta(milliseconds=500)
# Samples of a serving task are too low for this long after it became ready.
_WARM_UP_TIME = datetime.timedelta(seconds=1)
# Samples of a job on a runner count no more often than this, and own loads
# change by a percent meanwhile. Runners report each exit.
_MIN_UPDATE_INTERVAL = datetime.timedelta(milliseconds=300)
# Progress that a long-running task reports once it is ready.
_READY_PERCENT = 100
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ThrottlingController:
    """Throttles best-effort tasks beside the serving tasks of a runner.

    Keeps the tail latencies of the serving tasks under their targets.
    """

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        commands: _commands.CommandSender,
    ) -> None:
        self._context = context
        self._entry = entry
        self._commands = commands
        # Serving tasks over their targets, and since when.
        self._violations: dict[model.TaskKey, datetime.timedelta] = {}
        self._next_update = datetime.timedelta()
        # Since when all best-effort tasks of a shrunk runner are stopped.
        self._starved_since: datetime.timedelta | None = None

    def update_speed_limits(self, report: model.RunnerReport) -> None:
        """Updates the model from a report and sends new speed limits."""
        context, entry = self._context, self._entry
        now = context.get_now()
        if not entry.is_capacity_known or now < self._next_update:
            return
        self._next_update = now + _MIN_UPDATE_INTERVAL
        tail_latencies = self._list_tail_latencies(report)
        self._record_violations(tail_latencies)
        if all(
            task.speed_limit_percent is not None
            or not task.step.is_best_effort
            for task in entry.tasks.values()
        ):
            # While speed limits set by a predecessor are not known, samples
            # would lead to wrong interference factors.
            self._record_samples(report, tail_latencies)
        adopted = self._infer_speed_limits(report)
        if adopted:
            # Own loads are not known yet. The predecessor's speed limits are
            # better than limits computed from the highest own loads.
            self._send_speed_limits(adopted, "adopted")
            return
        best_effort_tasks = self._list_best_effort_tasks()
        if not best_effort_tasks:
            return
        serving = self._list_serving_groups()
        self._log_samples(report, serving, best_effort_tasks)
        if self._is_violation_too_long():
            speed_limit_percents = {
                item.task: 0
                for item in best_effort_tasks
                if item.speed_limit_percent != 0
            }
            self._send_speed_limits(speed_limit_percents, "target violated")
            return
        if self._are_starved_too_long(best_effort_tasks):
            for item in best_effort_tasks:
                context.job_tracker.evict_task(
                    entry.tasks[item.task], "runner has shrunk"
                )
            return
        speed_limit_percents = placement.choose_speed_limits(
            context.interference,
            serving,
            best_effort_tasks,
            context.policy.uncertainty_weight,
            self._compute_available_share(serving),
        )
        self._send_speed_limits(speed_limit_percents, "forecast")

    def _send_speed_limits(
        self, speed_limit_percents: dict[model.TaskKey, int], reason: str
    ) -> None:
        if not speed_limit_percents:
            return
        self._context.log.info(
            "throttling_changed",
            runner=self._entry.identifier,
            reason=reason,
            speed_limit_percents={
                str(key): percent
                for key, percent in speed_limit_percents.items()
            },
        )
        for key, percent in speed_limit_percents.items():
            self._commands.set_speed_limit(self._entry.tasks[key], percent)

    def _log_samples(
        self,
        report: model.RunnerReport,
        serving: Sequence[placement.ServingState],
        best_effort_tasks: Sequence[placement.BestEffortState],
    ) -> None:
        context, entry = self._context, self._entry
        if not context.log.is_debugging:
            return
        context.log.debug(
            "runner_sampled",
            runner=entry.identifier,
            running=[
                (str(item.task), item.sample, item.progress_percent)
                for item in report.running
            ],
            serving=[
                (state.image, state.own_load, state.limit) for state in serving
            ],
            best_effort=[
                (
                    str(best_effort.task),
                    best_effort.image,
                    best_effort.requested_share,
                    best_effort.speed_limit_percent,
                )
                for best_effort in best_effort_tasks
            ],
            capacity_cpu=entry.load.capacity.processors,
            reserved_cpu=entry.load.reserved_cpu,
        )

    def _infer_speed_limits(
        self, report: model.RunnerReport
    ) -> dict[model.TaskKey, int]:
        """Infers speed limits of adopted tasks from their samples.

        Returns:
            Speed limits in per cent, by task.
        """
        speed_limit_percents: dict[model.TaskKey, int] = {}
        for item in report.running:
            task = self._entry.tasks.get(item.task)
            if (
                task is None
                or task.speed_limit_percent is not None
                or not task.step.is_best_effort
                or task.phase is not _state.TaskPhase.RUNNING
                or not item.sample
            ):
                continue
            speed_limit_percents[item.task] = placement.infer_speed_limit(
                task.step.resources.processors, item.sample
            )
        return speed_limit_percents

    def _record_samples(
        self,
        report: model.RunnerReport,
        ready: Sequence[tuple[_state.TaskEntry, int]],
    ) -> None:
        """Updates the interference model with a report's samples."""
        context, entry = self._context, self._entry
        now = context.get_now()
        tail_latencies: dict[str, list[int]] = {}
        for task, tail_latency in ready:
            if task.ready_since is None:
                task.ready_since = now
            if now - task.ready_since >= _WARM_UP_TIME:
                tail_latencies.setdefault(task.key.job, []).append(
                    tail_latency
                )
        uses: dict[model.TaskKey, int] = {}
        for item in report.running:
            best_effort = entry.tasks.get(item.task)
            if best_effort is not None and best_effort.step.is_best_effort:
                uses[item.task] = item.sample
        samples = []
        for job, values in tail_latencies.items():
            group = entry.load.serving[job]
            samples.append(
                placement.JobSample(
                    job,
                    group.image,
                    statistics.median(values),
                    len(values),
                    group.tail_latency_target_ms,
                )
            )
        entry.load.best_effort_usage.update_intensities(uses, now)
        if not entry.load.capacity.processors:
            # Shares of no processors say nothing about interference.
            return
        shares = entry.load.best_effort_usage.compute_interfering_shares(
            now - _SAMPLE_WINDOW, now, entry.load.capacity.processors
        )
        context.interference.add_samples(
            entry.identifier, samples, shares, now
        )

    def _record_violations(
        self, ready: Sequence[tuple[_state.TaskEntry, int]]
    ) -> None:
        """Records serving tasks over their targets, and since when."""
        now = self._context.get_now()
        violations: dict[model.TaskKey, datetime.timedelta] = {}
        for task, tail_latency in ready:
            if tail_latency * _MILLISECOND > task.step.tail_latency_target:
                violations[task.key] = self._violations.get(task.key, now)
        self._violations = violations

    def _list_tail_latencies(
        self, report: model.RunnerReport
    ) -> list[tuple[_state.TaskEntry, int]]:
        """Returns the ready serving tasks with their tail latencies in ms."""
        tasks = self._entry.tasks
        return [
            (task, item.sample)
            for item in report.running
            if item.progress_percent >= _READY_PERCENT
            and item.sample
            and (task := tasks.get(item.task)) is not None
            and task.step.is_serving
        ]

    def _is_violation_too_long(self) -> bool:
        """Returns whether a serving task is over its target for too long."""
        limit = (
            self._context.get_now() - self._context.policy.violation_timeout
        )
        return any(since <= limit for since in self._violations.values())

    def _compute_available_share(
        self, serving: Sequence[placement.ServingState]
    ) -> float:
        """Returns the share of the processors that other tasks leave over.

        Beyond its capacity, which may shrink, all tasks of a runner suffer.
        """
        load, policy = self._entry.load, self._context.policy
        if not serving:
            return math.inf
        used_cpu = load.batch_cpu + sum(
            state.own_load * state.processors for state in serving
        )
        processors = max(1, load.capacity.processors)
        return max(0.0, policy.max_cpu_usage - used_cpu / processors)

    def _are_starved_too_long(
        self, best_effort_tasks: Sequence[placement.BestEffortState]
    ) -> bool:
        """Returns whether a shrunk runner stops all its best-effort tasks."""
        now = self._context.get_now()
        if not self._entry.load.is_over_capacity() or any(
            item.speed_limit_percent != 0 for item in best_effort_tasks
        ):
            self._starved_since = None
            return False
        if self._starved_since is None:
            self._starved_since = now
        return now - self._starved_since >= (
            self._context.policy.starvation_wait
        )

    def _list_serving_groups(self) -> list[placement.ServingState]:
        context = self._context
        interference, policy = context.interference, context.policy
        now = context.get_now()
        states = []
        for job, group in self._entry.load.serving.items():
            limit = interference.compute_limit(
                group.image, group.tail_latency_target_ms
            )
            own_load = interference.forecast_own_load(
                job, group.image, limit, now, policy.throttling_horizon
            )
            states.append(
                placement.ServingState(
                    group.image,
                    own_load,
                    limit - policy.margin,
                    group.processors,
                )
            )
        return states

    def _list_best_effort_tasks(self) -> list[placement.BestEffortState]:
        entry = self._entry
        capacity = max(1, entry.load.capacity.processors)
        full_usage_probability = (
            self._context.policy.throttling_full_usage_probability
        )
        states = []
        for task in entry.tasks.values():
            if (
                not task.step.is_best_effort
                or task.confirmed is None
                or task.phase is not _state.TaskPhase.RUNNING
            ):
                continue
            intensity = entry.load.best_effort_usage.get_intensity(task.key)
            states.append(
                placement.BestEffortState(
                    task.key,
                    task.step.image,
                    task.step.resources.processors / capacity,
                    task.speed_limit_percent,
                    intensity + (1 - intensity) * full_usage_probability,
                    self._count_unfinished(task),
                )
            )
        return states

    def _count_unfinished(self, task: _state.TaskEntry) -> int:
        """Returns the unfinished tasks of a step; 0 where no run is moved."""
        if self._context.settings.bounds.restore is None:
            return 0
        occurrence = task.job.occurrences.get(task.key.occurrence)
        return occurrence.remaining[task.key.step] if occurrence else 0
