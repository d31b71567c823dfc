"""Score of a day: credit for batch jobs and for serving tasks."""

import collections
from collections.abc import Sequence
import math

import attrs

from fleetmodel import _profile
from fleetmodel import _runner
from fleetmodel import _work

# Weight of target violations caused by best-effort tasks, relative to other
# losses of a window.
_VIOLATION_WEIGHT = 4.0
_WINDOW_S = 2.0
# A job that takes longer than this multiple of its objective earns nothing.
_MAX_LATE_FACTOR = 3.0
# A window that earned a smaller share of its credit counts as not served.
_MIN_SERVED_SHARE = 0.5
# Share of unserved requests with an availability score of 1.
_MIN_UNSERVED_SHARE = 0.001


@attrs.define
class _Window:
    """Sums over the samples of a serving job in one window.

    Attributes:
        samples: Number of samples.
        ready: Share of its tasks that are ready, summed over the samples.
        violating: Share of its tasks over their target because of best-effort
            tasks, summed over the samples.
        overloaded: Share of its tasks over their target even without
            interference, summed over the samples.
    """

    samples: int = 0
    ready: float = 0.0
    violating: float = 0.0
    overloaded: float = 0.0

    @property
    def earned_share(self) -> float:
        """Share of the window's credit that is earned."""
        lost = _VIOLATION_WEIGHT * self.violating + self.overloaded
        return max(0.0, (self.ready - lost) / self.samples)


@attrs.frozen
class Score:
    """Score of one day.

    Attributes:
        credit_share: Earned credit, as a share of the possible credit.
        availability_score: Logarithm of the share of unserved requests, scaled
            so that 0 means all and 1 at most one in a thousand.
        credit_share_by_class: The same for each class.
        unserved_by_class: Number of unserved requests, by class: batch jobs
            without credit and windows of serving jobs with little.
        violation_s: Task-seconds over target because of best-effort tasks.
        median_latencies_s: Median latency of completed jobs in seconds, by
            batch class.
        renewals: Number of lease renewals sent to runners.
        speed_limit_commands: Number of commands that set a speed limit.
        starts: Number of start commands sent to runners.
    """

    credit_share: float
    availability_score: float
    credit_share_by_class: dict[str, float]
    unserved_by_class: dict[str, int]
    violation_s: float
    median_latencies_s: dict[str, float]
    renewals: int
    speed_limit_commands: int
    starts: int


class Scorer:
    """Computes the score of a day from samples of its serving tasks."""

    def __init__(self, profile: _profile.Profile) -> None:
        self._profile = profile
        self._windows: dict[tuple[str, int], _Window] = {}
        self._violation_s = 0.0

    def add_samples(
        self,
        jobs: Sequence[_work.GeneratedJob],
        runners: Sequence[_runner.ModelRunner],
        now: float,
        interval_s: float,
    ) -> None:
        """Adds the state of all serving tasks to their windows."""
        begin = self._profile.warmup_s
        if not begin <= now < begin + self._profile.traffic_s:
            return
        target = self._profile.serving.base_latency_ms * 5
        sums: dict[str, list[float]] = collections.defaultdict(
            lambda: [0.0, 0.0, 0.0]
        )
        for runner in runners:
            for (
                job,
                is_ready,
                tail_latency,
                undisturbed_latency,
            ) in runner.list_serving_tasks(now):
                entry = sums[job.identifier]
                entry[0] += is_ready
                if is_ready and tail_latency > target:
                    entry[1 if undisturbed_latency <= target else 2] += 1
        for job in jobs:
            if not isinstance(job.kind, _profile.ServingClass):
                continue
            if not job.submitted + 1.0 < now < job.cancelled:
                continue
            ready, violating, overloaded = sums[job.identifier]
            self._violation_s += violating * interval_s
            number = int((now - begin) / _WINDOW_S)
            window = self._windows.setdefault(
                (job.identifier, number), _Window()
            )
            count = job.steps[0].count
            window.samples += 1
            window.ready += ready / count
            window.violating += violating / count
            window.overloaded += overloaded / count

    def compute_score(
        self,
        jobs: Sequence[_work.GeneratedJob],
        completed: dict[str, float],
        call_counts: collections.Counter[str],
        end: float,
    ) -> Score:
        """Returns the score of the day.

        Args:
            jobs: All jobs.
            completed: Loop times of the completion of jobs, in seconds.
            call_counts: Number of calls to runners, by kind.
            end: Loop time of the end of the day, in seconds. Uncompleted jobs
                whose objective ends later do not count.
        """
        earned_credit: dict[str, float] = collections.defaultdict(float)
        owed_credit: dict[str, float] = collections.defaultdict(float)
        unserved_by_class: collections.Counter[str] = collections.Counter()
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
            earned_share = _compute_earned_share(latency, job, kind)
            owed_credit[kind.name] += job.credit
            earned_credit[kind.name] += job.credit * earned_share
            unserved_by_class[kind.name] += earned_share == 0.0
        serving = self._profile.serving
        for window in self._windows.values():
            requests += 1
            owed_credit[serving.name] += serving.credit
            earned_credit[serving.name] += serving.credit * window.earned_share
            unserved_by_class[serving.name] += (
                window.earned_share < _MIN_SERVED_SHARE
            )
        unserved_share = sum(unserved_by_class.values()) / max(1, requests)
        availability_score = math.log10(
            max(unserved_share, _MIN_UNSERVED_SHARE)
        ) / math.log10(_MIN_UNSERVED_SHARE)
        return Score(
            sum(earned_credit.values()) / sum(owed_credit.values()),
            availability_score,
            {
                name: earned_credit[name] / owed_credit[name]
                for name in owed_credit
            },
            dict(unserved_by_class),
            self._violation_s,
            {
                name: sorted(values)[len(values) // 2]
                for name, values in latencies.items()
            },
            call_counts["renew"],
            call_counts["pace"],
            call_counts["start"],
        )


def _compute_earned_share(
    latency: float, job: _work.GeneratedJob, kind: _profile.BatchClass
) -> float:
    if latency <= job.objective_s:
        return 1.0
    if latency <= _MAX_LATE_FACTOR * job.objective_s:
        return kind.late_credit / kind.credit
    return 0.0
