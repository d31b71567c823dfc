"""Gives waiting tasks to runners."""

import asyncio
import datetime
import enum

import attrs

from tamarackhatch import placement
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# Events within this time share one pass.
_PASS_INTERVAL = datetime.timedelta(milliseconds=10)
# Runners become schedulable again without an event.
_MAX_INTERVAL = datetime.timedelta(milliseconds=250)

Group = dict[int, _state.TaskEntry]


class _Rank(enum.IntEnum):
    """Which tasks of one priority go first.

    Attributes:
        STARVED: Long-running tasks that let batch tasks go first for too long.
        BATCH: Batch tasks, those of small jobs first.
        LONG_RUNNING: Long-running tasks, image by image.
    """

    STARVED = 0
    BATCH = 1
    LONG_RUNNING = 2


@attrs.frozen(order=True)
class _SchedulingKey:
    """Sort key of a group of waiting tasks; lower ones go first.

    Attributes:
        priority: Priority of the queue.
        rank: Kind of the tasks.
        demand: Processors that a batch job still wants.
        is_unlimited: Whether long-running tasks may share a runner. Those that
            may not need the most runners of their image; the others fill these
            up.
        image: Image of long-running tasks.
        accepted: When the job was accepted, in seconds since the epoch.
    """

    priority: float
    rank: _Rank
    demand: int
    is_unlimited: bool
    image: str
    accepted: float


