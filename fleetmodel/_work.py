"""Generates the load of a day, and the truth about its tasks."""

import datetime
import math
import random

import attrs

from fleetmodel import _profile
from tamarackhatch import model

_TARGET_OF_BASE = 5.0
_JOB_DIGITS = 16


@attrs.frozen
class TaskTruth:
    """What a task really needs.

    Attributes:
        seconds: Run time at full speed; infinite for a serving task.
        failures: How many of its first runs fail.
    """

    seconds: float
    failures: int = 0


@attrs.frozen
class GeneratedJob:
    """A job of the load.

    Attributes:
        identifier: Its identifier.
        kind: Its class.
        submitted: Loop time of its submission.
        cancelled: Loop time of its cancellation; infinite for none.
        steps: Its steps.
        truths: What its tasks need, by step and index.
        objective_s: Latency within which it earns its whole worth.
        phase: Phase of its own load, in radians.
        worth: Credit in time; for a serving job, of each window.
    """

    identifier: str
    kind: _profile.BatchClass | _profile.ServingClass
    submitted: float
    cancelled: float
    steps: tuple[model.Step, ...]
    truths: tuple[tuple[TaskTruth, ...], ...]
    objective_s: float
    phase: float
    worth: float


class LoadGenerator:
    """Draws the jobs of a day."""

    def __init__(self, profile: _profile.Profile, seed: int) -> None:
        self._profile = profile
        self._random = random.Random(seed)
        self._count = 0

    def draw(self) -> list[GeneratedJob]:
        """Returns the jobs of a day in order of their submission."""
        profile = self._profile
        jobs = [
            self._draw_serving(1.0 + 0.01 * number)
            for number in range(profile.serving.initial)
        ]
        jobs += [
            self._draw_serving(time)
            for time in self._draw_times(profile.serving.rate, 1.0)
        ]
        for kind in profile.batch:
            burst = profile.burst if kind is profile.batch[-1] else 1.0
            jobs += [
                self._draw_batch(kind, 4.0 + 0.02 * number)
                for number in range(kind.initial)
            ]
            jobs += [
                self._draw_batch(kind, time)
                for time in self._draw_times(kind.rate, burst)
            ]
        return sorted(jobs, key=lambda job: job.submitted)

    def _draw_times(self, rate: float, burst: float) -> list[float]:
        profile = self._profile
        middle = profile.traffic_s / 2
        times: list[float] = []
        time = 0.0
        while True:
            factor = burst if middle <= time < middle + 6 else 1.0
            time += self._random.expovariate(rate * factor)
            if time >= profile.traffic_s:
                return times
            times.append(profile.lead_s + time)

    def _draw(self, amount: _profile.Amount) -> float:
        """Draws from a log-normal distribution with a limit."""
        sigma = math.sqrt(math.log(1 + amount.spread**2))
        mu = math.log(amount.mean) - sigma**2 / 2
        return min(amount.most, self._random.lognormvariate(mu, sigma))

    def _draw_count(self, amount: _profile.Amount) -> int:
        return max(1, round(self._draw(amount)))

    def _name(self) -> str:
        self._count += 1
        # Ends in different digits, as the partitions of the store do.
        return f"{self._random.getrandbits(64):0{_JOB_DIGITS}x}"

    def _draw_resources(
        self, kind: _profile.BatchClass | _profile.ServingClass
    ) -> model.Resources:
        return model.Resources(
            round(self._draw(kind.processors) / 50) * 50,
            round(self._draw(kind.memory)),
        )

    def _draw_serving(self, time: float) -> GeneratedJob:
        kind = self._profile.serving
        count = self._draw_count(kind.width)
        tail_latency = kind.base_ms * _TARGET_OF_BASE
        step = model.Step(
            count,
            self._draw_resources(kind),
            is_long_running=True,
            max_per_runner=self._draw_limit(kind),
            image=f"serving-{self._random.randrange(kind.images)}",
            tail_latency_target=datetime.timedelta(milliseconds=tail_latency),
        )
        return GeneratedJob(
            self._name(),
            kind,
            time,
            time + self._draw(kind.stay_s),
            (step,),
            (tuple(TaskTruth(math.inf) for _ in range(count)),),
            math.inf,
            self._random.uniform(0, 2 * math.pi),
            kind.worth,
        )

    def _draw_limit(
        self, kind: _profile.BatchClass | _profile.ServingClass
    ) -> int:
        return 2 if self._random.random() < kind.apart_share else 0

    def _draw_batch(
        self, kind: _profile.BatchClass, time: float
    ) -> GeneratedJob:
        image = ""
        if kind.images:
            image = f"filler-{self._random.randrange(kind.images)}"
        steps = []
        truths = []
        chain = work = 0.0
        limit = self._draw_limit(kind)
        for number in range(self._draw_count(kind.steps)):
            count = self._draw_count(kind.width)
            resources = self._draw_resources(kind)
            mean = self._draw(kind.seconds)
            step_truths = tuple(
                TaskTruth(
                    mean * self._random.uniform(0.8, 1.2),
                    int(self._random.random() < kind.fail_share),
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
                    max_per_runner=limit,
                )
            )
            truths.append(step_truths)
            chain += max(truth.seconds for truth in step_truths)
            work += count * mean * resources.processors
        usual = (
            kind.steps.mean
            * kind.width.mean
            * kind.seconds.mean
            * kind.processors.mean
        )
        return GeneratedJob(
            self._name(),
            kind,
            time,
            math.inf,
            tuple(steps),
            tuple(truths),
            kind.stretch * chain + kind.target_s,
            0.0,
            kind.worth * min(4.0, 0.3 + 0.7 * work / usual),
        )
