"""Finds out where a job would be placed now, without submitting it.

It makes the decisions of the next placement pass, with the same code, on
copies of the runners' loads. It never waits, so nothing changes meanwhile.
"""

import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _dry_run_remarks
from tamarackhatch.scheduler import _exclusions
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _large_tasks
from tamarackhatch.scheduler import _prospects
from tamarackhatch.scheduler import _restored_occurrences
from tamarackhatch.scheduler import _runner_choice
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _tickets
from tamarackhatch import where

# Most entries of each list in an answer. An operator reads the first few, and
# the answer stays small.
_MAX_NEXT_BEST = 5
_MAX_EARLIER_STEPS = 5
_NOTHING = datetime.timedelta()

_Rated = tuple[placement.RunnerRating, placement.CandidateRunner]


@attrs.define
class _EarlierWork:
    """Work that is placed before the job."""

    tasks: int = 0
    placed: int = 0
    steps: list[where.WaitingStep] = attrs.field(factory=list)

    def add(
        self, first: _state.TaskEntry, tasks: int, placed: int, reason: str
    ) -> None:
        """Adds waiting tasks of a step."""
        self.tasks += tasks
        self.placed += placed
        key = first.key
        self.steps.append(
            where.WaitingStep(key.job, key.step, tasks, placed, reason)
        )

    def summarise(self) -> where.EarlierWork:
        """Returns it as a part of the answer."""
        return where.EarlierWork(
            len(self.steps),
            self.tasks,
            self.placed,
            tuple(self.steps[:_MAX_EARLIER_STEPS]),
        )


