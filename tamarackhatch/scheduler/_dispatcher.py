"""Starts waiting tasks on runners that placement chooses."""

import asyncio
import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _attempts
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _isolation
from tamarackhatch.scheduler import _large_tasks
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _near_places
from tamarackhatch.scheduler import _prospects
from tamarackhatch.scheduler import _state

# Events within this time share one placement pass.
_MIN_PASS_INTERVAL = datetime.timedelta(milliseconds=10)
# Runners may become schedulable again without an event.
_MAX_PASS_INTERVAL = datetime.timedelta(milliseconds=250)

Group = dict[int, _state.TaskEntry]


class Dispatcher:
    """Runs placement passes when tasks wait or capacity becomes free."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        commands: _commands.CommandSender,
    ) -> None:
        self._context = context
        self._commands = commands
        self._large_tasks = _large_tasks.LargeTaskReserver(context)
        self._probes = _health.ProbePlacer(
            context, self._is_paused, self._place_task
        )
        self._near_places = _near_places.NearPlacer(
            context, self._choose_near, self._start_chosen_tasks
        )
        self._candidate_cache = placement.CandidateCache(
            context.interference, context.policy
        )
        # Policies, candidates and demands of the present placement pass.
        self._policies: dict[str, placement.PlacementPolicy] = {}
        self._candidates: dict[str, list[placement.CandidateRunner]] = {}
        self._infeasible = placement.InfeasibleDemands()
        self._has_paused_starts = False
        self._paused_version: int | None = None
        self._registry_read = datetime.timedelta.min

    @property
    def near_places(self) -> _near_places.NearPlacer:
        """Places tasks that prefer a rack."""
        return self._near_places

    def mark_registry_read(self, time: datetime.timedelta) -> None:
        """Records that all registry rows of a monotonic time were applied."""
        self._registry_read = time

    def pause_starts(self, version: int | None) -> None:
        """Pauses the start of tasks that may already run.

        An earlier scheduler may have started them on runners that have not
        answered yet.

        Args:
            version: Highest row version of the jobs to pause; None for all.
        """
        self._has_paused_starts = True
        self._paused_version = version

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
                async with asyncio.timeout(pause.total_seconds()):
                    await context.wake.wait()
            except TimeoutError:
                pass
            context.wake.clear()
            if context.leader_lease.is_valid:
                self.run_pass()
            await context.clock.sleep(_MIN_PASS_INTERVAL)

    def run_pass(self) -> None:
        """Starts as many waiting tasks as there is capacity for."""
        context = self._context
        waiting = context.job_tracker.waiting
        context.metrics.waiting.set(sum(map(len, waiting.values())))
        if self._near_places.is_settled(waiting):
            return
        context.load_monitor.waiting = _load_monitor.WaitingTasks()
        if not waiting:
            return
        began = context.get_now()
        ordered = sorted(
            (
                (self._get_order_key(group), group)
                for group in waiting.values()
            ),
            key=lambda item: item[0],
        )
        groups = [group for _, group in ordered]
        is_grouping = self._is_grouping(groups)
        candidates = self.list_candidates()
        self._large_tasks.is_long_running_waiting = any(
            next(iter(group.values())).step.is_long_running for group in groups
        )
        self._place_suspects(groups, candidates)
        self._large_tasks.begin_pass(waiting, candidates)
        self._candidates = candidates
        self._infeasible.clear()
        self._near_places.begin_pass(candidates)
        self._policies = {
            service: placement.adapt_policy(
                context.policy,
                placement.compute_free_share(
                    candidate.load for candidate in group
                ),
            )
            for service, group in candidates.items()
        }
        self._probes.place_probes(groups)
        for order, group in ordered:
            self._run_group(group, order, is_grouping, candidates)
        counters = context.load_monitor.counters
        counters.passes += 1
        counters.pass_time += context.get_now() - began

    def _run_group(
        self,
        group: Group,
        order: placement.OrderKey,
        is_grouping: bool,
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> None:
        result = self._context.load_monitor.waiting
        tasks = [task for task in group.values() if not self._is_paused(task)]
        result.paused += len(group) - len(tasks)
        waiting = len(tasks)
        tasks = [
            task for task in tasks if not _crash_suspects.is_suspect(task)
        ]
        result.suspects += waiting - len(tasks)
        if not tasks:
            return
        if is_grouping and _is_new(tasks[0]):
            result.grouped += len(tasks)
            return
        first = tasks[0]
        service = first.job.job.queue.service
        remaining = candidates.get(service, [])
        placed = self._place_group(
            tasks, self._large_tasks.add_reserved(first, order, remaining)
        )
        self._context.load_monitor.counters.placed += placed
        self._large_tasks.keep_runner(tasks, order, remaining)
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

        Removes their runners from the candidates. They go before other tasks,
        which would fill the empty runners, and use a limited share of the
        runners.
        """
        context = self._context
        suspects = [
            task
            for group in groups
            for task in group.values()
            if _crash_suspects.is_suspect(task) and not self._is_paused(task)
        ]
        if not suspects:
            return
        now = context.get_now()
        allowances = _isolation.count_allowances(
            context.list_open_runners(), now
        )
        for task in _isolation.order_suspects(suspects):
            service = task.job.job.queue.service
            group = candidates.get(service, [])
            if allowances[service] <= 0:
                continue
            allowed = self.filter_by_ticket(task, group)
            chosen = self._choose_runners(
                [task],
                _isolation.list_isolation_candidates(
                    task, allowed, context.fleet, now
                ),
            )
            context.load_monitor.counters.placed += len(chosen)
            self._start_chosen_tasks(chosen)
            reserved = [candidate for _, candidate, _ in chosen]
            if not chosen:
                self._request_tickets(task, group)
                candidate = _isolation.find_reserved_candidate(
                    task, allowed, context.fleet, now
                )
                reserved = [] if candidate is None else [candidate]
            for candidate in reserved:
                allowances[service] -= 1
                group.remove(candidate)

    def _is_grouping(self, groups: list[Group]) -> bool:
        """Returns whether new long-running tasks are still being collected.

        They are placed together once the oldest has waited long enough.
        """
        firsts = (next(iter(group.values())) for group in groups)
        oldest = min(
            (task.phase_since for task in firsts if _is_new(task)),
            default=None,
        )
        if oldest is None:
            return False
        return self._context.get_now() - oldest < (
            self._context.policy.grouping_delay
        )

    def _get_order_key(self, group: Group) -> placement.OrderKey:
        task = next(iter(group.values()))
        now = self._context.get_now()
        is_moved = any(waiting.departure for waiting in group.values())
        step = task.step
        priority, accepted = task.job.order
        return placement.make_order_key(
            placement.WaitingGroup(
                priority,
                accepted,
                max(waiting.compute_wait(now) for waiting in group.values()),
                step.is_long_running,
                not step.max_per_runner,
                step.image,
                # A moved task has waited and worked before.
                (
                    0
                    if is_moved or step.is_long_running
                    else task.job.compute_demand()
                ),
                _prospects.assess_job(task, self._context.clock.get_utc()),
            ),
            self._context.policy,
        )

    def _is_paused(self, task: _state.TaskEntry) -> bool:
        if not self._has_paused_starts:
            return False
        if (
            task.is_unblocked_in_term
            or task.job.job.term >= self._context.term
        ):
            return False
        version = self._paused_version
        return version is None or task.job.version <= version

    def list_candidates(self) -> dict[str, list[placement.CandidateRunner]]:
        """Returns the runners that may start tasks now, by service."""
        context = self._context
        now = context.get_now()
        # A runner may have shrunk since, and not every runner rejects tasks
        # that do not fit.
        is_outdated = (
            now - self._registry_read > context.settings.bounds.contact
        )
        candidates: dict[str, list[placement.CandidateRunner]] = {}
        self._candidate_cache.retain(context.fleet)
        for entry in context.list_open_runners():
            service = entry.record.service
            if is_outdated and not context.enforces_capacity(service):
                continue
            if (
                entry.is_schedulable(now)
                and not entry.is_isolated(now)
                and not context.health.is_ejected(entry.identifier)
            ):
                candidate = self._candidate_cache.get_candidate(
                    entry.load, now
                )
                _health.restrict_candidate(context, candidate, entry, now)
                candidates.setdefault(service, []).append(candidate)
        for group in candidates.values():
            _health.relax_limits(group)
        return candidates

    def _place_group(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> int:
        """Starts tasks of one step, and returns their number."""
        first = tasks[0]
        if first.step.is_gang:
            return self._place_gang(tasks, candidates)
        allowed = self.filter_by_ticket(first, candidates)
        is_near_preferred = self._near_places.applies_to(first.step)
        placed = 0
        for batch in _attempts.list_batches(self._context, tasks, allowed):
            if not batch.is_repeated and is_near_preferred:
                placed += self._near_places.place_tasks(
                    batch.tasks, batch.candidates
                )
                continue
            for excluded in batch.exclusions:
                choices = self._choose_runners(
                    batch.tasks, batch.candidates, excluded
                )
                placed += self._start_chosen_tasks(choices)
                if choices:
                    break
        if placed < len(tasks):
            self._request_tickets(first, candidates)
        return placed

    def _choose_near(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
        is_full_speed: bool,
    ) -> list[placement.Choice]:
        return self._choose_runners(
            tasks, candidates, is_full_speed=is_full_speed
        )

    def _place_task(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> int:
        """Starts one task, and returns the number of started tasks."""
        allowed = self.filter_by_ticket(task, candidates)
        return self._start_chosen_tasks(self._choose_runners([task], allowed))

    def _choose_runners(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
        excluded: frozenset[str] = frozenset(),
        is_full_speed: bool = False,
    ) -> list[placement.Choice]:
        """Chooses runners for tasks of one step, and reserves capacity."""
        if not tasks:
            return []
        service = tasks[0].job.job.queue.service
        policy = self._policies.get(service, self._context.policy)
        waited = tasks[0].compute_wait(self._context.get_now())
        # A moved task has waited before, and its place may be taken.
        may_be_slower = (
            waited >= policy.full_speed_wait or tasks[0].departure is not None
        )
        min_speed = 1.0
        if may_be_slower and not is_full_speed:
            min_speed = policy.min_speed
        step = tasks[0].step
        are_all = candidates is self._candidates.get(service)
        if are_all and self._infeasible.covers(service, step, min_speed):
            return []
        choices = placement.choose_runners(
            [task.key for task in tasks],
            step,
            candidates,
            policy,
            min_speed=min_speed,
            is_excluded=excluded.__contains__,
        )
        if (
            are_all
            and len(choices) < len(tasks)
            and not excluded
            and not step.max_per_runner
            # Places of an incomplete gang are given back.
            and not step.is_gang
        ):
            self._infeasible.add(service, step, min_speed)
        return choices

    def filter_by_ticket(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> list[placement.CandidateRunner]:
        """Returns the runners for which a valid ticket is cached.

        A queue without a placement policy allows all runners.
        """
        if task.job.job.queue.advice is None:
            return candidates
        step = _get_step_name(task)
        return [
            candidate
            for candidate in candidates
            if self._context.tickets.get_ticket(
                step, candidate.load.identifier
            )
        ]

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

    def _place_gang(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> int:
        occurrence = tasks[0].job.occurrences[tasks[0].key.occurrence]
        members = occurrence.steps[tasks[0].key.step]
        if len(tasks) < len(members):
            return 0
        allowed = self.filter_by_ticket(members[0], candidates)
        if self._near_places.applies_to(members[0].step):
            choices = self._near_places.choose_for_gang(members, allowed)
        else:
            choices = self._choose_runners(members, allowed)
        if len(choices) < len(members):
            for key, candidate, _ in choices:
                candidate.load.remove_task(key, members[0].step)
                candidate.update_headrooms()
            self._request_tickets(members[0], candidates)
            return 0
        run = max(task.run for task in members)
        checkpoint = next((t.checkpoint for t in members if t.checkpoint), "")
        for task in members:
            task.run = run
            task.checkpoint = checkpoint
        return self._start_chosen_tasks(choices)

    def _start_chosen_tasks(self, choices: list[placement.Choice]) -> int:
        """Starts the chosen tasks and returns their number."""
        for key, candidate, speed_limit in choices:
            task = self._context.job_tracker.find_task(key)
            assert task is not None
            # Starting the task reserves its capacity again.
            candidate.load.remove_task(key, task.step)
            self._start_task(task, candidate, speed_limit)
        return len(choices)

    def _start_task(
        self,
        task: _state.TaskEntry,
        chosen: placement.CandidateRunner,
        speed_limit: float,
    ) -> None:
        context = self._context
        entry: _fleet.RunnerEntry = context.fleet[chosen.load.identifier]
        waited = task.compute_wait(context.get_now())
        task.ticket = (
            context.tickets.get_ticket(_get_step_name(task), entry.identifier)
            or ""
        )
        self._near_places.record_start(task, entry)
        context.job_tracker.begin_start(task, entry)
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


def _is_new(task: _state.TaskEntry) -> bool:
    return task.step.is_long_running and not task.run


def _get_step_name(task: _state.TaskEntry) -> tuple[str, int, int]:
    return (task.key.job, task.key.occurrence, task.key.step)
