"""Fillers that work on one runner, now and in the last moments."""

import collections
import datetime

import attrs

from tamarackhatch import model

# Processors in use, or their share of a runner's, by filler image.
Shares = dict[str, float]
# Samples cover the last half second; older mixes say nothing about them.
_MEMORY = datetime.timedelta(seconds=1)


@attrs.define
class _Worker:
    """A filler at work."""

    image: str
    processors: int
    pace: float = 1.0


class FillerMix:
    """Processors of a runner that fillers use, by image."""

    def __init__(self) -> None:
        self._workers: dict[model.TaskKey, _Worker] = {}
        self._history: collections.deque[tuple[datetime.timedelta, Shares]]
        self._history = collections.deque()

    def start(
        self,
        key: model.TaskKey,
        image: str,
        processors: int,
        now: datetime.timedelta,
    ) -> None:
        """Notes that a filler works, at full pace until told otherwise.

        Args:
            key: The filler.
            image: Its image.
            processors: What it uses, in thousandths of a core.
            now: Monotonic time.
        """
        self._workers[key] = _Worker(image, processors)
        self._note(now)

    def set_pace(
        self, key: model.TaskKey, pace: float, now: datetime.timedelta
    ) -> None:
        """Notes a filler's pace, as a share of its full speed."""
        worker = self._workers.get(key)
        if worker is not None and worker.pace != pace:
            worker.pace = pace
            self._note(now)

    def end(self, key: model.TaskKey, now: datetime.timedelta) -> None:
        """Notes that a filler does not work any more."""
        if self._workers.pop(key, None) is not None:
            self._note(now)

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

    def _note(self, now: datetime.timedelta) -> None:
        shares: Shares = {}
        for worker in self._workers.values():
            used = worker.processors * worker.pace
            if used:
                shares[worker.image] = shares.get(worker.image, 0.0) + used
        self._history.append((now, shares))
        while len(self._history) > 1 and now - self._history[1][0] > _MEMORY:
            self._history.popleft()
