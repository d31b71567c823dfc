"""Chooses the runners of waiting tasks, without starting the tasks.

The dispatcher and the dry run share this module, so that a dry run decides as
the next placement pass does. Chosen tasks are added to the loads of the
candidates; nothing else changes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import attrs

from tamarackhatch import placement
from tamarackhatch.scheduler import _attempts
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _filling
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _isolation
from tamarackhatch.scheduler import _precedence
from tamarackhatch.scheduler import _state

Runners = list[placement.CandidateRunner]
ListAllowed = Callable[[_state.TaskEntry, Runners], Runners]
_ANYWHERE: list[frozenset[str]] = [frozenset()]


@attrs.frozen(eq=False)
class SuspectChoice:
    """Decision about a task that may have crashed a runner.

    Attributes:
        task: The task.
        choices: The runner chosen for it; empty if it has to wait.
        candidates: Runners that it was chosen from.
    """

    task: _state.TaskEntry
    choices: list[placement.Choice]
    candidates: Runners


class RunnerChooser:
    """Chooses runners for the groups of one placement pass after another."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        precedence: _precedence.Precedence,
    ) -> None:
        """Creates the chooser of a dispatcher or of a dry run.

        Args:
            context: Shared components of the scheduler.
            precedence: How long tasks have gone before suspects of crashes.
        """
        self._context = context
        self._precedence = precedence
        # Policies, candidates and demands of the present placement pass.
        self._policies: dict[str, placement.PlacementPolicy] = {}
        self._candidates: _candidates.Candidates = {}
        self._infeasible = placement.InfeasibleDemands()
        self._filling = _filling.FillPlanner(context)

    def begin_pass(
        self,
        candidates: _candidates.Candidates,
        ordered: Sequence[_group_order.OrderedGroup],
        is_paused: _group_order.IsPaused,
    ) -> None:
        """Begins a placement pass.

        Args:
            candidates: Runners that may get tasks, by service.
            ordered: The groups of waiting tasks with their sort keys.
            is_paused: Returns whether a task must not start yet.
        """
        self._candidates = candidates
        self._filling.begin_pass(ordered, candidates, is_paused)
        self._infeasible.clear()
        self._policies = {
            service: placement.adapt_policy(
                self._context.policy,
                placement.compute_free_share(
                    candidate.load for candidate in group
                ),
            )
            for service, group in candidates.items()
        }

    def end_pass(self) -> list[_filling.FillReport]:
        """Ends a placement pass whose choices were started.

        Returns:
            How new serving tasks were combined in it.
        """
        return self._filling.end_pass()

    def choose_for_group(
        self, tasks: list[_state.TaskEntry], candidates: Runners
    ) -> list[placement.Choice]:
        """Chooses runners for tasks of one step, for all or none of a gang.

        Args:
            tasks: The tasks; of a gang, all that are waiting.
            candidates: Runners that may get them.
        """
        chosen: list[placement.Choice] = []
        for batch in self.list_batches(tasks, candidates):
            chosen += self.choose_for_batch(batch)
        if tasks[0].step.is_gang:
            return complete_gang(tasks, chosen)
        return chosen

    def choose_for_batch(
        self, batch: _attempts.Batch
    ) -> list[placement.Choice]:
        """Chooses runners for a batch, with the first exclusions that can.

        Tasks that fill a runner with others get their place there.
        """
        filling = self._filling.take_places(batch.tasks)
        keys = {choice.key for choice in filling}
        tasks = [task for task in batch.tasks if task.key not in keys]
        for excluded in batch.exclusions:
            choices = self.choose(tasks, batch.candidates, excluded)
            if choices:
                return filling + choices
        return filling

    def list_batches(
        self, tasks: list[_state.TaskEntry], candidates: Runners
    ) -> list[_attempts.Batch]:
        """Returns the tasks of a step with the runners that may get them.

        Empty for a gang of which some tasks are not waiting.
        """
        first = tasks[0]
        if first.step.is_gang:
            members = first.siblings
            if len(tasks) < len(members):
                return []
            allowed = filter_by_ticket(self._context, members[0], candidates)
            return [_attempts.Batch(members, allowed, _ANYWHERE)]
        allowed = filter_by_ticket(self._context, first, candidates)
        return _attempts.list_batches(self._context, tasks, allowed)

    def choose_for_suspects(
        self,
        groups: Iterable[_group_order.Group],
        candidates: _candidates.Candidates,
        is_paused: _group_order.IsPaused,
        list_allowed: ListAllowed,
    ) -> Iterator[SuspectChoice]:
        """Yields decisions on suspects of crashes, one task for each runner.

        Removes their runners from the candidates. They go before other tasks,
        which would fill the empty runners, and use a limited share of the
        runners.

        Args:
            groups: The waiting tasks.
            candidates: Runners that may get tasks, by service.
            is_paused: Returns whether a task must not start yet.
            list_allowed: Returns those of some runners on which a task may
                start in spite of start commands without an answer.
        """
        context = self._context
        suspects = [
            task
            for group in groups
            for task in group.values()
            if _crash_suspects.is_suspect(task) and not is_paused(task)
        ]
        if not suspects:
            return
        now = context.get_now()
        allowances = _isolation.count_allowances(
            context.list_open_runners(), now
        )
        urgent = _candidates.list_urgent_tasks(context, now)
        self._precedence.retain(urgent)
        for task in urgent:
            service = task.job.job.queue.service
            if (
                allowances[service] > 0
                and self._precedence.may_claim(task, now)
                and not is_paused(task)
                and self._has_place(
                    task, candidates.get(service, []), list_allowed
                )
            ):
                # It goes first, and would find the runner closed.
                self._precedence.claim(task, now)
                allowances[service] = 0
        for task in _isolation.order_suspects(suspects):
            service = task.job.job.queue.service
            group = candidates.get(service, [])
            if allowances[service] <= 0:
                continue
            allowed = list_allowed(
                task, filter_by_ticket(context, task, group)
            )
            choices = self.choose(
                [task],
                _isolation.list_isolation_candidates(
                    task, allowed, context.fleet, now
                ),
            )
            yield SuspectChoice(task, choices, group)
            reserved = [choice.candidate for choice in choices]
            if not choices:
                candidate = _isolation.find_reserved_candidate(
                    task, allowed, context.fleet, now
                )
                reserved = [] if candidate is None else [candidate]
            for candidate in reserved:
                allowances[service] -= 1
                group.remove(candidate)

    def _has_place(
        self,
        task: _state.TaskEntry,
        candidates: Runners,
        list_allowed: ListAllowed,
    ) -> bool:
        """Returns whether a task, and all of its gang, could start now."""
        tasks = task.siblings if task.step.is_gang else [task]
        if any(it.phase is not _state.TaskPhase.WAITING for it in tasks):
            return False
        allowed = filter_by_ticket(self._context, task, candidates)
        for member in tasks:
            allowed = list_allowed(member, allowed)
        choices = self.choose(tasks, allowed)
        placement.release_choices(choices, task.step)
        return len(choices) == len(tasks)

    def choose(
        self,
        tasks: list[_state.TaskEntry],
        candidates: Runners,
        excluded: frozenset[str] = frozenset(),
        is_full_speed: bool = False,
    ) -> list[placement.Choice]:
        """Chooses runners for tasks of one step, and reserves capacity.

        Args:
            tasks: The tasks.
            candidates: Runners to choose from.
            excluded: Identifiers of runners that are left out.
            is_full_speed: Whether only runners at full speed are chosen, even
                if the tasks have waited.
        """
        if not tasks:
            return []
        service = tasks[0].job.job.queue.service
        min_speed = 1.0 if is_full_speed else self.get_min_speed(tasks[0])
        step = tasks[0].step
        are_all = candidates is self._candidates.get(service)
        if are_all and self._infeasible.covers(service, step, min_speed):
            return []
        choices = placement.choose_runners(
            [task.key for task in tasks],
            step,
            candidates,
            self.get_policy(service),
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

    def get_policy(self, service: str) -> placement.PlacementPolicy:
        """Returns the policy of a service in the present pass."""
        return self._policies.get(service, self._context.policy)

    def get_min_speed(self, task: _state.TaskEntry) -> float:
        """Returns the least share of its full speed that a task accepts."""
        policy = self.get_policy(task.job.job.queue.service)
        waited = task.compute_wait(self._context.get_now())
        # A moved task has waited before, and its place may be taken.
        may_be_slower = (
            waited >= policy.full_speed_wait or task.departure is not None
        )
        return policy.min_speed if may_be_slower else 1.0


def complete_gang(
    members: list[_state.TaskEntry], choices: list[placement.Choice]
) -> list[placement.Choice]:
    """Returns the choices of a gang; none, given back, if some are missing."""
    if len(choices) == len(members):
        return choices
    placement.release_choices(choices, members[0].step)
    return []


def filter_by_ticket(
    context: _context.SchedulerContext,
    task: _state.TaskEntry,
    candidates: Runners,
) -> Runners:
    """Returns the runners for which a valid ticket is cached.

    A queue without a placement policy allows all runners.

    Args:
        context: Shared components of the scheduler.
        task: A task of the step.
        candidates: The runners.
    """
    if task.job.job.queue.advice is None:
        return candidates
    step = get_step_name(task)
    return [
        candidate
        for candidate in candidates
        if context.tickets.get_ticket(step, candidate.load.identifier)
    ]


def get_step_name(task: _state.TaskEntry) -> tuple[str, int, int]:
    """Returns job, occurrence and step of a task."""
    return (task.key.job, task.key.occurrence, task.key.step)
