"""A runner whose tasks use processors and interfere with each other."""

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
# Samples are means over the past, in which its weight falls with this time
# constant; a best-effort task's first sample comes after as long.
_WINDOW_S = 0.5
_LAG_STEP_S = 0.1
_LAG_STEPS = 25


class ModelRunner(runner.RunnerStandIn):
    """A runner that enforces its capacity and reports samples."""

    def __init__(
        self,
        number: int,
        service: str,
        capacity: model.Resources,
        jobs: Jobs,
        interference: _interference.Interference,
        attempts: collections.Counter[str],
        record: history.History,
    ) -> None:
        super().__init__(
            f"i-{number}",
            f"10.1.{number // 200}.{number % 200 + 1}:8000",
            service,
            self._plan_run,
            record,
            capacity.processors,
            capacity.memory_mb,
        )
        self._jobs = jobs
        self._interference = interference
        self._attempts = attempts
        # Shares of best-effort tasks by image, with the time from which they
        # hold.
        self._shares: collections.deque[tuple[float, dict[str, float]]]
        self._shares = collections.deque([(0.0, {})], maxlen=64)

    def list_serving(
        self, now: float
    ) -> list[tuple[_work.GeneratedJob, bool, float, float]]:
        """Returns each serving task: job, ready, tail latency, and alone."""
        self._update()
        shares = self._compute_shares()
        self._record_shares()
        cpu_contention = self._compute_cpu_contention(now)
        rows = []
        for run in self._runs.values():
            job, step = self._find(run.task)
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
        """Answers one call, and notes what changes for the tail latencies."""
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
        truth = job.truths[int(step)][int(index)]
        self._attempts[task] += 1
        if self._attempts[task] <= truth.failures:
            return truth.seconds / 2, "failed"
        return truth.seconds, "done"

    def _has_capacity(self, task: str) -> bool:
        used = [
            self._find(run.task)[1].reserved for run in self._runs.values()
        ]
        needs = self._find(task)[1].reserved
        processors = sum(item.processors for item in used)
        memory = sum(item.memory_mb for item in used)
        return (
            processors + needs.processors <= self.cpu
            and memory + needs.memory_mb <= self.memory
        )

    def _find(self, task: str) -> tuple[_work.GeneratedJob, model.Step]:
        identifier, _, step, _ = task.split(".")
        job = self._jobs[identifier]
        return job, job.steps[int(step)]

    def _is_ready(self, run: runner.Run, now: float) -> bool:
        kind = self._find(run.task)[0].kind
        startup = getattr(kind, "startup_s", 0.0)
        return now - run.started >= startup and not run.is_stopping

    def _compute_shares(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        shares: dict[str, float] = {}
        for run in self._runs.values():
            _, step = self._find(run.task)
            if step.is_best_effort:
                share = step.resources.processors * run.speed_limit / self.cpu
                share *= self._interference.get_intensity(run.task, now)
                shares[step.image] = shares.get(step.image, 0.0) + share
        return shares

    def _compute_cpu_contention(self, now: float) -> float:
        used = 0.0
        for run in self._runs.values():
            job, step = self._find(run.task)
            if step.is_long_running:
                load = self._interference.compute_own_load(job, now)
                used += load * step.resources.processors
            else:
                used += step.resources.processors * run.speed_limit
        return max(0.0, used / self.cpu - 1.0)

    def _record_shares(self) -> None:
        shares = self._compute_shares()
        if shares != self._shares[-1][1]:
            now = asyncio.get_running_loop().time()
            self._shares.append((now, shares))

    def _compute_recent_tail_latency(
        self, job: _work.GeneratedJob, now: float
    ) -> float:
        """Returns the mean tail latency; weights fall into the past."""
        cpu_contention = self._compute_cpu_contention(now)
        total = weights = 0.0
        history = list(reversed(self._shares))
        for step in range(_LAG_STEPS):
            time = now - _LAG_STEP_S * (step + 0.5)
            shares = next((s for since, s in history if since <= time), {})
            weight = math.exp((time - now) / _WINDOW_S)
            total += weight * self._interference.compute_tail_latency(
                job, time, shares, cpu_contention
            )
            weights += weight
        return total / weights

    def _list_run(self, run: runner.Run) -> list[typing.Any]:
        now = asyncio.get_running_loop().time()
        job, step = self._find(run.task)
        if not step.is_long_running:
            percent = int(run.compute_progress(now) * 100)
            use = step.resources.processors * run.speed_limit
            if now - run.started < _WINDOW_S:
                use = 0.0
            sample = self._interference.report_use(run.task, now, use)
            return [run.task, run.run, "", percent, sample]
        if not self._is_ready(run, now):
            return [run.task, run.run, "", 0, 0]
        tail_latency = self._compute_recent_tail_latency(job, now)
        sample = self._interference.report_tail_latency(
            run.task, now, tail_latency
        )
        return [run.task, run.run, "", _READY_PERCENT, sample]
