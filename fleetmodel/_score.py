"""What callers got: credit for jobs and for serving tasks."""

import collections
from collections.abc import Sequence
import math

import attrs

from fleetmodel import _profile
from fleetmodel import _runner
from fleetmodel import _work

# Target violations by best-effort tasks weigh this much more than other losses
# of a window.
_VIOLATION_WEIGHT = 4.0
_WINDOW_S = 2.0
_LATE_FACTOR = 3.0
# A window that earned less counts as not served.
_SERVED = 0.5
# The share of requests that are not served counts on this log scale.
_BEST_UNSERVED = 0.001


@attrs.define
class _Window:
    """A serving job's tasks in one window, in sums over its samples."""

    samples: int = 0
    ready: float = 0.0
    violating: float = 0.0
    over: float = 0.0

    @property
    def credit(self) -> float:
        """Share of the window's worth that is earned."""
        lost = _VIOLATION_WEIGHT * self.violating + self.over
        return max(0.0, (self.ready - lost) / self.samples)


@attrs.frozen
class Score:
    """Figures of one day.

    Attributes:
        whole: Credit earned, as a share of the credit owed.
        nines: Share of requests that were served, on a log scale.
        by_class: Share of the credit earned, by class.
        unserved: Requests that earned nothing, by class.
        violation_s: Task-seconds over target because of best-effort tasks.
        latencies_s: Median latency of completed jobs, by batch class.
        renewals: Looks at runners.
        speed_limits: Commands that set a speed limit.
        starts: Runs started.
    """

    whole: float
    nines: float
    by_class: dict[str, float]
    unserved: dict[str, int]
    violation_s: float
    latencies_s: dict[str, float]
    renewals: int
    speed_limits: int
    starts: int


class Scorer:
    """Samples the runners while a day is simulated."""

    def __init__(self, profile: _profile.Profile) -> None:
        self._profile = profile
        self._windows: dict[tuple[str, int], _Window] = {}
        self._violation_s = 0.0

    def sample(
        self,
        jobs: Sequence[_work.GeneratedJob],
        runners: Sequence[_runner.ModelRunner],
        now: float,
        spacing_s: float,
    ) -> None:
        """Takes the state of all serving tasks."""
        begin = self._profile.lead_s
        if not begin <= now < begin + self._profile.traffic_s:
            return
        target = self._profile.serving.base_ms * 5
        sums: dict[str, list[float]] = collections.defaultdict(
            lambda: [0.0, 0.0, 0.0]
        )
        for item in runners:
            for (
                job,
                is_ready,
                tail_latency,
                tail_latency_alone,
            ) in item.list_serving(now):
                entry = sums[job.identifier]
                entry[0] += is_ready
                if is_ready and tail_latency > target:
                    entry[1 if tail_latency_alone <= target else 2] += 1
        for job in jobs:
            if not isinstance(job.kind, _profile.ServingClass):
                continue
            if not job.submitted + 1.0 < now < job.cancelled:
                continue
            ready, violating, over = sums[job.identifier]
            self._violation_s += violating * spacing_s
            number = int((now - begin) / _WINDOW_S)
            window = self._windows.setdefault(
                (job.identifier, number), _Window()
            )
            count = job.steps[0].count
            window.samples += 1
            window.ready += ready / count
            window.violating += violating / count
            window.over += over / count

    def compute(
        self,
        jobs: Sequence[_work.GeneratedJob],
        completed: dict[str, float],
        counts: collections.Counter[str],
        end: float,
    ) -> Score:
        """Returns the figures of the day.

        Args:
            jobs: All jobs.
            completed: Loop times at which jobs were completed.
            counts: Commands by kind.
            end: Loop time at which the day ended; jobs that were not late
                by then do not count.
        """
        earned: dict[str, float] = collections.defaultdict(float)
        owed: dict[str, float] = collections.defaultdict(float)
        unserved: collections.Counter[str] = collections.Counter()
        latencies: dict[str, list[float]] = collections.defaultdict(list)
        requests = 0
        for job in jobs:
            kind = job.kind
            if not isinstance(kind, _profile.BatchClass):
                continue
            latency = completed.get(job.identifier, math.inf) - job.submitted
            if math.isinf(latency) and job.submitted + job.objective_s > end:
                continue
            requests += 1
            if math.isfinite(latency):
                latencies[kind.name].append(latency)
            credit = _rate_latency(latency, job, kind)
            owed[kind.name] += job.worth
            earned[kind.name] += job.worth * credit
            unserved[kind.name] += credit == 0.0
        serving = self._profile.serving
        for window in self._windows.values():
            requests += 1
            owed[serving.name] += serving.worth
            earned[serving.name] += serving.worth * window.credit
            unserved[serving.name] += window.credit < _SERVED
        share = sum(unserved.values()) / max(1, requests)
        nines = math.log10(max(share, _BEST_UNSERVED)) / math.log10(
            _BEST_UNSERVED
        )
        return Score(
            sum(earned.values()) / sum(owed.values()),
            nines,
            {name: earned[name] / owed[name] for name in owed},
            dict(unserved),
            self._violation_s,
            {
                name: sorted(values)[len(values) // 2]
                for name, values in latencies.items()
            },
            counts["renew"],
            counts["pace"],
            counts["start"],
        )


def _rate_latency(
    latency: float, job: _work.GeneratedJob, kind: _profile.BatchClass
) -> float:
    if latency <= job.objective_s:
        return 1.0
    if latency <= _LATE_FACTOR * job.objective_s:
        return kind.late_worth / kind.worth
    return 0.0
