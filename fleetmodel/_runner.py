"""A runner whose tasks use CPU and interfere with each other."""

import asyncio
import collections
import math
import typing

from fleetmodel import _interference
from fleetmodel import _work
from standins import history
from standins import network
from standins import runner
from tamarackhatch import model

Jobs = dict[str, _work.GeneratedJob]
_READY_PERCENT = 100
# A tail latency sample is a mean of the past, weighted exponentially with this
# time constant. A best-effort task reports no CPU use for as long after its
# start.
_SAMPLE_TIME_CONSTANT_S = 0.5
# The mean is computed from this many values at this interval.
_MEAN_STEP_S = 0.1
_MEAN_STEPS = 25


class ModelRunner(runner.RunnerStandIn):
    """A runner that enforces its capacity and reports samples."""

    def __init__(
        self,
        number: int,
        service: str,
        capacity: model.Resources,
        jobs: Jobs,
        interference: _interference.Interference,
        run_counts: collections.Counter[str],
        run_history: history.History,
    ) -> None:
        super().__init__(
            f"i-{number}",
            f"10.1.{number // 200}.{number % 200 + 1}:8000",
            service,
            self._plan_run,
            run_history,
            capacity,
        )
        self.enforces_capacity = True
        self._jobs = jobs
        self._interference = interference
        self._run_counts = run_counts
        # Interfering shares by best-effort image, each with the loop time from
        # which they apply.
        self._share_history: collections.deque[tuple[float, dict[str, float]]]
        self._share_history = collections.deque([(0.0, {})], maxlen=64)

    def list_serving_tasks(
        self, now: float
    ) -> list[tuple[_work.GeneratedJob, bool, float, float]]:
        """Returns the state of each serving task.

        Each entry is the job, whether the task is ready, and its tail latency
        with and without interference, in milliseconds.
        """
        self._update()
        shares = self._compute_shares()
        self._record_shares()
        cpu_contention = self._compute_cpu_contention(now)
        rows = []
        for run in self._runs.values():
            job, step = self._find_step(run.task)
            if step.is_long_running:
                rows.append(
                    (
                        job,
                        self._is_ready(run, now),
                        self._interference.compute_tail_latency(
                            job, now, shares, cpu_contention
                        ),
                        self._interference.compute_tail_latency(job, now, {}),
                    )
                )
        return rows

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call, and records changes of the interfering shares."""
        response = await super().handle(request)
        self._record_shares()
        return response

    def _update(self) -> None:
        before = len(self._runs)
        super()._update()
        if len(self._runs) != before:
            self._record_shares()

    def _plan_run(self, task: str, number: int) -> tuple[float, str]:
        job = self._jobs[task.split(".")[0]]
        _, _, step, index = task.split(".")
        behaviour = job.behaviours[int(step)][int(index)]
        self._run_counts[task] += 1
        if self._run_counts[task] <= behaviour.failures:
            return behaviour.run_time_s / 2, "failed"
        return behaviour.run_time_s, "done"

    def _get_reservation(self, task: str) -> model.Resources:
        return self._find_step(task)[1].reserved

    def _find_step(self, task: str) -> tuple[_work.GeneratedJob, model.Step]:
        identifier, _, step, _ = task.split(".")
        job = self._jobs[identifier]
        return job, job.steps[int(step)]

    def _is_ready(self, run: runner.Run, now: float) -> bool:
        kind = self._find_step(run.task)[0].kind
        startup_s = getattr(kind, "startup_s", 0.0)
        return now - run.started >= startup_s and not run.is_stopping

    def _compute_shares(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        shares: dict[str, float] = {}
        for run in self._runs.values():
            _, step = self._find_step(run.task)
            if step.is_best_effort:
                share = (
                    step.resources.processors
                    * run.speed_limit
                    / self.capacity.processors
                )
                share *= self._interference.get_intensity(run.task, now)
                shares[step.image] = shares.get(step.image, 0.0) + share
        return shares

    def _compute_cpu_contention(self, now: float) -> float:
        used_cpu = 0.0
        for run in self._runs.values():
            job, step = self._find_step(run.task)
            if step.is_long_running:
                load = self._interference.compute_own_load(job, now)
                used_cpu += load * step.resources.processors
            else:
                used_cpu += step.resources.processors * run.speed_limit
        return max(0.0, used_cpu / self.capacity.processors - 1.0)

    def _record_shares(self) -> None:
        shares = self._compute_shares()
        if shares != self._share_history[-1][1]:
            now = asyncio.get_running_loop().time()
            self._share_history.append((now, shares))

    def _compute_recent_tail_latency(
        self, job: _work.GeneratedJob, now: float
    ) -> float:
        """Returns the exponentially weighted mean of the past tail latency."""
        cpu_contention = self._compute_cpu_contention(now)
        weighted_sum = weights = 0.0
        history = list(reversed(self._share_history))
        for step in range(_MEAN_STEPS):
            time = now - _MEAN_STEP_S * (step + 0.5)
            shares = next((s for since, s in history if since <= time), {})
            weight = math.exp((time - now) / _SAMPLE_TIME_CONSTANT_S)
            weighted_sum += weight * self._interference.compute_tail_latency(
                job, time, shares, cpu_contention
            )
            weights += weight
        return weighted_sum / weights

    def _list_run(self, run: runner.Run) -> list[typing.Any]:
        now = asyncio.get_running_loop().time()
        job, step = self._find_step(run.task)
        if not step.is_long_running:
            percent = int(run.compute_progress(now) * 100)
            used_cpu = step.resources.processors * run.speed_limit
            if now - run.started < _SAMPLE_TIME_CONSTANT_S:
                used_cpu = 0.0
            sample = self._interference.report_used_cpu(
                run.task, now, used_cpu
            )
            return [run.task, run.run, "", percent, sample]
        if not self._is_ready(run, now):
            return [run.task, run.run, "", 0, 0]
        tail_latency = self._compute_recent_tail_latency(job, now)
        sample = self._interference.report_tail_latency(
            run.task, now, tail_latency
        )
        return [run.task, run.run, "", _READY_PERCENT, sample]
