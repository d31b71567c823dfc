"""Applies the health of runners: reports to it, probes, evictions, logs."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import itertools

from tamarackhatch import health
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _attempts
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _stranded_tasks

_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
# Of each service, at most every third runner is ejected or isolated. If more
# appear to fail, the runners are not the cause.
_RUNNERS_PER_EJECTED_RUNNER = 3
# Tasks that are tried for one probe; those of different groups may need
# different labels and capacity.
_MAX_PROBE_TASKS = 5
# Long-running tasks don't end, so that they are the last choice for probes.
_LONG_RUNNING_PROBE_WAIT = datetime.timedelta(seconds=1)
_LONG_RUNNING_PROBE_TIME = datetime.timedelta(seconds=3)
# Attempts left that suffice for any probe; more make no difference.
_AMPLE_ATTEMPTS = 3
_READY_PERCENT = 100

_Phase = _state.TaskPhase
Candidates = list[placement.CandidateRunner]
# Penalties and limits also change with time, within seconds. What is known of
# a runner changes at once.
_MAX_RESTRICTION_AGE = datetime.timedelta(milliseconds=100)

Group = dict[int, _state.TaskEntry]


def restrict_candidate(
    context: _context.SchedulerContext,
    candidate: placement.CandidateRunner,
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
) -> None:
    """Sets the penalty and the limit of starts by the health of a runner."""
    monitor = context.health
    runner = entry.identifier
    if monitor.is_unrestricted(runner):
        if candidate.restricted_at is not None:
            candidate.clear_restrictions()
        return
    changes = monitor.count_changes(runner)
    if (
        candidate.restricted_at is not None
        and candidate.restriction_changes == changes
        and now - candidate.restricted_at < _MAX_RESTRICTION_AGE
    ):
        return
    candidate.clear_restrictions()
    candidate.restricted_at, candidate.restriction_changes = now, changes
    candidate.penalty = monitor.compute_penalty(runner)
    started: Iterable[datetime.timedelta] = ()
    if entry.load.transient_count:
        started = (
            task.placed_at
            for task in entry.tasks.values()
            if not task.step.is_long_running
        )
    allowed = monitor.count_allowed(runner, started, now)
    if allowed < health.UNLIMITED:
        candidate.start_limit = entry.load.transient_count + allowed


def relax_limits(candidates: Candidates) -> None:
    """Makes limits a preference where most runners of a service have one.

    Otherwise starts would wait when a term begins or when all runners fail.
    """
    limited = [
        candidate
        for candidate in candidates
        if candidate.start_limit < health.UNLIMITED
    ]
    is_strict = 2 * len(limited) <= len(candidates)
    for candidate in limited:
        candidate.is_limit_strict = is_strict


def record_exit(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    task: _state.TaskEntry,
    run_exit: model.RunExit,
) -> None:
    """Records the exit of a task's latest run on a runner."""
    if run_exit.reason not in (model.ExitReason.DONE, model.ExitReason.FAILED):
        return
    now = context.get_now()
    is_failure = run_exit.reason is model.ExitReason.FAILED
    queue = task.job.job.queue.name
    if is_failure:
        if not context.health.has_limit(entry.record.service):
            _update_limits(context, now)
    else:
        context.stalls.record_exit(entry.identifier, queue, now)
    context.health.record_exit(
        health.RunOutcome(
            entry.identifier,
            entry.record.service,
            (run_exit.task, run_exit.run),
            queue,
            is_failure,
            task.placed_at,
            task.step.is_long_running,
        ),
        now,
    )
    report_events(context)


def forget_runner(context: _context.SchedulerContext, runner: str) -> None:
    """Forgets a runner that has restarted or was removed."""
    context.health.forget(runner)
    context.stalls.forget(runner)
    report_events(context)


def record_loss(context: _context.SchedulerContext, runner: str) -> None:
    """Records that a runner has stopped answering."""
    context.health.record_loss(runner, context.get_now())
    report_events(context)