class DryRun:
    """Makes the decisions of one placement pass about a job, and no other."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        dispatcher: _dispatcher.Dispatcher,
        job: model.Job,
    ) -> None:
        """Prepares the dry run.

        Args:
            context: Shared components of the scheduler.
            dispatcher: Dispatcher of the scheduler.
            job: The job, which no component knows.
        """
        self._context = context
        self._dispatcher = dispatcher
        self._now = context.get_now()
        self._service = job.queue.service
        self._entry = _make_entry(job, self._now)
        self._chooser = _runner_choice.RunnerChooser(
            context, dispatcher.precedence.copy()
        )
        self._earlier = _EarlierWork()
        self._candidates = _candidates.list_candidates(
            context,
            self._make_candidate,
            dispatcher.is_registry_outdated,
            self._service,
        )
        self._available = list(self._candidates.get(self._service, []))
        self._isolated: frozenset[str] = frozenset()

    def run(self, configuration: int) -> where.Answer:
        """Returns where the job would be placed, and why.

        Args:
            configuration: Version of the configuration.
        """
        steps = self._place_groups()
        context, job = self._context, self._entry.job
        return where.Answer(
            context.settings.instance,
            context.term,
            configuration,
            job.queue.name,
            self._service,
            job.queue.priority,
            len(self._list_runners()),
            self._make_objective(),
            self._earlier.summarise(),
            tuple(sorted(steps, key=lambda step: step.step)),
            tuple(index for index, step in enumerate(job.steps) if step.after),
            _dry_run_remarks.find_refusal(
                self._dispatcher.waits.get_summaries(), job
            ),
            _dry_run_remarks.list_job_remarks(context, self._entry),
        )

    def _make_candidate(
        self, load: placement.RunnerLoad, now: datetime.timedelta
    ) -> placement.CandidateRunner:
        return placement.CandidateRunner(
            load.copy(), self._context.interference, self._context.policy, now
        )

    def _place_groups(self) -> list[where.StepAnswer]:
        """Places all waiting tasks up to the last of the job's own."""
        waiting = self._context.job_tracker.waiting
        own = _list_groups(self._entry)
        groups = [
            *(
                group
                for group in waiting.values()
                if _get_first(group).job.job.queue.service == self._service
            ),
            *own,
        ]
        ordered = _group_order.order_groups(self._context, groups)
        # The job's own long-running tasks are placed with those that are being
        # collected now.
        is_grouping = not any(
            _group_order.is_new(_get_first(group)) for group in own
        ) and _group_order.is_grouping(self._context, list(waiting.values()))
        self._place_suspects(groups)
        large_tasks = self._dispatcher.large_tasks.make_view(
            waiting, self._candidates
        )
        self._chooser.begin_pass(
            self._candidates, ordered, self._dispatcher.is_withheld
        )
        own_orders = [
            order
            for order, group in ordered
            if _get_first(group).job is self._entry
        ]
        answers: list[where.StepAnswer] = []
        for order, group in ordered:
            if len(answers) == len(own):
                break
            selection = _group_order.select_tasks(
                group, self._dispatcher.is_withheld
            )
            tasks = selection.tasks
            if not tasks or is_grouping and _group_order.is_new(tasks[0]):
                continue
            runners = large_tasks.add_reserved(
                tasks[0], order, self._candidates.get(self._service, [])
            )
            if tasks[0].job is self._entry:
                answers.append(self._place_step(tasks, runners, large_tasks))
                continue
            choices = self._chooser.choose_for_group(tasks, runners)
            self._earlier.add(
                tasks[0],
                len(tasks),
                len(choices),
                placement.describe_precedence(order, own_orders[len(answers)]),
            )
        return answers

    def _place_suspects(self, groups: list[_group_order.Group]) -> None:
        for decision in self._chooser.choose_for_suspects(
            groups,
            self._candidates,
            self._dispatcher.is_paused,
            self._dispatcher.list_allowed,
        ):
            self._earlier.add(
                decision.task,
                1,
                len(decision.choices),
                "it may have crashed a runner, and is observed",
            )
        remaining = self._candidates.get(self._service, [])
        self._isolated = _get_identifiers(self._available) - _get_identifiers(
            remaining
        )

    def _place_step(
        self,
        tasks: list[_state.TaskEntry],
        runners: _runner_choice.Runners,
        large_tasks: _large_tasks.LargeTaskReserver,
    ) -> where.StepAnswer:
        first = tasks[0]
        batches = self._chooser.list_batches(tasks, runners)
        choices = self._chooser.choose_for_group(tasks, runners)
        chosen = self._summarise_choices(choices)
        possible = frozenset(
            candidate.load.identifier
            for batch in batches
            if batch.tasks
            for candidate in batch.candidates
        )
        rated: list[_Rated] = []
        reasons = self._explain_unavailable_runners(runners)
        # A ticket is requested once the job is stored, so that runners
        # without one are rated too.
        has_policy = first.job.job.queue.advice is not None
        for candidate in runners:
            identifier = candidate.load.identifier
            if identifier in chosen:
                continue
            reason, rating = self._rate(first, candidate)
            if reason is None and identifier not in possible:
                reason = (
                    where.Exclusion.NO_TICKET
                    if has_policy
                    else where.Exclusion.NOT_PROVEN
                )
            if reason is not None:
                reasons.append((identifier, reason))
            if rating is not None and reason in (
                None,
                where.Exclusion.NO_TICKET,
            ):
                rated.append((rating, candidate))
        rated.sort(key=lambda item: -item[0].score)
        return where.StepAnswer(
            first.key.step,
            _get_state(len(choices), len(tasks)),
            len(tasks),
            len(choices),
            self._estimate_wait(
                tasks, len(choices), len(rated), runners, large_tasks
            ),
            tuple(chosen.values()),
            tuple(
                self._describe(candidate, rating.score, rating.speed_limit)
                for rating, candidate in rated[:_MAX_NEXT_BEST]
            ),
            len(rated),
            _exclusions.group_exclusions(reasons),
            _dry_run_remarks.list_step_remarks(
                self._context,
                tasks,
                len(choices),
                self._dispatcher.near_places.applies_to(tasks[0].step),
            ),
        )

    def _rate(
        self, task: _state.TaskEntry, candidate: placement.CandidateRunner
    ) -> tuple[where.Exclusion | None, placement.RunnerRating | None]:
        """Returns why a runner cannot get a task, or its rating."""
        rating = placement.rate_if_possible(
            task.key,
            task.step,
            candidate,
            self._chooser.get_policy(self._service),
        )
        min_speed = self._chooser.get_min_speed(task)
        if rating is not None and rating.speed_limit >= min_speed:
            return None, rating
        reason = _exclusions.explain_rejected_candidate(
            task.key, task.step, candidate, rating, min_speed
        )
        return reason, None

    def _explain_unavailable_runners(
        self, runners: _runner_choice.Runners
    ) -> list[tuple[str, where.Exclusion]]:
        """Returns the runners that are not offered to a step, and why."""
        offered = _get_identifiers(runners)
        available = _get_identifiers(self._available)
        reasons = []
        for entry in self._list_runners():
            identifier = entry.identifier
            if identifier in offered:
                continue
            if identifier in self._isolated:
                reason = where.Exclusion.ISOLATED
            elif identifier in available:
                reason = where.Exclusion.RESERVED
            else:
                reason = _exclusions.explain_unavailable_runner(
                    self._context, entry, self._now
                )
            reasons.append((identifier, reason))
        return reasons

    def _list_runners(self) -> list[_fleet.RunnerEntry]:
        return [
            entry
            for entry in self._context.fleet.values()
            if entry.record.service == self._service
        ]

    def _summarise_choices(
        self, choices: list[placement.Choice]
    ) -> dict[str, where.ChosenRunner]:
        chosen: dict[str, where.ChosenRunner] = {}
        for choice in choices:
            identifier = choice.candidate.load.identifier
            known = chosen.get(identifier)
            if known is None:
                known = where.ChosenRunner(
                    self._describe(
                        choice.candidate, choice.score, choice.speed_limit
                    ),
                    (),
                )
            chosen[identifier] = attrs.evolve(
                known, tasks=(*known.tasks, choice.key.index)
            )
        return chosen

    def _describe(
        self,
        candidate: placement.CandidateRunner,
        score: float,
        speed_limit: float,
    ) -> where.RatedRunner:
        record = self._context.fleet[candidate.load.identifier].record
        return where.RatedRunner(
            record.identifier,
            record.rack,
            record.data_centre,
            score,
            round(100 * speed_limit),
        )

    def _estimate_wait(
        self,
        tasks: list[_state.TaskEntry],
        placed: int,
        possible: int,
        runners: _runner_choice.Runners,
        large_tasks: _large_tasks.LargeTaskReserver,
    ) -> datetime.timedelta | None:
        """Returns the expected wait; see `where.StepAnswer`."""
        first = tasks[0]
        if placed == len(tasks):
            is_new = _group_order.is_new(first)
            return self._context.policy.grouping_delay if is_new else _NOTHING
        timing = first.job.job.queue.advice
        if timing is not None and possible:
            return _tickets.estimate_duration(timing, possible)
        if first.step.is_gang:
            # The time at which one task fits says little about all of them.
            return None
        options = large_tasks.list_options(first, runners)
        # A runner with capacity now is rejected for a reason that has no
        # known end.
        times = [time for _, time in options if time > _NOTHING]
        return min(times, default=None)

    def _make_objective(self) -> where.Objective | None:
        queue = self._entry.job.queue
        if not queue.target_latency:
            return None
        first = next(self._entry.iterate_tasks())
        prospect = _prospects.assess_job(first, self._context.clock.get_utc())
        return where.Objective(
            _prospects.compute_objective(self._entry),
            _prospects.compute_order_objective(self._entry),
            prospect.name.lower().replace("_", " "),
        )


