"""How fast runners proceed with their runs, compared with other runners."""

import collections
from collections.abc import Iterable
import datetime
import statistics

from tamarackhatch import model
from tamarackhatch.stragglers import _state

# A runner is slow if its runs have less than this share of the rates of their
# peers. A best-effort task at low usage still has 0.67 of its full speed.
_MIN_RELATIVE_SPEED = 0.6
# A runner without measured runs is taken to be slow for this long after its
# last measurement: a runner that its slow runs have left looks empty.
_MEMORY = datetime.timedelta(seconds=10)


class RunnerSpeeds:
    """Speeds of the runners in one pass, for best-effort and batch runs.

    Reserved processors of a batch run say nothing about the processor time
    that is left over for best-effort runs.
    """

    def __init__(self, runs: Iterable[_state.RunState]) -> None:
        self._speeds: dict[tuple[str, bool], dict[model.TaskKey, float]] = (
            collections.defaultdict(dict)
        )
        for run in runs:
            speed = _compute_relative_speed(run)
            if speed is not None:
                key = (run.runner, run.is_best_effort)
                self._speeds[key][run.task] = speed

    def are_others_slow(self, run: _state.RunState) -> bool | None:
        """Returns whether other runs on a run's runner are slow.

        None if none of them was measured.
        """
        speeds = self._speeds.get((run.runner, run.is_best_effort), {})
        others = [speed for task, speed in speeds.items() if task != run.task]
        return _are_slow(others) if others else None

    def list_measured_runners(self) -> dict[str, bool]:
        """Returns for each runner with a measured run whether it is slow."""
        measured: dict[str, bool] = {}
        for (runner, _), speeds in self._speeds.items():
            is_slow = _are_slow(list(speeds.values()))
            measured[runner] = measured.get(runner, False) or is_slow
        return measured


class SlowRunners:
    """Runners that were measured to be slow in the last seconds."""

    def __init__(self) -> None:
        self._since: dict[str, datetime.timedelta] = {}

    def update(self, speeds: RunnerSpeeds, now: datetime.timedelta) -> None:
        """Updates the runners from the speeds at a monotonic time."""
        for runner, is_slow in speeds.list_measured_runners().items():
            if is_slow:
                self._since[runner] = now
            else:
                self._since.pop(runner, None)
        for runner, measured in list(self._since.items()):
            if now - measured > _MEMORY:
                del self._since[runner]

    @property
    def identifiers(self) -> frozenset[str]:
        """Identifiers of the slow runners."""
        return frozenset(self._since)


def _are_slow(speeds: list[float]) -> bool:
    """Returns whether most of the runs on a runner are slow.

    One slow run of two may be a long task.
    """
    return statistics.median_high(speeds) < _MIN_RELATIVE_SPEED


def _compute_relative_speed(run: _state.RunState) -> float | None:
    """Returns a run's rate as a share of what its task could have.

    None if there is nothing to compare it with.
    """
    rate = run.progress.unlimited_rate
    best_rate = run.progress.best_rate or 0.0
    if rate is None:
        return None
    if run.step.peer_rate is None:
        # Only a run that was faster before shows that its runner is slow.
        is_slower = rate < _MIN_RELATIVE_SPEED * best_rate
        return rate / best_rate if is_slower else None
    reference = max(run.step.peer_rate, best_rate)
    return rate / reference if reference else None
