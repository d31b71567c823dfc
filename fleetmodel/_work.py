"""Generates the jobs of a day, and the behaviour of their tasks."""

import datetime
import math
import random

import attrs

from fleetmodel import _profile
from tamarackhatch import model

_TARGET_BASE_FACTOR = 5.0
_IDENTIFIER_DIGITS = 16


@attrs.frozen
class TaskBehaviour:
    """Behaviour of a task.

    Attributes:
        run_time_s: Run time at full speed, in seconds; infinite for a serving
            task.
        failures: Number of its first runs that fail.
    """

    run_time_s: float
    failures: int = 0


@attrs.frozen
class GeneratedJob:
    """A job of the load.

    Attributes:
        identifier: Its identifier.
        kind: Its class.
        submitted: Loop time of its submission, in seconds.
        cancelled: Loop time of its cancellation, in seconds; infinite for
            none.
        steps: Its steps.
        behaviours: Behaviour of its tasks, by step and index.
        objective_s: Latency within which it earns its full credit, in seconds.
        phase: Phase of its own load, in radians.
        credit: Credit for meeting the objective; for a serving job, for each
            window.
    """

    identifier: str
    kind: _profile.BatchClass | _profile.ServingClass
    submitted: float
    cancelled: float
    steps: tuple[model.Step, ...]
    behaviours: tuple[tuple[TaskBehaviour, ...], ...]
    objective_s: float
    phase: float
    credit: float


class LoadGenerator:
    """Generates the jobs of a day at random."""

    def __init__(self, profile: _profile.Profile, seed: int) -> None:
        self._profile = profile
        self._random = random.Random(seed)
        self._count = 0

    def generate_jobs(self) -> list[GeneratedJob]:
        """Returns the jobs of a day, sorted by submission."""
        profile = self._profile
        jobs = [
            self._draw_serving(1.0 + 0.01 * number)
            for number in range(profile.serving.initial_jobs)
        ]
        jobs += [
            self._draw_serving(time)
            for time in self._draw_times(
                profile.serving.submissions_per_s, 1.0
            )
        ]
        for kind in profile.batch:
            burst_factor = (
                profile.burst_factor if kind is profile.batch[-1] else 1.0
            )
            jobs += [
                self._draw_batch(kind, 4.0 + 0.02 * number)
                for number in range(kind.initial_jobs)
            ]
            jobs += [
                self._draw_batch(kind, time)
                for time in self._draw_times(
                    kind.submissions_per_s, burst_factor
                )
            ]
        return sorted(jobs, key=lambda job: job.submitted)

    def _draw_times(
        self, submissions_per_s: float, burst_factor: float
    ) -> list[float]:
        profile = self._profile
        middle = profile.traffic_s / 2
        times: list[float] = []
        time = 0.0
        while True:
            factor = burst_factor if middle <= time < middle + 6 else 1.0
            time += self._random.expovariate(submissions_per_s * factor)
            if time >= profile.traffic_s:
                return times
            times.append(profile.warmup_s + time)

    def _draw_amount(self, amount: _profile.Amount) -> float:
        """Draws from a log-normal distribution with an upper limit."""
        sigma = math.sqrt(math.log(1 + amount.relative_deviation**2))
        mu = math.log(amount.mean) - sigma**2 / 2
        return min(amount.maximum, self._random.lognormvariate(mu, sigma))

    def _draw_count(self, amount: _profile.Amount) -> int:
        return max(1, round(self._draw_amount(amount)))

    def _make_identifier(self) -> str:
        self._count += 1
        # The last digits vary, so that jobs use all partitions of the store.
        return f"{self._random.getrandbits(64):0{_IDENTIFIER_DIGITS}x}"

    def _draw_resources(
        self, kind: _profile.BatchClass | _profile.ServingClass
    ) -> model.Resources:
        return model.Resources(
            round(self._draw_amount(kind.processors) / 50) * 50,
            round(self._draw_amount(kind.memory_mb)),
        )

    def _draw_serving(self, time: float) -> GeneratedJob:
        kind = self._profile.serving
        count = self._draw_count(kind.task_count)
        tail_latency = kind.base_latency_ms * _TARGET_BASE_FACTOR
        step = model.Step(
            count,
            self._draw_resources(kind),
            is_long_running=True,
            max_per_runner=self._draw_task_limit(kind),
            image=f"serving-{self._random.randrange(kind.image_count)}",
            tail_latency_target=datetime.timedelta(milliseconds=tail_latency),
        )
        return GeneratedJob(
            self._make_identifier(),
            kind,
            time,
            time + self._draw_amount(kind.lifetime_s),
            (step,),
            (tuple(TaskBehaviour(math.inf) for _ in range(count)),),
            math.inf,
            self._random.uniform(0, 2 * math.pi),
            kind.credit,
        )

    def _draw_task_limit(
        self, kind: _profile.BatchClass | _profile.ServingClass
    ) -> int:
        return 2 if self._random.random() < kind.limited_share else 0

    def _draw_batch(
        self, kind: _profile.BatchClass, time: float
    ) -> GeneratedJob:
        image = ""
        if kind.image_count:
            image = f"filler-{self._random.randrange(kind.image_count)}"
        steps = []
        behaviours = []
        chain_s = work = 0.0
        task_limit = self._draw_task_limit(kind)
        for number in range(self._draw_count(kind.step_count)):
            count = self._draw_count(kind.task_count)
            resources = self._draw_resources(kind)
            mean_run_time_s = self._draw_amount(kind.run_time_s)
            step_behaviours = tuple(
                TaskBehaviour(
                    mean_run_time_s * self._random.uniform(0.8, 1.2),
                    int(self._random.random() < kind.failing_share),
                )
                for _ in range(count)
            )
            steps.append(
                model.Step(
                    count,
                    resources,
                    after=(number - 1,) if number else (),
                    is_best_effort=bool(image),
                    is_checkpointing=bool(image),
                    image=image,
                    max_per_runner=task_limit,
                )
            )
            behaviours.append(step_behaviours)
            chain_s += max(
                behaviour.run_time_s for behaviour in step_behaviours
            )
            work += count * mean_run_time_s * resources.processors
        mean_work = (
            kind.step_count.mean
            * kind.task_count.mean
            * kind.run_time_s.mean
            * kind.processors.mean
        )
        return GeneratedJob(
            self._make_identifier(),
            kind,
            time,
            math.inf,
            tuple(steps),
            tuple(behaviours),
            kind.objective_factor * chain_s + kind.objective_extra_s,
            0.0,
            kind.credit * min(4.0, 0.3 + 0.7 * work / mean_work),
        )