def report_events(context: _context.SchedulerContext) -> None:
    """Logs and counts what has changed since the last call."""
    events = context.health.take_events()
    if not events:
        return
    metrics = context.metrics
    for event in events:
        context.log.info(
            event.name,
            runner=event.runner,
            reason=event.reason,
            score=round(event.score, 1),
            failed_jobs=event.failed_jobs,
            usual_rate=event.usual_rate and round(event.usual_rate, 3),
            pause_ms=event.pause
            and event.pause // datetime.timedelta(milliseconds=1),
        )
        if event.name in ("runner_ejected", "runner_unproven"):
            metrics.ejections.labels(event.reason).inc()
    metrics.ejected_runners.set(len(context.health.ejected))


def _update_limits(
    context: _context.SchedulerContext, now: datetime.timedelta
) -> None:
    """Counts how many runners of each service may be ejected."""
    runners: dict[str, int] = {}
    isolated: dict[str, int] = {}
    for entry in context.list_open_runners():
        if entry.is_schedulable(now):
            service = entry.record.service
            runners[service] = runners.get(service, 0) + 1
            if entry.suspects and entry.is_isolated(now):
                isolated[service] = isolated.get(service, 0) + 1
    context.health.set_limits(
        {
            service: max(
                0,
                count // _RUNNERS_PER_EJECTED_RUNNER
                - isolated.get(service, 0),
            )
            for service, count in runners.items()
        },
        now,
    )


