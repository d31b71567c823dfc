"""Decides when refused callers are asked to return."""

import collections
import datetime
import math

import attrs

_SECOND = datetime.timedelta(seconds=1)
_MIN_TIME = _SECOND
# A figure for a longer time is of little use, because the load has changed by
# then.
_MAX_TIME = 30 * _SECOND
# A caller that has not returned this long after its time will not return.
_GRACE = 10 * _SECOND
_MAX_CALLERS = 1_024


@attrs.frozen
class _Caller:
    """A caller that was asked to return.

    Attributes:
        first_refused_at: When it was first refused, in UTC.
        work_time: Time for which its job occupies the service's capacity.
        return_at: Monotonic time at which it was asked to return.
        service: Service of the job.
    """

    first_refused_at: datetime.datetime
    work_time: datetime.timedelta
    return_at: datetime.timedelta
    service: str


class ReturnPlan:
    """Refused callers that this instance expects to return."""

    def __init__(self) -> None:
        self._callers: collections.OrderedDict[str, _Caller]
        self._callers = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._callers)

    def add(
        self,
        job: str,
        service: str,
        first_refused_at: datetime.datetime,
        wait: datetime.timedelta,
        work_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Adds a caller and returns after which time it is to return.

        It is to return when capacity is expected and those of its service
        that were refused before it have used theirs.

        Args:
            job: Identifier of its job.
            service: Service of the job.
            first_refused_at: When the job was first refused, in UTC.
            wait: Time until capacity is expected.
            work_time: Time for which the job occupies that capacity.
            now: Monotonic time.
        """
        self.discard(job)
        self._expire(now)
        for caller in self._callers.values():
            if (
                caller.service == service
                and caller.first_refused_at <= first_refused_at
            ):
                wait += caller.work_time
        wait = min(_MAX_TIME, max(_MIN_TIME, wait))
        seconds = math.ceil(wait / _SECOND)
        self._callers[job] = _Caller(
            first_refused_at, work_time, now + seconds * _SECOND, service
        )
        if len(self._callers) > _MAX_CALLERS:
            self._callers.popitem(last=False)
        return seconds * _SECOND

    def discard(self, job: str) -> None:
        """Forgets the caller of a job, because it has returned."""
        self._callers.pop(job, None)

    def _expire(self, now: datetime.timedelta) -> None:
        for job in [
            job
            for job, caller in self._callers.items()
            if now > caller.return_at + _GRACE
        ]:
            del self._callers[job]
