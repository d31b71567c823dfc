"""Moves long-running tasks, so that large urgent batch tasks fit.

A move stops the task's run; once its exit is known, it starts on the target,
whose place is held until then. A task that loses its place waits as any other.
"""

from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _state
from tamarackhatch import stragglers

_PASS_INTERVAL = datetime.timedelta(milliseconds=250)
# Most waiting tasks get the piece of one that ends within this time.
_MIN_WAIT = datetime.timedelta(milliseconds=300)
# A task that was moved stays where it is for this time.
_MIN_STAY = datetime.timedelta(seconds=30)
# The next placement does not use the runner that a task has left for so long.
_AVOID_TIME = datetime.timedelta(seconds=3)
# A place is held for this time. Idle capacity while a long-running task waits
# is a fault after 3 s.
_MAX_HOLD_TIME = datetime.timedelta(milliseconds=2500)
# Searches for moves in one pass; each looks at all runners.
_MAX_SEARCHES = 8
_MILLISECOND = datetime.timedelta(milliseconds=1)

_Phase = _state.TaskPhase


@attrs.frozen(eq=False)
class _Move:
    """A move in progress.

    Attributes:
        task: The moved task.
        run: Number of the run that is stopped.
        target: Identifier of the runner with a place for the task.
        since: Monotonic time at which the move began.
    """

    task: _state.TaskEntry
    run: int
    target: str
    since: datetime.timedelta


