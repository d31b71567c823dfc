"""Speed limits of the best-effort tasks on one runner, from its samples."""

from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import statistics

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# Samples of serving tasks cover this time before a report.
_SAMPLE_WINDOW = datetime.timedelta(milliseconds=500)
# The first samples of a task that has just begun to serve are too low.
_WARM_UP = datetime.timedelta(seconds=1)
# Percentage that a long-running task shows once it is ready.
_READY_PERCENT = 100
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ThrottlingController:
    """Keeps the serving tasks of one runner under their targets."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        commands: _commands.CommandSender,
    ) -> None:
        self._context = context
        self._entry = entry
        self._commands = commands
        # Serving tasks over their target, and since when.
        self._over: dict[model.TaskKey, datetime.timedelta] = {}

    def control(self, report: model.RunnerReport) -> None:
        """Learns from a report's samples, and sends speed limits."""
        context, entry = self._context, self._entry
        if not entry.load.capacity.processors:
            # Known from an earlier term only; the registry was not read yet.
            return
        self._record_over_target(report)
        if all(
            task.speed_limit_percent is not None
            or not task.step.is_best_effort
            for task in entry.tasks.values()
        ):
            # Speed limits that a predecessor set are not known, so that
            # samples would teach wrong factors.
            self._observe(report)
        adopted = self._infer_speed_limits(report)
        if adopted:
            # Own loads are not known yet: the speed limits that a predecessor
            # chose are better than what follows from the highest own loads.
            self._send_speed_limits(adopted, "adopted")
            return
        best_effort_tasks = self._list_best_effort_tasks()
        if not best_effort_tasks:
            return
        serving = self._list_serving()
        self._log_samples(report, serving, best_effort_tasks)
        if self._is_over_for_long():
            speed_limit_percents = {
                item.task: 0
                for item in best_effort_tasks
                if item.speed_limit_percent != 0
            }
            self._send_speed_limits(speed_limit_percents, "over target")
            return
        speed_limit_percents = placement.choose_speed_limits(
            context.interference,
            serving,
            best_effort_tasks,
            context.policy.uncertainty_weight,
        )
        self._send_speed_limits(speed_limit_percents, "forecast")

    def _send_speed_limits(
        self, speed_limit_percents: dict[model.TaskKey, int], reason: str
    ) -> None:
        if not speed_limit_percents:
            return
        self._context.log.info(
            "paces_ordered",
            runner=self._entry.identifier,
            reason=reason,
            paces={
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
                (
                    str(best_effort.task),
                    best_effort.image,
                    best_effort.share,
                    best_effort.speed_limit_percent,
                )
                for best_effort in best_effort_tasks
            ],
            capacity=entry.load.capacity.processors,
            reserved=entry.load.reserved_cpu,
        )

    def _infer_speed_limits(
        self, report: model.RunnerReport
    ) -> dict[model.TaskKey, int]:
        """Returns the speed limits at which adopted tasks seem to work."""
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

    def _observe(self, report: model.RunnerReport) -> None:
        """Takes the samples of the serving tasks into the model."""
        context, entry = self._context, self._entry
        now = context.get_now()
        tail_latencies: dict[str, list[int]] = {}
        for task, tail_latency in self._iterate_tail_latencies(report):
            if task.ready_since is None:
                task.ready_since = now
            if now - task.ready_since >= _WARM_UP:
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
                    group.target,
                )
            )
        entry.load.best_effort_usage.observe(uses, now)
        shares = entry.load.best_effort_usage.compute_shares(
            now - _SAMPLE_WINDOW, now, entry.load.capacity.processors
        )
        context.interference.observe(entry.identifier, samples, shares, now)

    def _record_over_target(self, report: model.RunnerReport) -> None:
        """Notes which serving tasks are over their targets, and since when."""
        now = self._context.get_now()
        over: dict[model.TaskKey, datetime.timedelta] = {}
        for task, tail_latency in self._iterate_tail_latencies(report):
            if tail_latency * _MILLISECOND > task.step.tail_latency_target:
                over[task.key] = self._over.get(task.key, now)
        self._over = over

    def _iterate_tail_latencies(
        self, report: model.RunnerReport
    ) -> Iterator[tuple[_state.TaskEntry, int]]:
        """Yields the serving tasks at work, with tail latencies in ms."""
        for item in report.running:
            task = self._entry.tasks.get(item.task)
            if task is None or not task.step.is_serving:
                continue
            if item.percent >= _READY_PERCENT and item.sample:
                yield task, item.sample

    def _is_over_for_long(self) -> bool:
        """Tells whether a serving task is over its target for too long."""
        limit = (
            self._context.get_now() - self._context.policy.violation_timeout
        )
        return any(since <= limit for since in self._over.values())

    def _list_serving(self) -> list[placement.ServingState]:
        context = self._context
        interference, policy = context.interference, context.policy
        now = context.get_now()
        states = []
        for job, group in self._entry.load.serving.items():
            limit = interference.compute_limit(group.image, group.target)
            own_load = interference.forecast_own_load(
                job, group.image, limit, now, policy.throttling_horizon
            )
            states.append(
                placement.ServingState(
                    group.image, own_load, limit - policy.margin
                )
            )
        return states

    def _list_best_effort_tasks(self) -> list[placement.BestEffortState]:
        entry = self._entry
        capacity = entry.load.capacity.processors
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
                )
            )
        return states
