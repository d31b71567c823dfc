"""Tells jobs that fail everywhere from runners that fail everything."""

import collections
from collections.abc import Mapping

from tamarackhatch.health import _records

# A job that fails on so many runners which fail nothing else is the cause.
_RUNNERS_OF_FAILING_JOB = 3
_MAX_JOBS = 2000


class FailedJobs:
    """Runners on which each of the latest failed jobs has failed."""

    def __init__(self, records: Mapping[str, _records.RunnerRecord]) -> None:
        """Creates an empty collection.

        Args:
            records: What is known of each runner.
        """
        self._records = records
        self._runners: collections.OrderedDict[str, set[str]]
        self._runners = collections.OrderedDict()

    def add(self, job: str, runner: str) -> None:
        """Records that a task of a job failed on a runner."""
        self._runners.setdefault(job, set()).add(runner)
        self._runners.move_to_end(job)
        if len(self._runners) > _MAX_JOBS:
            self._runners.popitem(last=False)

    def get_runners(self, job: str) -> list[str]:
        """Returns the runners on which a job has failed."""
        return list(self._runners.get(job, ()))

    def is_failing(self, job: str) -> bool:
        """Returns whether a job fails wherever it runs."""
        runners = self._runners.get(job, ())
        if len(runners) < _RUNNERS_OF_FAILING_JOB:
            return False
        # A runner that has failed other jobs too may be the cause.
        single = 0
        for runner in runners:
            record = self._records.get(runner)
            single += record is None or not record.failed.keys() - {job}
        return single >= _RUNNERS_OF_FAILING_JOB