class Consolidator:
    """Plans moves after placement passes, and holds the places for them."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        is_withheld: _group_order.IsPaused,
        place: Callable[
            [_state.TaskEntry, list[placement.CandidateRunner]], int
        ],
    ) -> None:
        """Creates the consolidator of one term.

        Args:
            context: Shared components of the scheduler.
            is_withheld: Returns whether a waiting task must not start.
            place: Starts a task on one of the runners, and returns the number
                of started tasks.
        """
        self._context = context
        self._is_withheld = is_withheld
        self._place = place
        self._moves: list[_Move] = []
        self._log = stragglers.MoveLog()
        # Places of tasks whose runs have not exited, in the present pass.
        self._held: list[
            tuple[placement.CandidateRunner, _state.TaskEntry]
        ] = []
        self._next_pass = datetime.timedelta()
        # Whether the latest placement pass came before moves were due.
        self._is_plan_pending = False

    def limit_pause(self, pause: datetime.timedelta) -> datetime.timedelta:
        """Returns the pause before the next placement pass.

        A pass shortly before moves are due would otherwise put them off for a
        whole pause.

        Args:
            pause: Longest pause.
        """
        if not self._is_plan_pending:
            return pause
        self._is_plan_pending = False
        remaining = self._next_pass - self._context.get_now()
        return min(pause, max(datetime.timedelta(), remaining))

    def begin_pass(self, candidates: _candidates.Candidates) -> None:
        """Begins a placement pass: starts moved tasks on their targets.

        Places of tasks whose runs have not exited are held until its end.

        Args:
            candidates: Runners that may get tasks, by service.
        """
        if not self._moves:
            return
        now = self._context.get_now()
        by_identifier = {
            candidate.load.identifier: candidate
            for group in candidates.values()
            for candidate in group
        }
        moves, self._moves = self._moves, []
        for move in moves:
            task, target = move.task, by_identifier.get(move.target)
            if task.run != move.run or task.phase is _Phase.DONE:
                self._count("ended")
            elif target is None or now - move.since >= _MAX_HOLD_TIME:
                self._count("displaced")
            elif task.phase is _Phase.STOPPING:
                target.load.add_task(task.key, task.step)
                self._held.append((target, task))
                self._moves.append(move)
            else:
                is_placed = not self._is_withheld(task) and self._place(
                    task, [target]
                )
                self._count("moved" if is_placed else "displaced")

    def _count(self, outcome: str) -> None:
        self._context.metrics.consolidation_moves.labels(outcome).inc()

    def end_pass(
        self,
        ordered: list[_group_order.OrderedGroup],
        candidates: _candidates.Candidates,
    ) -> None:
        """Ends a placement pass: plans moves for what it has left waiting.

        Args:
            ordered: The groups of waiting tasks, of which some are empty now,
                with their sort keys.
            candidates: Runners that any task may use, by service.
        """
        now = self._context.get_now()
        self._is_plan_pending = now < self._next_pass
        if not self._is_plan_pending:
            self._next_pass = now + _PASS_INTERVAL
            waiting = self._list_waiting(ordered, now)
            if waiting:
                self._plan_moves(waiting, candidates, now)
        for target, task in self._held:
            target.load.remove_task(task.key, task.step)
        self._held.clear()

    def _list_waiting(
        self,
        ordered: list[_group_order.OrderedGroup],
        now: datetime.timedelta,
    ) -> list[tuple[placement.OrderKey, list[_state.TaskEntry]]]:
        """Returns the tasks that moves may help, by step.

        These are tasks of jobs that can still be served in time. Moves for
        others interrupt more tasks, and serve no more jobs in time.
        """
        found = []
        for order, group in ordered:
            if order.rank is not placement.Rank.BATCH:
                continue
            tasks = [
                task
                for task in group.values()
                if task.compute_wait(now) >= _MIN_WAIT
                and not task.step.is_best_effort
                and not task.step.is_gang
                and task.job.job.queue.advice is None
                and not task.is_awaiting_near_place
                and not _crash_suspects.is_suspect(task)
                and not self._is_withheld(task)
            ]
            if tasks:
                found.append((order, tasks))
        return found

    def _plan_moves(
        self,
        waiting: list[tuple[placement.OrderKey, list[_state.TaskEntry]]],
        candidates: _candidates.Candidates,
        now: datetime.timedelta,
    ) -> None:
        self._log.retain_steps(self._is_known)
        planners: dict[str, placement.ConsolidationPlanner] = {}
        allowed: dict[str, int] = {}
        planned: list[tuple[_state.TaskEntry, placement.PlannedMove]] = []
        searches = 0
        for order, tasks in waiting:
            service = tasks[0].job.job.queue.service
            if service not in planners:
                group = candidates.get(service, [])
                planners[service] = placement.ConsolidationPlanner(
                    self._list_sources(group, now), group
                )
                allowed[service] = self._log.count_allowed(
                    self._count_long_running(group), now
                )
            for task in tasks:
                if searches >= _MAX_SEARCHES or not allowed[service]:
                    break
                searches += 1
                moves = planners[service].plan(
                    task.key, task.step, allowed[service], order.priority
                )
                if not moves:
                    break
                allowed[service] -= len(moves)
                planned += [(task, move) for move in moves]
        for planner in planners.values():
            planner.release()
        for task, move in planned:
            self._begin_move(task, move, now)

    def _list_sources(
        self,
        candidates: list[placement.CandidateRunner],
        now: datetime.timedelta,
    ) -> list[placement.MoveSource]:
        """Returns the runners with tasks that may be moved.

        Args:
            candidates: Runners that any task may use.
            now: Monotonic time.
        """
        sources = []
        are_complete: dict[stragglers.StepName, bool] = {}
        for candidate in candidates:
            entry = self._context.fleet[candidate.load.identifier]
            tasks = []
            for task in entry.tasks.values():
                if not self._is_movable(task, now):
                    continue
                key = task.key
                name = (key.job, key.occurrence, key.step)
                if name not in are_complete:
                    are_complete[name] = _is_complete(task)
                if are_complete[name]:
                    priority = task.job.job.queue.priority
                    tasks.append(
                        placement.MovableTask(key, task.step, priority)
                    )
            if tasks:
                sources.append(placement.MoveSource(candidate, tasks))
        return sources

    def _is_movable(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> bool:
        if (
            not task.step.is_long_running
            or task.step.is_gang
            or task.step.preferred_rack
            or task.job.job.queue.advice is not None
            or _crash_suspects.is_suspect(task)
        ):
            return False
        last = self._log.get_moves(task.key).last
        return last is None or now - last >= _MIN_STAY

    def _count_long_running(
        self, candidates: list[placement.CandidateRunner]
    ) -> int:
        return sum(
            task.step.is_long_running
            for candidate in candidates
            for task in self._context.fleet[
                candidate.load.identifier
            ].tasks.values()
        )

    def _is_known(self, name: stragglers.StepName) -> bool:
        key = model.TaskKey(*name, 0)
        return self._context.job_tracker.find_task(key) is not None

    def _begin_move(
        self,
        waiting: _state.TaskEntry,
        move: placement.PlannedMove,
        now: datetime.timedelta,
    ) -> None:
        task = self._context.job_tracker.find_task(move.task.key)
        assert task is not None
        target = move.target.load.identifier
        self._context.log.info(
            "long_running_task_moved",
            task=str(task.key),
            run=task.run,
            runner=move.source,
            place=target,
            cpu=move.task.processors,
            waiting=str(waiting.key),
            waiting_cpu=waiting.step.reserved.processors,
            waited_ms=waiting.compute_wait(now) // _MILLISECOND,
        )
        self._log.record_move(task.key, now)
        self._moves.append(_Move(task, task.run, target, now))
        task.departure = _state.Departure(move.source, now + _AVOID_TIME)
        self._context.job_tracker.evict_task(task, "consolidation")


def _is_complete(task: _state.TaskEntry) -> bool:
    """Returns whether all tasks of a step are at work."""
    return all(sibling.phase is _Phase.RUNNING for sibling in task.siblings)
