"""Moves runs that would be done much sooner on another runner."""

from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state
from tamarackhatch import stragglers

# Runners report every 0.1 to 1.5 s; a pass looks at all runs.
_PASS_INTERVAL = datetime.timedelta(milliseconds=500)
# The next placement does not use the runner that a run has left for this long.
_AVOID_TIME = datetime.timedelta(seconds=3)
# A task that has waited longer did not fit in any of the placement passes,
# which follow each change within 10 ms.
_MIN_WAIT = datetime.timedelta(milliseconds=100)
# Searches for a place in one pass; each looks at all runners.
_MAX_SEARCHES = 20
_MILLISECOND = datetime.timedelta(milliseconds=1)

_UNSUCCESSFUL_STATES = (model.JobState.FAILED, model.JobState.CANCELLED)

_Phase = _state.TaskPhase
# A run with its runner, its latest report and its progress.
_Observation = tuple[
    _state.TaskEntry,
    _fleet.RunnerEntry,
    stragglers.ProgressSample,
    stragglers.RunProgress,
]
Candidates = dict[str, list[placement.CandidateRunner]]
TicketFilter = Callable[
    [_state.TaskEntry, list[placement.CandidateRunner]],
    list[placement.CandidateRunner],
]


@attrs.frozen(eq=False)
class _Move:
    """A move in progress.

    Attributes:
        task: The moved task.
        run: Number of the run that is stopped.
        target: Identifier of the runner with a place for the task.
        lost_work: Work that is expected to be repeated.
    """

    task: _state.TaskEntry
    run: int
    target: str
    lost_work: datetime.timedelta