class ProbePlacer:
    """Starts one task at a time on each ejected runner."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        is_paused: Callable[[_state.TaskEntry], bool],
        place: Callable[[_state.TaskEntry, Candidates], int],
    ) -> None:
        """Creates the placer of one term.

        Args:
            context: Shared components of the scheduler.
            is_paused: Returns whether a task must not start yet.
            place: Starts a task on one of the runners, and returns the number
                of started tasks.
        """
        self._context = context
        self._is_paused = is_paused
        self._place = place

    def place_probes(self, groups: Iterable[Group]) -> None:
        """Starts tasks that can afford a failure on ejected runners.

        Args:
            groups: Waiting tasks, by step.
        """
        context = self._context
        now = context.get_now()
        due = context.health.list_due_probes(now)
        overdue = context.health.list_overdue_probes(now)
        if not due and not overdue:
            return
        groups = list(groups)
        tasks = self._list_tasks(groups, now)
        stranded: list[_state.TaskEntry] = []
        if overdue:
            stranded = _stranded_tasks.list_stranded_tasks(
                context,
                groups,
                self._is_paused,
                [context.fleet[it] for it in overdue if it in context.fleet],
                now,
            )
        for runner in dict.fromkeys([*due, *overdue]):
            entry = context.fleet.get(runner)
            if entry is None or not _is_open(context, entry, now):
                continue
            needing: list[_state.TaskEntry] = []
            if runner in overdue:
                needing = [
                    task
                    for task in stranded
                    if _stranded_tasks.has_place(context, entry, task)
                ]
            if not needing and runner not in due:
                continue
            task = self._start_probe(entry, tasks, needing, now)
            if task is not None:
                for listed in (tasks, stranded):
                    if task in listed:
                        listed.remove(task)
                context.health.record_probe(runner, (task.key, task.run))
            elif any(not _can_probe(waiting) for waiting in needing):
                context.health.readmit_needed(runner, now)
            else:
                context.health.defer_probe(runner, now)
        report_events(context)

    def _start_probe(
        self,
        entry: _fleet.RunnerEntry,
        tasks: list[_state.TaskEntry],
        needing: list[_state.TaskEntry],
        now: datetime.timedelta,
    ) -> _state.TaskEntry | None:
        """Starts a probe on a runner, and returns its task.

        Args:
            entry: The runner.
            tasks: Tasks that can afford a failure.
            needing: Tasks that no other runner can serve, which are the last
                choice.
            now: Monotonic time.
        """
        service = entry.record.service
        context = self._context
        possible = (
            task
            for task in tasks
            if task.job.job.queue.service == service
            and entry.identifier not in task.failed_on
            and entry.load.has_capacity(task.step)
        )
        candidate = placement.CandidateRunner(
            entry.load, context.interference, context.policy, now
        )
        for task in itertools.chain(
            itertools.islice(possible, _MAX_PROBE_TASKS),
            filter(_can_probe, needing[:_MAX_PROBE_TASKS]),
        ):
            if self._place(task, [candidate]):
                return task
        return None

    def _list_tasks(
        self, groups: Iterable[Group], now: datetime.timedelta
    ) -> list[_state.TaskEntry]:
        """Returns tasks for probes, one of each group, the best first."""
        tasks = []
        for group in groups:
            task = next(
                (
                    task
                    for task in group.values()
                    if self._may_probe(task, now)
                ),
                None,
            )
            if task is not None:
                tasks.append(task)
        tasks.sort(key=_get_probe_order)
        return tasks

    def _may_probe(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> bool:
        if not _can_probe(task) or self._is_paused(task):
            return False
        if task.step.is_long_running:
            return task.compute_wait(now) >= _LONG_RUNNING_PROBE_WAIT
        return not _attempts.is_last_attempt(task)


def _can_probe(task: _state.TaskEntry) -> bool:
    """Returns whether a task may start alone on an ejected runner."""
    return (
        not task.step.is_gang
        and task.departure is None
        and not _crash_suspects.is_suspect(task)
    )


def _get_probe_order(
    task: _state.TaskEntry,
) -> tuple[bool, int, datetime.timedelta]:
    attempts = min(_attempts.count_attempts_left(task), _AMPLE_ATTEMPTS)
    return task.step.is_long_running, -attempts, task.step.estimate


def _is_open(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
) -> bool:
    return (
        entry.is_schedulable(now)
        and not entry.is_isolated(now)
        and not context.evacuations.is_evacuated(entry.record.data_centre)
    )


class HealthController:
    """Watches the runs on all runners for stalls, and the probes."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context

    async def run(self) -> None:
        """Checks all runners until cancelled."""
        context = self._context
        while True:
            await context.clock.sleep(_CHECK_INTERVAL)
            if context.leader_lease.is_valid:
                self.run_check()

    def run_check(self) -> None:
        """Checks the probes and all runs once."""
        context = self._context
        now = context.get_now()
        _update_limits(context, now)
        self._check_probes(now)
        stalls = context.stalls.find_stalls(self._observe_runs(now), now)
        for runner in dict.fromkeys(stall.runner for stall in stalls):
            service = context.fleet[runner].record.service
            context.health.record_stall(runner, service, now)
        for stall in stalls:
            if context.health.is_ejected(stall.runner):
                self._evict(stall, now)
        report_events(context)

    def _check_probes(self, now: datetime.timedelta) -> None:
        context = self._context
        for runner, (key, run) in context.health.get_probes().items():
            task = context.job_tracker.find_task(key)
            if (
                task is None
                or task.run != run
                or task.runner is None
                or task.runner.identifier != runner
                or task.phase is _Phase.STOPPING
            ):
                context.health.abandon_probe(runner, now)
            elif (
                task.step.is_long_running
                and task.phase is _Phase.RUNNING
                and task.progress_percent == _READY_PERCENT
                and task.confirmed is not None
                and now - task.confirmed >= _LONG_RUNNING_PROBE_TIME
            ):
                context.health.record_progress(runner, (key, run), now)

    def _observe_runs(
        self, now: datetime.timedelta
    ) -> Iterable[health.RunObservation]:
        for entry in self._context.fleet.values():
            if entry.missed_renewals or not entry.is_schedulable(now):
                continue
            for task in entry.tasks.values():
                if (
                    task.step.is_long_running
                    or task.phase is not _Phase.RUNNING
                    or task.progress_reported_at is None
                ):
                    continue
                percent = task.speed_limit_percent
                yield health.RunObservation(
                    entry.identifier,
                    task.job.job.queue.name,
                    (task.key, task.run),
                    task.progress_percent,
                    0.0 if percent is None else percent / 100,
                    task.placed_at,
                )

    def _evict(self, stall: health.Stall, now: datetime.timedelta) -> None:
        """Evicts a stalled run once its wait has cost as much as its loss."""
        task = self._context.job_tracker.find_task(stall.name[0])
        if task is None or task.run != stall.name[1] or task.step.is_gang:
            return
        if task.checkpoint or now - stall.since >= stall.worked:
            self._context.job_tracker.evict_task(task, "no progress")
