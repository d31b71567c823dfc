"""Starts waiting tasks on runners that placement chooses."""

import asyncio
import datetime

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _bound_tasks
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _consolidation
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _filling
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _large_tasks
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _long_running_deferral
from tamarackhatch.scheduler import _near_places
from tamarackhatch.scheduler import _pass_pace
from tamarackhatch.scheduler import _precedence
from tamarackhatch.scheduler import _runner_choice
from tamarackhatch.scheduler import _start_limiter
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _waiting_work
from tamarackhatch.scheduler import _waits

# Runners may become schedulable again without an event.
_MAX_PASS_INTERVAL = datetime.timedelta(milliseconds=250)

Group = _group_order.Group


class Dispatcher:
    """Runs placement passes when tasks wait or capacity becomes free.

    Attributes:
        waits: Reports the work that the passes leave waiting.
        precedence: How long tasks have gone before suspects of crashes.
    """

    def __init__(
        self,
        context: _context.SchedulerContext,
        commands: _commands.CommandSender,
    ) -> None:
        self._context = context
        self._commands = commands
        self._deferral = _long_running_deferral.LongRunningDeferral(context)
        self._start_limiter = _start_limiter.StartLimiter(context)
        self._large_tasks = _large_tasks.LargeTaskReserver(context)
        self._bound_tasks = _bound_tasks.BoundTasks(context, self._place_task)
        self.precedence = _precedence.Precedence()
        self.waits = _waits.WaitReporter(context, self.is_withheld)
        self._waiting_work = _waiting_work.WaitingWorkLog(context)
        self._probes = _health.ProbePlacer(
            context, self.is_withheld, self._place_task
        )
        self._chooser = _runner_choice.RunnerChooser(context, self.precedence)
        self._near_places = _near_places.NearPlacer(
            context, self._choose_near, self._start_chosen_tasks
        )
        self._consolidator = _consolidation.Consolidator(
            context, self.is_withheld, self._place_task
        )
        self._candidate_cache = placement.CandidateCache(
            context.interference, context.policy
        )
        self._has_paused_starts = False
        self._paused_version: int | None = None
        self._paused_tasks: frozenset[model.TaskKey] | None = None
        # Tasks that the previous scheduler had not started.
        self._unstarted: frozenset[model.TaskKey] = frozenset()
        self._registry_read = datetime.timedelta.min

    @property
    def is_registry_outdated(self) -> bool:
        """Whether runners may have shrunk since the registry was read.

        Not every runner rejects tasks that do not fit.
        """
        age = self._context.get_now() - self._registry_read
        return age > self._context.settings.bounds.contact

    @property
    def large_tasks(self) -> _large_tasks.LargeTaskReserver:
        """Keeps runners free for large tasks."""
        return self._large_tasks

    @property
    def near_places(self) -> _near_places.NearPlacer:
        """Places tasks that prefer a rack."""
        return self._near_places

    def mark_registry_read(self, time: datetime.timedelta) -> None:
        """Records that all registry rows of a monotonic time were applied."""
        self._registry_read = time

    def pause_starts(
        self,
        version: int | None,
        tasks: frozenset[model.TaskKey] | None,
    ) -> None:
        """Pauses the start of tasks that may already run.

        An earlier scheduler may have started them on runners that have not
        answered yet.

        Args:
            version: Highest row version of the jobs to pause; None for all.
            tasks: The only tasks to pause; None for all.
        """
        self._has_paused_starts = True
        self._paused_version = version
        self._paused_tasks = tasks
        self._context.wake.set()

    def exempt_from_pause(self, tasks: frozenset[model.TaskKey]) -> None:
        """Exempts tasks from pauses, because they run nowhere.

        Args:
            tasks: Tasks that the previous scheduler could have started when
                it handed over.
        """
        self._unstarted = tasks

    def list_unstarted_tasks(self, is_ready: bool) -> list[model.TaskKey]:
        """Returns the waiting tasks that are not paused, to hand over.

        None of them can run anywhere, since they could start. Long-running
        ones are first, for which a successor's wait is a fault.

        Args:
            is_ready: Whether this term has begun to start tasks. Before that
                no task is paused, and those that the previous scheduler had
                not started still run nowhere.
        """
        if not is_ready:
            return sorted(self._unstarted, key=str)
        tasks = [
            task
            for group in self._context.job_tracker.waiting.values()
            for task in group.values()
            if task.runner is None and not self.is_withheld(task)
        ]
        tasks.sort(key=lambda task: not task.step.is_long_running)
        return [task.key for task in tasks]

    def resume_starts(self) -> None:
        """Allows tasks of all jobs to start."""
        self._has_paused_starts = False
        self._context.wake.set()

    async def run(self) -> None:
        """Runs placement passes until cancelled."""
        context = self._context
        while True:
            try:
                pause = self._near_places.limit_pause(_MAX_PASS_INTERVAL)
                pause = self._consolidator.limit_pause(pause)
                pause = context.start_attempts.limit_pause(pause)
                async with asyncio.timeout(pause.total_seconds()):
                    await context.wake.wait()
            except TimeoutError:
                pass
            context.wake.clear()
            began = context.get_now()
            if context.leader_lease.is_valid:
                self.run_pass()
            pause = _pass_pace.compute_pause(
                context.get_now() - began, context.start_window.lateness
            )
            await context.clock.sleep(pause)

    def run_pass(self) -> None:
        """Starts as many waiting tasks as there is capacity for."""
        context = self._context
        waiting = context.job_tracker.waiting
        context.metrics.waiting.set(sum(map(len, waiting.values())))
        context.start_attempts.remove_expired()
        context.load_monitor.open_starts = context.start_attempts.count
        if self._near_places.is_settled(waiting):
            return
        context.load_monitor.waiting = _load_monitor.WaitingTasks()
        if not waiting:
            return
        context.load_monitor.start_limit = context.start_window.limit
        if not self._start_limiter.begin_pass(waiting.values()):
            return
        began = context.get_now()
        ordered = _group_order.order_groups(context, waiting.values())
        groups = [group for _, group in ordered]
        is_grouping = _group_order.is_grouping(context, groups)
        candidates = self.list_candidates()
        self._large_tasks.is_long_running_waiting = any(
            next(iter(group.values())).step.is_long_running for group in groups
        )
        self._consolidator.begin_pass(candidates)
        self._place_suspects(groups, candidates)
        self._large_tasks.begin_pass(waiting, candidates)
        self._chooser.begin_pass(candidates, ordered, self.is_withheld)
        self._near_places.begin_pass(candidates)
        self._deferral.begin_pass(waiting)
        self._probes.place_probes(groups)
        context.load_monitor.counters.placed += self._bound_tasks.place_tasks(
            groups, self.is_paused, self._candidate_cache.get_candidate
        )
        for order, group in ordered:
            self._run_group(group, order, is_grouping, candidates)
        for report in self._chooser.end_pass():
            _filling.record_report(context, report)
        self._consolidator.end_pass(ordered, candidates)
        counters = context.load_monitor.counters
        counters.passes += 1
        counters.pass_time += context.get_now() - began
        self.waits.record_pass(ordered, candidates)
        self._waiting_work.record_pass(
            ordered, candidates, self._large_tasks.list_kept()
        )

    def _run_group(
        self,
        group: Group,
        order: placement.OrderKey,
        is_grouping: bool,
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> None:
        result = self._context.load_monitor.waiting
        most = self._start_limiter.count_startable(group)
        if not most:
            return
        selection = _group_order.select_tasks(group, self.is_withheld, most)
        result.paused += selection.paused
        result.suspects += selection.suspects
        if not (tasks := selection.tasks):
            return
        if is_grouping and _group_order.is_new(tasks[0]):
            result.grouped += len(tasks)
            return
        first = tasks[0]
        remaining = candidates.get(first.job.job.queue.service, [])
        tasks = tasks[: self._deferral.count_due(tasks, order)]
        if not tasks:
            return
        placed = self._place_group(
            tasks, self._large_tasks.add_reserved(first, order, remaining)
        )
        self._context.load_monitor.counters.placed += placed
        self._large_tasks.keep_runner(tasks, order, remaining)
        if placed < len(tasks):
            self._deferral.record_shortage(first, order)
        if first.step.is_best_effort:
            result.best_effort += len(tasks) - placed
        else:
            result.reserving += len(tasks) - placed

    def _place_suspects(
        self,
        groups: list[Group],
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> None:
        """Starts suspects of crashes, at most one on each runner.

        Removes their runners from the candidates.
        """
        for decision in self._chooser.choose_for_suspects(
            groups, candidates, self.is_paused, self.list_allowed
        ):
            choices = decision.choices
            self._context.load_monitor.counters.placed += len(choices)
            self._start_chosen_tasks(choices)
            if not choices:
                self._request_tickets(decision.task, decision.candidates)

    def is_withheld(self, task: _state.TaskEntry) -> bool:
        """Returns whether a task must not start on any runner with room."""
        return self.is_paused(task) or self._bound_tasks.is_bound(task)

    def list_allowed(
        self, task: _state.TaskEntry, candidates: _runner_choice.Runners
    ) -> _runner_choice.Runners:
        """Returns the runners to which no unanswered start binds a task."""
        return self._bound_tasks.list_allowed(task, candidates)

    def is_paused(self, task: _state.TaskEntry) -> bool:
        """Returns whether a task must not start yet after a takeover."""
        if not self._has_paused_starts:
            return False
        if (
            task.is_unblocked_in_term
            or task.key in self._unstarted
            or task.job.job.term >= self._context.term
        ):
            return False
        if (
            self._paused_tasks is not None
            and task.key not in self._paused_tasks
        ):
            return False
        version = self._paused_version
        return version is None or task.job.version <= version

    def list_candidates(self) -> _candidates.Candidates:
        """Returns the runners that may start tasks now, by service."""
        self._candidate_cache.retain(self._context.fleet)
        return _candidates.list_candidates(
            self._context,
            self._candidate_cache.get_candidate,
            self.is_registry_outdated,
        )

    def _place_group(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> int:
        """Starts tasks of one step, and returns their number."""
        first = tasks[0]
        if first.step.is_gang:
            return self._place_gang(tasks, candidates)
        is_near_preferred = self._near_places.applies_to(first.step)
        placed = 0
        for batch in self._chooser.list_batches(tasks, candidates):
            if is_near_preferred and not batch.is_repeated:
                placed += self._near_places.place_tasks(
                    batch.tasks, batch.candidates
                )
            else:
                placed += self._start_chosen_tasks(
                    self._chooser.choose_for_batch(batch)
                )
        if placed < len(tasks):
            self._request_tickets(first, candidates)
        return placed

    def _place_task(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> int:
        """Starts one task, and returns the number of started tasks."""
        allowed = self.filter_by_ticket(task, candidates)
        return self._start_chosen_tasks(self._chooser.choose([task], allowed))

    def _choose_near(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
        is_full_speed: bool,
    ) -> list[placement.Choice]:
        return self._chooser.choose(
            tasks, candidates, is_full_speed=is_full_speed
        )

    def _place_gang(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> int:
        """Starts a gang if all its tasks have places; returns their number."""
        members = tasks[0].siblings
        if len(tasks) < len(members):
            return 0
        allowed = self.filter_by_ticket(members[0], candidates)
        if self._near_places.applies_to(members[0].step):
            choices = self._near_places.choose_for_gang(members, allowed)
            choices = _runner_choice.complete_gang(members, choices)
        else:
            choices = self._chooser.choose_for_group(tasks, candidates)
        if choices:
            run = max(task.run for task in members)
            checkpoint = next(
                (task.checkpoint for task in members if task.checkpoint), ""
            )
            for task in members:
                task.run = run
                task.checkpoint = checkpoint
        else:
            self._request_tickets(members[0], candidates)
        return self._start_chosen_tasks(choices)

    def filter_by_ticket(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> list[placement.CandidateRunner]:
        """Returns the runners for which a valid ticket is cached.

        A queue without a placement policy allows all runners.
        """
        return _runner_choice.filter_by_ticket(self._context, task, candidates)

    def _request_tickets(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> None:
        """Requests tickets for runners with capacity that lack one."""
        timing = task.job.job.queue.advice
        if timing is not None:
            self._context.tickets.request_for_candidates(
                task.key, task.step, candidates, timing
            )

    def _start_chosen_tasks(self, choices: list[placement.Choice]) -> int:
        """Starts the chosen tasks and returns their number."""
        for choice in choices:
            task = self._context.job_tracker.find_task(choice.key)
            assert task is not None
            # Starting the task reserves its capacity again.
            choice.candidate.load.remove_task(choice.key, task.step)
            self._start_task(task, choice.candidate, choice.speed_limit)
        return len(choices)

    def _start_task(
        self,
        task: _state.TaskEntry,
        chosen: placement.CandidateRunner,
        speed_limit: float,
    ) -> None:
        context = self._context
        entry = context.fleet[chosen.load.identifier]
        waited = task.compute_wait(context.get_now())
        task.ticket = (
            context.tickets.get_ticket(
                _runner_choice.get_step_name(task), entry.identifier
            )
            or ""
        )
        self._near_places.record_start(task, entry)
        context.job_tracker.begin_start(task, entry)
        context.wait_estimator.record_start(
            entry.record.service, task.step, context.get_now()
        )
        if not task.step.is_long_running:
            context.health.record_start(entry.identifier, context.get_now())
        self._commands.start_task(task, entry, round(speed_limit * 100))
        context.log.info(
            "task_placed",
            task=str(task.key),
            run=task.run,
            runner=entry.identifier,
            waited_ms=waited // datetime.timedelta(milliseconds=1),
            reserved_cpu=entry.load.reserved_cpu,
            best_effort_cpu=entry.load.best_effort_cpu,
            speed_limit_percent=round(speed_limit * 100),
        )