class StragglerMover:
    """Stops runs that are worth a move; the dispatcher starts them again."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        list_candidates: Callable[[], Candidates],
        filter_by_ticket: TicketFilter,
    ) -> None:
        """Creates the mover of one term.

        Args:
            context: Shared components of the scheduler.
            list_candidates: Returns the runners that may start tasks, by
                service.
            filter_by_ticket: Returns the runners with a ticket for a task.
        """
        self._context = context
        self._list_candidates = list_candidates
        self._filter_by_ticket = filter_by_ticket
        # An earlier scheduler may have moved any run just before.
        self._term_moves = stragglers.TaskMoves(0, context.get_now())
        self._monitor = stragglers.ProgressMonitor()
        self._log = stragglers.MoveLog()
        self._slow_runners = stragglers.SlowRunners()
        self._running: dict[model.TaskKey, _state.TaskEntry] = {}
        self._moves: list[_Move] = []

    async def run(self) -> None:
        """Moves stragglers until cancelled; returns if that is off."""
        context, bounds = self._context, self._context.settings.bounds
        if bounds.restore is None:
            return
        cost = stragglers.MoveCost(
            bounds.stop_timeout, bounds.restore, bounds.checkpoint_interval
        )
        while True:
            await context.clock.sleep(_PASS_INTERVAL)
            if context.leader_lease.is_valid:
                self.run_pass(cost)

    def run_pass(self, cost: stragglers.MoveCost) -> None:
        """Updates the rates of all runs, and moves stragglers."""
        now = self._context.get_now()
        self._update_moves()
        observations = self._record_progress()
        self._monitor.retain_steps(self._is_unfinished)
        self._log.retain_steps(self._is_unfinished)
        runs = self._list_runs(
            observations, self._list_late_runners(cost.stop)
        )
        speeds = stragglers.RunnerSpeeds(runs)
        self._slow_runners.update(speeds, now)
        found = stragglers.find_stragglers(runs, speeds, cost, now)
        if found:
            self._move_stragglers(found, now)

    def get_rate(self, task: _state.TaskEntry) -> float | None:
        """Returns the rate of a task's run, in per cent per second.

        None if it was not measured; 0 for a run at a speed limit of 0.
        """
        progress = self._monitor.get_progress(task.key, task.run)
        return 0.0 if progress.stopped_since is not None else progress.rate

    def _update_moves(self) -> None:
        """Counts the moves that have ended, by their outcome."""
        metrics = self._context.metrics
        for move in list(self._moves):
            outcome = _get_outcome(move)
            if outcome is None:
                continue
            self._moves.remove(move)
            metrics.straggler_moves.labels(outcome).inc()
            if outcome == "resumed":
                metrics.repeated_work.inc(move.lost_work.total_seconds())

    def _record_progress(self) -> dict[model.TaskKey, _Observation]:
        """Records the latest reports of all runs and returns the runs."""
        now = self._context.get_now()
        running: dict[model.TaskKey, _state.TaskEntry] = {}
        observations: dict[model.TaskKey, _Observation] = {}
        for entry in self._context.fleet.values():
            is_answering = entry.is_answering(now)
            for key, task in entry.tasks.items():
                if not _is_observed(task):
                    continue
                running[key] = task
                reported = task.progress_reported_at
                if reported is None or not is_answering:
                    continue
                percent = task.speed_limit_percent
                speed_limit = 1.0 if percent is None else percent / 100
                sample = stragglers.ProgressSample(
                    reported, task.progress_percent, speed_limit
                )
                progress = self._monitor.record_progress(key, task.run, sample)
                observations[key] = (task, entry, sample, progress)
        for key, task in self._running.items():
            if key not in running and task.phase is _Phase.DONE:
                self._monitor.record_done(key, task.run, task.phase_since)
        self._running = running
        return observations

    def _is_unfinished(self, name: stragglers.StepName) -> bool:
        task = self._context.job_tracker.find_task(model.TaskKey(*name, 0))
        if task is None or task.job.state.is_final:
            return False
        job, occurrence, step = name
        return task.job.occurrences[occurrence].remaining[step] > 0

    def _list_runs(
        self,
        observations: dict[model.TaskKey, _Observation],
        late: frozenset[str],
    ) -> list[stragglers.RunState]:
        """Returns the states of runs.

        Args:
            observations: Their latest reports.
            late: Runners that are late with a stop.
        """
        steps: dict[stragglers.StepName, stragglers.StepState] = {}
        runs = []
        for key, (task, entry, sample, progress) in observations.items():
            name = (key.job, key.occurrence, key.step)
            step = steps.get(name)
            if step is None:
                step = steps[name] = self._make_step_state(task)
            moves = self._log.get_moves(key)
            runs.append(
                stragglers.RunState(
                    key,
                    entry.identifier,
                    step,
                    sample.percent,
                    progress,
                    sample.speed_limit,
                    task.step.is_best_effort,
                    _is_movable(task) and entry.identifier not in late,
                    moves if moves.count else self._term_moves,
                )
            )
        return runs

    def _make_step_state(self, task: _state.TaskEntry) -> stragglers.StepState:
        job, key = task.job, task.key
        return stragglers.StepState(
            self._monitor.compute_peer_rate(
                (key.job, key.occurrence, key.step)
            ),
            task.step.estimate,
            job.order[0],
            job.occurrences[key.occurrence].remaining[key.step],
            job.compute_following(key.step),
        )

    def _list_late_runners(
        self, stop_timeout: datetime.timedelta
    ) -> frozenset[str]:
        """Returns the runners that are late with a stop, maybe cut off.

        Args:
            stop_timeout: Longest time that a runner takes to stop a run.
        """
        latest = self._context.get_now() - stop_timeout
        return frozenset(
            move.task.runner.identifier
            for move in self._moves
            if move.task.runner is not None
            and move.task.phase is _Phase.STOPPING
            and move.task.phase_since < latest
        )

    def _move_stragglers(
        self, found: list[stragglers.Straggler], now: datetime.timedelta
    ) -> None:
        """Moves those of the stragglers for which there is a place."""
        allowed = self._log.count_allowed(len(self._running), now)
        places = _Places(
            self._context, self._list_candidates(), self._filter_by_ticket
        )
        crowded = self._list_crowded_services()
        try:
            for move in self._moves:
                places.reserve(move.task, move.target)
            for straggler in found:
                task = self._running[straggler.run.task]
                service = task.job.job.queue.service
                reason = ""
                target = None
                if (service, task.step.is_best_effort) in crowded:
                    reason = "tasks wait"
                elif not allowed:
                    reason = "limit"
                else:
                    target = places.find(
                        task,
                        self._slow_runners.identifiers
                        | task.failed_on
                        | {straggler.run.runner},
                    )
                    reason = "no place"
                if target is None:
                    withheld = self._context.metrics.withheld_moves
                    withheld.labels(reason).inc()
                    continue
                allowed -= 1
                self._move(straggler, task, target, now)
        finally:
            places.release()

    def _list_crowded_services(self) -> set[tuple[str, bool]]:
        """Returns the services in which tasks wait for capacity.

        Each with whether these are best-effort tasks. Tasks that wait for a
        ticket, a label, other members of their gang or an observation say
        nothing about capacity.
        """
        now = self._context.get_now()
        crowded = set()
        for group in self._context.job_tracker.waiting.values():
            task = next(iter(group.values()))
            queue, step = task.job.job.queue, task.step
            if (
                queue.advice is None
                and not step.required_label
                and not step.is_gang
                and not step.is_long_running
                and any(
                    waiting.compute_wait(now) >= _MIN_WAIT
                    and not waiting.is_awaiting_near_place
                    and not _crash_suspects.is_suspect(waiting)
                    for waiting in group.values()
                )
            ):
                crowded.add((queue.service, step.is_best_effort))
        return crowded

    def _move(
        self,
        straggler: stragglers.Straggler,
        task: _state.TaskEntry,
        target: str,
        now: datetime.timedelta,
    ) -> None:
        run = straggler.run
        self._context.log.info(
            "straggler_moved",
            task=str(run.task),
            run=task.run,
            runner=run.runner,
            place=target,
            progress_percent=run.percent,
            speed_limit_percent=task.speed_limit_percent,
            percent_per_s=round(straggler.rate, 1),
            full_percent_per_s=round(straggler.full_rate, 1),
            remaining_here_ms=(
                None
                if straggler.here is None
                else straggler.here // _MILLISECOND
            ),
            remaining_elsewhere_ms=straggler.elsewhere // _MILLISECOND,
            lost_work_ms=straggler.lost_work // _MILLISECOND,
            siblings_left=run.step.unfinished - 1,
            moves=run.moves.count + 1,
        )
        self._log.record_move(run.task, now)
        self._moves.append(_Move(task, task.run, target, straggler.lost_work))
        task.departure = _state.Departure(
            run.runner, now + _AVOID_TIME, self._slow_runners.identifiers
        )
        self._context.job_tracker.evict_task(task, "straggler")


class _Places:
    """Finds places for tasks in one pass, without changing the loads.

    Tasks hold the places found for them until `release`, so that two tasks do
    not count on the same capacity. Nothing else runs until then.
    """

    def __init__(
        self,
        context: _context.SchedulerContext,
        candidates: Candidates,
        filter_by_ticket: TicketFilter,
    ) -> None:
        self._context = context
        self._candidates = candidates
        self._filter_by_ticket = filter_by_ticket
        self._reserved: list[
            tuple[placement.CandidateRunner, _state.TaskEntry]
        ] = []
        self._full: set[stragglers.StepName] = set()
        self._searches = 0

    def reserve(self, task: _state.TaskEntry, target: str) -> None:
        """Holds a place for a task that is being moved."""
        service = task.job.job.queue.service
        for candidate in self._candidates.get(service, []):
            if candidate.load.identifier == target:
                candidate.load.add_task(task.key, task.step)
                candidate.update_headrooms()
                self._reserved.append((candidate, task))

    def find(
        self, task: _state.TaskEntry, excluded: frozenset[str]
    ) -> str | None:
        """Returns a runner on which a task can run at full speed, if any."""
        key = task.key
        name = (key.job, key.occurrence, key.step)
        if name in self._full or self._searches >= _MAX_SEARCHES:
            return None
        self._searches += 1
        service = task.job.job.queue.service
        choices = placement.choose_runners(
            [key],
            task.step,
            self._filter_by_ticket(task, self._candidates.get(service, [])),
            self._context.policy,
            is_excluded=excluded.__contains__,
        )
        if not choices:
            self._full.add(name)
            return None
        self._reserved.append((choices[0].candidate, task))
        return choices[0].candidate.load.identifier

    def release(self) -> None:
        """Removes all tasks from the loads again."""
        for candidate, task in self._reserved:
            candidate.load.remove_task(task.key, task.step)
        self._reserved.clear()


def _get_outcome(move: _Move) -> str | None:
    """Returns how a move has ended; None while it is in progress."""
    task = move.task
    if task.run == move.run:
        if task.phase is not _Phase.DONE:
            return None
        is_done = task.job.state not in _UNSUCCESSFUL_STATES
        return "done before" if is_done else "job ended"
    return "failed" if move.run in task.failed_runs else "resumed"


def _is_observed(task: _state.TaskEntry) -> bool:
    """Returns whether the progress of a task's run is recorded.

    Runs that cannot be moved show how fast their runners are.
    """
    step = task.step
    return (
        task.phase is _Phase.RUNNING
        and (step.is_best_effort or step.is_checkpointing)
        and not step.is_long_running
        and not step.is_gang
    )


def _is_movable(task: _state.TaskEntry) -> bool:
    return (
        task.step.is_checkpointing
        and (
            task.speed_limit_percent is not None
            or not task.step.is_best_effort
        )
        and not _crash_suspects.is_suspect(task)
    )
