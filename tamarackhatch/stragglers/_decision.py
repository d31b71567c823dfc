"""Decides which runs would be done much sooner on another runner."""

from collections.abc import Iterable
import datetime
import functools
import math

import attrs

from tamarackhatch.stragglers import _moves
from tamarackhatch.stragglers import _speeds
from tamarackhatch.stragglers import _state

_DONE_PERCENT = 100
_SECOND = datetime.timedelta(seconds=1)
# The time elsewhere has to be at most this share of the time here, because
# both are estimates and the next runner may become crowded as well.
_MAX_TIME_SHARE = 0.5
_MIN_GAIN_S = 1.0
_MIN_MOVE_INTERVAL = 3 * _SECOND
_MAX_MOVES = 4


@attrs.frozen
class MoveCost:
    """What a move costs, from the settings of the deployment.

    Attributes:
        stop: Longest time until the run is stopped.
        restore: Time to resume from a checkpoint.
        checkpoint_interval: Work between two checkpoints.
    """

    stop: datetime.timedelta
    restore: datetime.timedelta
    checkpoint_interval: datetime.timedelta

    @functools.cached_property
    def pause_s(self) -> float:
        """Seconds in which a moved run does not proceed."""
        return (self.stop + self.restore).total_seconds()

    @functools.cached_property
    def lost_work(self) -> datetime.timedelta:
        """Work since the last checkpoint, on average.

        Reports do not say how much of the progress a checkpoint covers.
        """
        return self.checkpoint_interval / 2

    @functools.cached_property
    def total(self) -> datetime.timedelta:
        """Time by which a move delays a run at full speed."""
        return self.stop + self.restore + self.lost_work


@attrs.frozen
class Straggler:
    """A run that would be done much sooner on another runner.

    Attributes:
        run: The run.
        rate: Its rate here, in per cent per second; 0 if it is stopped.
        full_rate: Its expected rate elsewhere, in per cent per second.
        here: Remaining time here; None if it does not proceed.
        elsewhere: Time until it is done on another runner.
        lost_work: Work since the last checkpoint, which is repeated.
    """

    run: _state.RunState
    rate: float
    full_rate: float
    here: datetime.timedelta | None
    elsewhere: datetime.timedelta
    lost_work: datetime.timedelta

    @property
    def gain_s(self) -> float:
        """Seconds that a move saves; infinite if it does not proceed here."""
        if self.here is None:
            return math.inf
        return (self.here - self.elsewhere).total_seconds()


def find_stragglers(
    runs: Iterable[_state.RunState],
    speeds: _speeds.RunnerSpeeds,
    cost: MoveCost,
    now: datetime.timedelta,
) -> list[Straggler]:
    """Returns the runs that are worth a move, those to move first first.

    Whether another runner has the capacity is left to the caller.

    Args:
        runs: All runs in progress.
        speeds: Speeds of their runners.
        cost: What a move costs.
        now: Monotonic time.
    """
    stragglers = [
        straggler
        for run in runs
        if (straggler := _assess(run, speeds, cost, now)) is not None
    ]
    return sorted(stragglers, key=_get_order)


def _get_order(
    straggler: Straggler,
) -> tuple[float, int, datetime.timedelta, float]:
    """Returns a sort key; runs that hold back their step go first."""
    step = straggler.run.step
    return (step.priority, step.unfinished, -step.following, -straggler.gain_s)


def _assess(
    run: _state.RunState,
    speeds: _speeds.RunnerSpeeds,
    cost: MoveCost,
    now: datetime.timedelta,
) -> Straggler | None:
    """Compares the remaining times of a run here and elsewhere."""
    if not run.is_movable or not _may_move_again(run.moves, now):
        return None
    rate = _estimate_rate(run, cost, now)
    if rate is None:
        return None
    remaining = _DONE_PERCENT - run.percent
    # Most runs end here: they would not be done sooner at the highest rate.
    if remaining <= 0 or _is_fast_enough(run, rate, cost):
        return None
    here = _SECOND * (remaining / rate) if rate else None
    full_rate = _estimate_full_rate(run, speeds)
    if not full_rate:
        return None
    lost_work = min(cost.lost_work, _SECOND * (run.percent / full_rate))
    elsewhere = (
        _SECOND * (remaining / full_rate) + lost_work + cost.stop
    ) + cost.restore
    straggler = Straggler(run, rate, full_rate, here, elsewhere, lost_work)
    if here is not None and (
        elsewhere > _MAX_TIME_SHARE * here or straggler.gain_s < _MIN_GAIN_S
    ):
        return None
    return straggler


def _is_fast_enough(run: _state.RunState, rate: float, cost: MoveCost) -> bool:
    """Returns whether no estimate of its full rate makes a run a straggler."""
    highest_rate = max(
        run.progress.best_rate or 0.0, run.step.peer_rate or 0.0
    )
    if not rate or not highest_rate:
        return False
    remaining = _DONE_PERCENT - run.percent
    return (
        remaining / rate * _MAX_TIME_SHARE
        < remaining / highest_rate + cost.pause_s
    )


def _may_move_again(moves: _moves.TaskMoves, now: datetime.timedelta) -> bool:
    if moves.count >= _MAX_MOVES:
        return False
    return moves.last is None or now - moves.last >= _MIN_MOVE_INTERVAL


def _estimate_rate(
    run: _state.RunState, cost: MoveCost, now: datetime.timedelta
) -> float | None:
    """Returns the expected rate of a run on its runner, in per cent per s."""
    progress = run.progress
    if not run.speed_limit:
        # Speed limits change several times a second. A run that has been
        # stopped for as long as a move takes is expected to stay so.
        since = progress.stopped_since
        if since is not None and now - since >= cost.total:
            return 0.0
        return progress.rate
    if progress.rate is None:
        return None
    # The limit may have been raised within the measured time.
    return max(progress.rate, (progress.unlimited_rate or 0) * run.speed_limit)


def _estimate_full_rate(
    run: _state.RunState, speeds: _speeds.RunnerSpeeds
) -> float | None:
    """Returns the expected rate of a run on another runner, in per cent per s.

    A run that is slower than its peers is either a longer task or on a slow
    runner. Other runs on the same runner tell which; without any, the runner
    is suspected until the task has been slow on a second one.
    """
    own = run.progress.best_rate
    if own is None:
        if run.step.peer_rate is not None:
            return run.step.peer_rate
        estimate_s = run.step.estimate.total_seconds()
        return _DONE_PERCENT / estimate_s if estimate_s else None
    is_runner_slow = speeds.are_others_slow(run)
    if is_runner_slow is None:
        is_runner_slow = not run.moves.count
    if run.step.peer_rate is None or not is_runner_slow:
        return own
    return max(own, run.step.peer_rate)