def _make_entry(job: model.Job, now: datetime.timedelta) -> _state.JobEntry:
    """Returns a job as it is when it has just been read from the store."""
    entry = _state.JobEntry(job, 0)
    entry.order = _state.compute_order(job)
    occurrence = _restored_occurrences.build_occurrence(entry, 0, None)
    entry.occurrences[0] = occurrence
    for tasks in occurrence.steps:
        for task in tasks:
            if not task.step.after:
                task.phase = _state.TaskPhase.WAITING
                task.phase_since = task.waiting_since = now
    return entry


def _list_groups(entry: _state.JobEntry) -> list[_group_order.Group]:
    """Returns the waiting tasks of a new job, by step and index."""
    return [
        {task.key.index: task for task in tasks}
        for tasks in entry.occurrences[0].steps
        if tasks and not tasks[0].step.after
    ]


def _get_first(group: _group_order.Group) -> _state.TaskEntry:
    return next(iter(group.values()))


def _get_identifiers(runners: _runner_choice.Runners) -> frozenset[str]:
    return frozenset(candidate.load.identifier for candidate in runners)


def _get_state(placed: int, tasks: int) -> where.StepState:
    if placed == tasks:
        return where.StepState.STARTS
    if placed:
        return where.StepState.STARTS_PARTLY
    return where.StepState.WAITS
