"""State of runs that the decision on moves takes into account."""

import datetime

import attrs

from tamarackhatch import model
from tamarackhatch.stragglers import _moves
from tamarackhatch.stragglers import _progress


@attrs.frozen
class StepState:
    """What the runs of one step have in common.

    Attributes:
        peer_rate: Rate of its tasks without speed limits, in per cent per
            second; None if too few were measured.
        estimate: Rough estimate of the run time of a task; zero if there is
            none.
        priority: Priority of its queue; lower values go first.
        unfinished: Number of its tasks that are not done.
        following: Estimated run time of the longest chain of steps that wait
            for it.
    """

    peer_rate: float | None = None
    estimate: datetime.timedelta = datetime.timedelta()
    priority: float = 0.0
    unfinished: int = 1
    following: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class RunState:
    """A run in progress.

    Attributes:
        task: Its task.
        runner: Identifier of its runner.
        step: State of its step.
        percent: Its progress in the last report, 0 to 100.
        progress: Its rates.
        speed_limit: Share of its full speed at which it may proceed, 0 to 1.
        is_best_effort: Whether no processor time is reserved for it.
        is_movable: Whether it can resume elsewhere and may be moved at all.
        moves: Moves of its task.
    """

    task: model.TaskKey
    runner: str
    step: StepState
    percent: int
    progress: _progress.RunProgress
    speed_limit: float = 1.0
    is_best_effort: bool = True
    is_movable: bool = True
    moves: _moves.TaskMoves = _moves.TaskMoves()
