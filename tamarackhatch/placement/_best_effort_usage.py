"""Best-effort tasks that work on one runner, now and in the last moments.

A best-effort task has low-usage phases of some seconds, in which it uses less
of the processors than it wants and interferes with others far less.
"""

import collections
import datetime

import attrs

from tamarackhatch import model

# Processors in use, or their share of a runner's, by best-effort image.
Shares = dict[str, float]
# Samples cover the last half second; older mixes say nothing about them.
_MEMORY = datetime.timedelta(seconds=1)
# A best-effort task that uses this share of what it wants is not in a
# low-usage phase.
_FULL_USE = 0.9
# The interference falls with this power of the processor use: recorded
# best-effort tasks use 0.67 of what they want in a low-usage phase, and
# interfere 0.3 times as much.
_USE_EXPONENT = 3


@attrs.define
class _Worker:
    """A best-effort task at work.

    Attributes:
        image: Its image.
        processors: What it wants, in thousandths of a core.
        speed_limit: Share of its speed at which it may work.
        intensity: How much it interferes, as a share of the most.
    """

    image: str
    processors: int
    speed_limit: float = 1.0
    intensity: float = 1.0


class BestEffortUsage:
    """Interference of best-effort tasks on a runner, by image, in processors.

    A best-effort task that works at full speed and is not in a low-usage phase
    counts with all the processors that it wants.
    """

    def __init__(self) -> None:
        self._workers: dict[model.TaskKey, _Worker] = {}
        self._history: collections.deque[tuple[datetime.timedelta, Shares]]
        self._history = collections.deque()
        self._low_usage: Shares = {}

    @property
    def low_usage(self) -> Shares:
        """Processors that do not count now, because of low-usage phases."""
        return self._low_usage

    def get_intensity(self, key: model.TaskKey) -> float:
        """Returns how much a best-effort task interferes, from 0 to 1."""
        worker = self._workers.get(key)
        return 1.0 if worker is None else worker.intensity

    def start(
        self,
        key: model.TaskKey,
        image: str,
        processors: int,
        now: datetime.timedelta,
    ) -> None:
        """Notes that a task works, at full speed until told otherwise.

        Args:
            key: The best-effort task.
            image: Its image.
            processors: What it wants, in thousandths of a core.
            now: Monotonic time.
        """
        self._workers[key] = _Worker(image, processors)
        self._record(now)

    def set_speed_limit(
        self, key: model.TaskKey, speed_limit: float, now: datetime.timedelta
    ) -> None:
        """Notes a task's speed limit, as a share of its full speed."""
        worker = self._workers.get(key)
        if worker is not None and worker.speed_limit != speed_limit:
            worker.speed_limit = speed_limit
            self._record(now)

    def observe(
        self, uses: dict[model.TaskKey, int], now: datetime.timedelta
    ) -> None:
        """Takes what tasks used lately, in thousandths of a core."""
        is_changed = False
        for key, used in uses.items():
            worker = self._workers.get(key)
            if worker is None or not used or not worker.speed_limit:
                continue
            ratio = used / (worker.processors * worker.speed_limit)
            intensity = (
                1.0 if ratio >= _FULL_USE else round(ratio**_USE_EXPONENT, 2)
            )
            if intensity != worker.intensity:
                worker.intensity = intensity
                is_changed = True
        if is_changed:
            self._record(now)

    def end(self, key: model.TaskKey, now: datetime.timedelta) -> None:
        """Notes that a best-effort task does not work any more."""
        if self._workers.pop(key, None) is not None:
            self._record(now)

    def compute_shares(
        self,
        begin: datetime.timedelta,
        end: datetime.timedelta,
        capacity: int,
    ) -> Shares:
        """Returns each image's mean share of the processors in a time span.

        Args:
            begin: Begin of the time span, in monotonic time.
            end: Its end.
            capacity: Processors of the runner, in thousandths of a core.
        """
        scale = capacity * (end - begin).total_seconds()
        sums: Shares = {}
        until = end
        for since, shares in reversed(self._history):
            if since < until:
                part = (until - max(since, begin)).total_seconds() / scale
                for image, used in shares.items():
                    sums[image] = sums.get(image, 0.0) + used * part
                until = since
            if since <= begin:
                break
        return sums

    def _record(self, now: datetime.timedelta) -> None:
        shares: Shares = {}
        low_usage: Shares = {}
        for worker in self._workers.values():
            image, intensity = worker.image, worker.intensity
            counted = worker.processors * worker.speed_limit * intensity
            if counted:
                shares[image] = shares.get(image, 0.0) + counted
            if intensity < 1:
                unused = worker.processors * (1 - intensity)
                low_usage[image] = low_usage.get(image, 0.0) + unused
        self._low_usage = low_usage
        self._history.append((now, shares))
        while len(self._history) > 1 and now - self._history[1][0] > _MEMORY:
            self._history.popleft()