class Dispatcher:
    """Runs placement passes when tasks wait or capacity has become free."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        commands: _commands.CommandSender,
    ) -> None:
        self._context = context
        self._commands = commands
        self._has_paused_starts = False
        self._paused_version: int | None = None

    def pause_starts(self, version: int | None) -> None:
        """Keeps jobs from starting.

        Their tasks may run on runners that have not answered yet.

        Args:
            version: Row version up to which jobs are paused; None for all.
        """
        self._has_paused_starts = True
        self._paused_version = version

    def resume_starts(self) -> None:
        """Lets all jobs start."""
        self._has_paused_starts = False
        self._context.wake.set()

    async def run(self) -> None:
        """Runs passes until cancelled."""
        context = self._context
        while True:
            try:
                async with asyncio.timeout(_MAX_INTERVAL.total_seconds()):
                    await context.wake.wait()
            except TimeoutError:
                pass
            context.wake.clear()
            if context.leader_lease.is_valid:
                self.run_pass()
            await context.clock.sleep(_PASS_INTERVAL)

    def run_pass(self) -> None:
        """Places as many waiting tasks as there is capacity for."""
        context = self._context
        waiting = context.job_tracker.waiting
        context.metrics.waiting.set(sum(map(len, waiting.values())))
        if not waiting:
            return
        groups = sorted(waiting.values(), key=self._get_scheduling_key)
        is_grouping = self._is_grouping(groups)
        candidates = self._list_candidates()
        for group in groups:
            tasks = [
                task for task in group.values() if not self._is_paused(task)
            ]
            if not tasks or (is_grouping and _is_new(tasks[0])):
                continue
            service = tasks[0].job.job.queue.service
            self._place_group(tasks, candidates.get(service, []))

    def _is_grouping(self, groups: list[Group]) -> bool:
        """Tells whether new long-running tasks still wait for others."""
        firsts = (next(iter(group.values())) for group in groups)
        oldest = min(
            (task.since for task in firsts if _is_new(task)), default=None
        )
        if oldest is None:
            return False
        return self._context.get_now() - oldest < (
            self._context.policy.grouping_delay
        )

    def _get_scheduling_key(self, group: Group) -> _SchedulingKey:
        task = next(iter(group.values()))
        policy = self._context.policy
        priority, accepted = task.job.order
        waited = self._context.get_now() - task.since
        if not task.step.is_long_running:
            may_wait = waited < policy.batch_wait
            demand = task.job.compute_demand() if may_wait else 0
            return _SchedulingKey(
                priority, _Rank.BATCH, demand, False, "", accepted
            )
        if waited >= policy.long_running_wait:
            return _SchedulingKey(
                priority, _Rank.STARVED, 0, False, "", accepted
            )
        step = task.step
        is_unlimited = not step.max_per_runner
        return _SchedulingKey(
            priority, _Rank.LONG_RUNNING, 0, is_unlimited, step.image, accepted
        )

    def _is_paused(self, task: _state.TaskEntry) -> bool:
        if not self._has_paused_starts:
            return False
        if task.is_opened_in_term or task.job.job.term >= self._context.term:
            return False
        version = self._paused_version
        return version is None or task.job.version <= version

    def _list_candidates(self) -> dict[str, list[placement.CandidateRunner]]:
        context = self._context
        now = context.get_now()
        candidates: dict[str, list[placement.CandidateRunner]] = {}
        for entry in context.fleet.values():
            if entry.is_schedulable(now):
                candidates.setdefault(entry.record.service, []).append(
                    placement.CandidateRunner(
                        entry.load,
                        context.interference,
                        context.policy,
                        now,
                        entry.failures,
                    )
                )
        return candidates

    def _place_group(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> None:
        first = tasks[0]
        if first.step.is_gang:
            self._place_gang(tasks, candidates)
            return
        allowed = self._filter_by_policy(first, candidates)
        unlucky = [task for task in tasks if task.failed_on]
        placed = 0
        for task in unlucky:
            choices = self._choose([task], allowed, task.failed_on)
            choices = choices or self._choose([task], allowed)
            placed += self._start_all(choices)
        others = [task for task in tasks if not task.failed_on]
        placed += self._start_all(self._choose(others, allowed))
        if placed < len(tasks):
            self._ask_policy(first, candidates)

    def _choose(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
        excluded: frozenset[str] = frozenset(),
    ) -> list[placement.Choice]:
        """Chooses runners for tasks of one step, and counts them in there."""
        if not tasks:
            return []
        policy = self._context.policy
        waited = self._context.get_now() - tasks[0].since
        return placement.choose_runners(
            [task.key for task in tasks],
            tasks[0].step,
            candidates,
            policy,
            min_speed=(
                policy.min_speed if waited >= policy.full_speed_wait else 1.0
            ),
            is_excluded=excluded.__contains__,
        )

    def _filter_by_policy(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> list[placement.CandidateRunner]:
        """Returns the runners that the queue's policy is known to allow."""
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

    def _ask_policy(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> None:
        """Asks about runners with capacity whose tickets are not known."""
        timing = task.job.job.queue.advice
        if timing is None:
            return
        step = _get_step_name(task)
        tickets = self._context.tickets
        runners = [
            candidate.load
            for candidate in candidates
            if candidate.load.has_capacity(task.step)
            and placement.is_allowed(candidate.load, task.key, task.step)
            and not tickets.is_denied(step, candidate.load.identifier)
            and not tickets.get_ticket(step, candidate.load.identifier)
        ]
        runners.sort(key=lambda load: load.reserved_cpu)
        tickets.request(step, [load.identifier for load in runners], timing)

    def _place_gang(
        self,
        tasks: list[_state.TaskEntry],
        candidates: list[placement.CandidateRunner],
    ) -> None:
        occurrence = tasks[0].job.occurrences[tasks[0].key.occurrence]
        members = occurrence.steps[tasks[0].key.step]
        if len(tasks) < len(members):
            return
        allowed = self._filter_by_policy(members[0], candidates)
        choices = self._choose(members, allowed)
        if len(choices) < len(members):
            for key, candidate, _ in choices:
                candidate.load.remove(key, members[0].step)
                candidate.refresh()
            self._ask_policy(members[0], candidates)
            return
        run = max(task.run for task in members)
        checkpoint = next((t.checkpoint for t in members if t.checkpoint), "")
        for task in members:
            task.run = run
            task.checkpoint = checkpoint
        self._start_all(choices)

    def _start_all(self, choices: list[placement.Choice]) -> int:
        """Starts chosen tasks, and returns how many there were."""
        for key, candidate, speed_limit in choices:
            task = self._context.job_tracker.find_task(key)
            assert task is not None
            # The start counts it in itself.
            candidate.load.remove(key, task.step)
            self._start(task, candidate, speed_limit)
        return len(choices)

    def _start(
        self,
        task: _state.TaskEntry,
        chosen: placement.CandidateRunner,
        speed_limit: float,
    ) -> None:
        context = self._context
        entry: _fleet.RunnerEntry = context.fleet[chosen.load.identifier]
        waited = context.get_now() - task.since
        task.ticket = (
            context.tickets.get_ticket(_get_step_name(task), entry.identifier)
            or ""
        )
        context.job_tracker.begin_start(task, entry)
        self._commands.start(task, entry, round(speed_limit * 100))
        context.log.info(
            "task_placed",
            task=str(task.key),
            run=task.run,
            runner=entry.identifier,
            waited_ms=waited // datetime.timedelta(milliseconds=1),
            reserved_cpu=entry.load.reserved_cpu,
            filler_cpu=entry.load.best_effort_cpu,
            pace=round(speed_limit * 100),
        )


def _is_new(task: _state.TaskEntry) -> bool:
    return task.step.is_long_running and not task.run


def _get_step_name(task: _state.TaskEntry) -> tuple[str, int, int]:
    return (task.key.job, task.key.occurrence, task.key.step)
