"""Moves of long-running tasks that join pieces of free processors.

Answers the load in which enough processors are free for an urgent batch task,
but in pieces that long-running tasks have left on many runners. Each of these
tasks may end at any time, so pieces form again however well tasks were placed.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import itertools

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _choice

# Each move interrupts a task for about a second.
_MAX_MOVES = 3
# Combinations of tasks whose places are looked for, the smallest first.
_MAX_OPTIONS = 8
# Targets that are compared for one task, from the smallest piece on.
_MAX_TARGETS = 12

_StepName = tuple[str, int, int]


@attrs.frozen(eq=False)
class MovableTask:
    """A long-running task that may be moved.

    Attributes:
        key: The task.
        step: Its step.
        priority: Priority of its queue.
    """

    key: model.TaskKey
    step: model.Step
    priority: float = 0.0

    @property
    def processors(self) -> int:
        """Processors that it reserves, in thousandths of a core."""
        return self.step.reserved.processors

    @property
    def step_name(self) -> _StepName:
        """Job, occurrence and step."""
        return (self.key.job, self.key.occurrence, self.key.step)


@attrs.frozen(eq=False)
class MoveSource:
    """A runner with tasks that may be moved.

    Attributes:
        candidate: The runner.
        tasks: The tasks.
    """

    candidate: _candidate.CandidateRunner
    tasks: Sequence[MovableTask]


@attrs.frozen(eq=False)
class PlannedMove:
    """A move of a task.

    Attributes:
        task: The task.
        source: Identifier of the runner that it leaves.
        target: Runner with a place for it.
    """

    task: MovableTask
    source: str
    target: _candidate.CandidateRunner


class _PreparedSource:
    """A source, with what does not depend on the waiting task.

    Valid while no moves are planned from or to its runner.

    Attributes:
        source: The runner with its tasks.
        reach: Most processors that a waiting task gets after no move, one
            move and so on. No further entries than there are tasks.
    """

    def __init__(self, source: MoveSource) -> None:
        self.source = source
        processors = [task.step.reserved.processors for task in source.tasks]
        processors.sort(reverse=True)
        free = source.candidate.load.free_cpu
        self.reach = [free]
        for added in processors[:_MAX_MOVES]:
            free += added
            self.reach.append(free)

    @functools.cached_property
    def tasks(self) -> list[MovableTask]:
        """The tasks, those of most processors first."""
        return sorted(self.source.tasks, key=lambda task: -task.processors)

    @functools.cached_property
    def free(self) -> model.Resources:
        """What nothing on the runner reserves or uses."""
        return self.source.candidate.load.compute_free()


@attrs.frozen(eq=False)
class _Option:
    """Tasks of one runner whose processors a waiting task needs.

    Attributes:
        processors: Processors that they reserve, in thousandths of a core.
        source: The runner.
        tasks: The tasks.
    """

    processors: int
    source: MoveSource
    tasks: tuple[MovableTask, ...]


class ConsolidationPlanner:
    """Plans moves for one waiting task after another.

    Places of planned moves are added to the loads of their targets until
    `release`. No runner is used in the moves for two waiting tasks, and of a
    step one task is moved, so that most of them are always at work.
    """

    def __init__(
        self,
        sources: Sequence[MoveSource],
        targets: Sequence[_candidate.CandidateRunner],
    ) -> None:
        """Creates a planner.

        Args:
            sources: Runners with tasks that may be moved.
            targets: Runners to which tasks may be moved.
        """
        pieces = [
            (candidate.load.free_cpu, candidate)
            for candidate in targets
            if not candidate.penalty
        ]
        self._pieces = sorted(pieces, key=lambda piece: piece[0])
        self._sources = [_PreparedSource(source) for source in sources]
        self._planned: list[PlannedMove] = []
        self._moved_steps: set[_StepName] = set()
        # Demands for which there are no moves.
        self._failed: list[model.Resources] = []

    def plan(
        self,
        key: model.TaskKey,
        step: model.Step,
        most: int,
        priority: float = 0.0,
    ) -> list[PlannedMove]:
        """Returns the moves after which a waiting task fits on a runner.

        Must be called for the most urgent tasks first.

        Args:
            key: The waiting task.
            step: Its step.
            most: Largest number of moves.
            priority: Priority of its queue. Tasks of more urgent queues are
                not moved for it.

        Returns:
            The fewest moves that suffice, of few processors; nothing if no
            moves do.
        """
        demand = step.reserved
        if not self._pieces or any(
            failed.fits_in(demand) for failed in self._failed
        ):
            return []
        for count in range(1, min(most, _MAX_MOVES) + 1):
            options = list(self._iterate_options(key, step, count, priority))
            options.sort(key=lambda option: option.processors)
            for option in options[:_MAX_OPTIONS]:
                moves = self._find_targets(option)
                if moves:
                    self._hold(option.source, moves)
                    return moves
        if not step.max_per_runner and not step.required_label:
            self._failed.append(demand)
        return []

    def release(self) -> None:
        """Removes the planned moves from the loads of their targets."""
        for move in self._planned:
            move.target.load.remove_task(move.task.key, move.task.step)
        self._planned.clear()

    def _iterate_options(
        self, key: model.TaskKey, step: model.Step, count: int, priority: float
    ) -> Iterator[_Option]:
        """Yields the smallest combination of so many tasks of each runner."""
        demand = step.reserved.processors
        for prepared in self._sources:
            # Costs less than a call, and leaves out most runners.
            if len(prepared.reach) <= count or prepared.reach[count] < demand:
                continue
            candidate = prepared.source.candidate
            if (
                candidate.load.transient_count < candidate.start_limit
                and _choice.is_allowed(candidate.load, key, step)
            ):
                option = self._find_option(prepared, step, count, priority)
                if option is not None:
                    yield option

    def _find_option(
        self,
        prepared: _PreparedSource,
        step: model.Step,
        count: int,
        priority: float,
    ) -> _Option | None:
        """Returns the smallest combination of a runner's tasks, if any.

        Args:
            prepared: The runner.
            step: Step of the waiting task.
            count: Number of tasks.
            priority: Priority of its queue.
        """
        largest_piece = self._pieces[-1][0]
        moved = self._moved_steps
        movable = [
            task
            for task in prepared.tasks
            if task.priority >= priority
            and task.processors <= largest_piece
            and not (moved and task.step_name in moved)
        ]
        missing = step.reserved.processors - prepared.reach[0]
        most = sum(task.processors for task in movable[:count])
        if len(movable) < count or most < missing:
            return None
        best: _Option | None = None
        for tasks in itertools.combinations(movable, count):
            processors = sum(task.processors for task in tasks)
            if (
                processors >= missing
                and (best is None or processors < best.processors)
                and (
                    count == 1
                    or len({task.step_name for task in tasks}) == count
                )
                and _fits_without(step, prepared.free, tasks)
            ):
                best = _Option(processors, prepared.source, tasks)
        return best

    def _find_targets(self, option: _Option) -> list[PlannedMove]:
        """Returns a place for each task; nothing if one has none."""
        source = option.source.candidate
        taken = [source]
        moves = []
        for task in option.tasks:
            target = self._find_target(task, taken)
            if target is None:
                return []
            taken.append(target)
            moves.append(PlannedMove(task, source.load.identifier, target))
        return moves

    def _find_target(
        self, task: MovableTask, taken: list[_candidate.CandidateRunner]
    ) -> _candidate.CandidateRunner | None:
        """Returns a runner with a small piece that a task fits in.

        Of several, one with tasks of the same image, since best-effort tasks
        get least beside different ones.
        """
        first = bisect.bisect_left(
            self._pieces, task.processors, key=lambda piece: piece[0]
        )
        return min(
            (
                target
                for _, target in self._pieces[first : first + _MAX_TARGETS]
                if target not in taken
                and target.load.has_capacity(task.step)
                and _choice.is_allowed(target.load, task.key, task.step)
            ),
            key=lambda target: _choice.compute_image_mixing(
                task.step, target.load
            ),
            default=None,
        )

    def _hold(self, source: MoveSource, moves: list[PlannedMove]) -> None:
        for move in moves:
            move.target.load.add_task(move.task.key, move.task.step)
        self._planned += moves
        self._moved_steps.update(move.task.step_name for move in moves)
        used = [source.candidate, *(move.target for move in moves)]
        self._pieces = [
            piece for piece in self._pieces if piece[1] not in used
        ]
        self._sources = [
            other
            for other in self._sources
            if other.source.candidate not in used
        ]


def _fits_without(
    step: model.Step, free: model.Resources, tasks: tuple[MovableTask, ...]
) -> bool:
    """Returns whether a task fits into what is free without some tasks."""
    for task in tasks:
        free += task.step.reserved
    return step.reserved.fits_in(free)
