"""CPU use of the best-effort tasks on one runner, now and in the last second.

A best-effort task has low-usage phases of some seconds, in which it uses less
CPU than it requests and interferes far less with serving tasks.
"""

import collections
import datetime

import attrs

from tamarackhatch import model

# CPU by best-effort image, in thousandths of a core or as a share of the
# runner's processors.
Shares = dict[str, float]
# Tail latency samples cover the last half second, so that older entries
# do not influence them.
_HISTORY_LENGTH = datetime.timedelta(seconds=1)
# A best-effort task that uses at least this share of the CPU that it requests
# is not in a low-usage phase.
_MIN_FULL_USAGE_RATIO = 0.9
# The intensity is the ratio of used to requested CPU, to this power: a
# low-usage task uses 0.67 of the CPU that it requests and interferes 0.3 times
# as much.
_INTENSITY_EXPONENT = 3


@attrs.define
class _RunningTask:
    """A best-effort task that runs on the runner.

    Attributes:
        image: Its image.
        processors: CPU that it requests, in thousandths of a core.
        speed_limit: Share of its full speed at which it may run.
        intensity: Interference intensity, from 0 to 1.
    """

    image: str
    processors: int
    speed_limit: float = 1.0
    intensity: float = 1.0


class BestEffortUsage:
    """CPU with which best-effort tasks on a runner interfere, by image.

    A best-effort task that runs at full speed and is not in a low-usage phase
    interferes with all the CPU that it requests.
    """

    def __init__(self) -> None:
        self._tasks: dict[model.TaskKey, _RunningTask] = {}
        self._history: collections.deque[tuple[datetime.timedelta, Shares]]
        self._history = collections.deque()
        self._non_interfering_cpu: Shares = {}

    @property
    def non_interfering_cpu(self) -> Shares:
        """Requested CPU that does not interfere because of low-usage phases.

        By image, in thousandths of a core.
        """
        return self._non_interfering_cpu

    def get_intensity(self, key: model.TaskKey) -> float:
        """Returns the interference intensity of a best-effort task, 0 to 1."""
        task = self._tasks.get(key)
        return 1.0 if task is None else task.intensity

    def add_task(
        self,
        key: model.TaskKey,
        image: str,
        processors: int,
        now: datetime.timedelta,
    ) -> None:
        """Adds a task that runs, at full speed until a speed limit is set.

        Args:
            key: The best-effort task.
            image: Its image.
            processors: CPU that it requests, in thousandths of a core.
            now: Monotonic time.
        """
        self._tasks[key] = _RunningTask(image, processors)
        self._record(now)

    def set_speed_limit(
        self, key: model.TaskKey, speed_limit: float, now: datetime.timedelta
    ) -> None:
        """Sets a task's speed limit, as a share of its full speed."""
        task = self._tasks.get(key)
        if task is not None and task.speed_limit != speed_limit:
            task.speed_limit = speed_limit
            self._record(now)

    def update_intensities(
        self,
        used_cpu_by_task: dict[model.TaskKey, int],
        now: datetime.timedelta,
    ) -> None:
        """Updates intensities from used CPU, in thousandths of a core."""
        is_changed = False
        for key, used_cpu in used_cpu_by_task.items():
            task = self._tasks.get(key)
            if task is None or not used_cpu:
                continue
            allowed_cpu = task.processors * task.speed_limit
            if not allowed_cpu:
                continue
            ratio = used_cpu / allowed_cpu
            intensity = (
                1.0
                if ratio >= _MIN_FULL_USAGE_RATIO
                else round(ratio**_INTENSITY_EXPONENT, 2)
            )
            if intensity != task.intensity:
                task.intensity = intensity
                is_changed = True
        if is_changed:
            self._record(now)

    def remove_task(self, key: model.TaskKey, now: datetime.timedelta) -> None:
        """Removes a best-effort task that runs no longer."""
        if self._tasks.pop(key, None) is not None:
            self._record(now)

    def compute_interfering_shares(
        self,
        begin: datetime.timedelta,
        end: datetime.timedelta,
        capacity: int,
    ) -> Shares:
        """Returns the mean interfering share of the processors, by image.

        Args:
            begin: Begin of the time span, in monotonic time.
            end: Its end.
            capacity: Processors of the runner, in thousandths of a core.
        """
        available_cpu_s = capacity * (end - begin).total_seconds()
        sums: Shares = {}
        end_of_entry = end
        for start_of_entry, shares in reversed(self._history):
            if start_of_entry < end_of_entry:
                weight = (
                    end_of_entry - max(start_of_entry, begin)
                ).total_seconds() / available_cpu_s
                for image, interfering_cpu in shares.items():
                    sums[image] = (
                        sums.get(image, 0.0) + interfering_cpu * weight
                    )
                end_of_entry = start_of_entry
            if start_of_entry <= begin:
                break
        return sums

    def _record(self, now: datetime.timedelta) -> None:
        shares: Shares = {}
        non_interfering_cpu: Shares = {}
        for task in self._tasks.values():
            image, intensity = task.image, task.intensity
            interfering_cpu = task.processors * task.speed_limit * intensity
            if interfering_cpu:
                shares[image] = shares.get(image, 0.0) + interfering_cpu
            if intensity < 1:
                non_interfering = task.processors * (1 - intensity)
                non_interfering_cpu[image] = (
                    non_interfering_cpu.get(image, 0.0) + non_interfering
                )
        self._non_interfering_cpu = non_interfering_cpu
        self._history.append((now, shares))
        while (
            len(self._history) > 1
            and now - self._history[1][0] > _HISTORY_LENGTH
        ):
            self._history.popleft()


def compare_shares(
    earlier: Shares, latest: Shares, min_change: float
) -> Shares:
    """Returns the changes of shares between two times, by image.

    Args:
        earlier: The shares at the earlier time; not negative.
        latest: The same at the later time.
        min_change: Changes that are not larger are left out.
    """
    changes = {}
    for image, share in latest.items():
        change = share - earlier.get(image, 0.0)
        if change > min_change or change < -min_change:
            changes[image] = change
    for image, share in earlier.items():
        if share > min_change and image not in latest:
            changes[image] = -share
    return changes
