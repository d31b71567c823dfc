"""Checks what callers and runners observe; times are loop times in s."""

import asyncio
from collections.abc import Iterator
import contextlib
import math
import typing

import attrs

from soak import _timeline
from standins import history
from tamarackhatch import model

MAX_ATTEMPTS = 3
_CANCEL_S = 4.0
# Bound of each order, and scopes whose disturbances extend it. An evacuation
# must be obeyed without a store, too.
_ORDERS = {
    "DRAINING": (2.5, frozenset({_timeline.MACHINE, _timeline.CONTROL})),
    "EVACUATED": (history.EVACUATION_BOUND_S, frozenset({_timeline.MACHINE})),
}


@attrs.define
class _Order:
    """Order to start nothing on some runners, until it is withdrawn."""

    rule: str
    runners: frozenset[str]
    given: float
    ended: float = math.inf


@attrs.define
class _KnownJob:
    """Tasks of a job's steps, and what callers were answered when."""

    counts: tuple[int, ...]
    accepted: float = math.inf
    cancelled: float = math.inf
    final: model.JobState | None = None
    final_time: float = math.inf


class Checks:
    """Collects observations, and finds violations of the invariants.

    Bounds do not run while the `Timeline` has a disturbance in their scope.
    """

    def __init__(
        self, run_history: history.History, timeline: _timeline.Timeline
    ) -> None:
        self._history = run_history
        self._timeline = timeline
        self._jobs: dict[str, _KnownJob] = {}
        self._orders: list[_Order] = []
        self._found: list[history.Violation] = []
        self._queues: dict[tuple[int, int], float] = {}

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def report(self, rule: str, subject: str, detail: str) -> None:
        """Records a violation that was observed directly."""
        self._found.append(history.Violation(rule, subject, detail))

    def record_submission(
        self,
        job: str,
        document: dict[str, typing.Any],
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        """Records that a caller is about to submit a job.

        Each of its steps waits for the one before.
        """
        steps = []
        for item in document["steps"]:
            resources = model.Resources(item["cpu"], item["mem_mb"])
            fills = item.get("fills", False)
            step = model.Step(item["count"], resources, is_best_effort=fills)
            steps.append(step)
        self._history.accepted.add(job)
        self._history.record_steps(job, steps)
        self._history.max_attempts_by_job[job] = max_attempts
        self._jobs[job] = _KnownJob(tuple(step.count for step in steps))

    def record_outcome(self, job: str, is_stored: bool) -> None:
        """Records that a job was accepted, or all its attempts refused."""
        if is_stored:
            self._jobs[job].accepted = self._now
        else:
            self._history.accepted.discard(job)
            self._history.refused.add(job)

    def record_state(
        self, job: str, began: float, state: model.JobState
    ) -> None:
        """Records a state that was shown to a request sent at ``began``."""
        known = self._jobs[job]
        if known.final is None and state.is_final:
            known.final, known.final_time = state, self._now
            if state is model.JobState.COMPLETED:
                self._history.completed[job] = self._now
            elif state is model.JobState.CANCELLED:
                # The answer to the cancellation may have been lost.
                known.cancelled = min(known.cancelled, self._now)
        elif began > known.final_time and state is not known.final:
            self.report("REVERTED", job, f"{known.final} became {state}")

    def record_absence(self, job: str, began: float) -> None:
        """Records that an instance knows no such job."""
        known = self._jobs[job]
        if began > min(known.accepted, known.final_time):
            self.report("LOST", job, "accepted, but not known any more")

    def record_cancellation(self, job: str) -> None:
        """Records that a cancellation was acknowledged."""
        self._jobs[job].cancelled = min(self._jobs[job].cancelled, self._now)

    def record_queue(
        self, process: int, version: int, began: float, is_known: bool
    ) -> None:
        """Records whether a process knows the queue of a version."""
        key = (process, version)
        if is_known:
            self._queues.setdefault(key, self._now)
        elif began > self._queues.get(key, math.inf):
            subject = f"process {process}"
            self.report("CONFIGURATION", subject, f"lost version {version}")

    @contextlib.contextmanager
    def expect_no_starts(self, rule: str, *runners: str) -> Iterator[None]:
        """Expects no starts on runners, from the bound of the order on."""
        order = _Order(rule, frozenset(runners), self._now)
        self._orders.append(order)
        yield
        order.ended = self._now

    def is_accepted(self, job: str) -> bool:
        """Returns whether a caller was told that a job is accepted."""
        return job in self._jobs and self._jobs[job].accepted < math.inf

    def is_finished(self, job: str) -> bool:
        """Returns whether a final state was shown."""
        return self._jobs[job].final is not None

    def report_unfinished(self) -> None:
        """Reports the accepted jobs without a final state as lost."""
        for name, job in self._jobs.items():
            if job.accepted < math.inf and job.final is None:
                self.report("LOST", name, "accepted, but did not end")

    def find_violations(self) -> list[history.Violation]:
        """Returns all violations so far."""
        found = self._found + self._history.check(MAX_ATTEMPTS)
        found += [*self._check_orders(), *self._check_cancellations()]
        return found + [*self._check_step_order()]

    def _check_orders(self) -> Iterator[history.Violation]:
        for order in self._orders:
            bound_s, scopes = _ORDERS[order.rule]
            earliest = order.given + bound_s
            for run in self._history.runs:
                if run.runner not in order.runners:
                    continue
                if not earliest < run.started < order.ended:
                    continue
                quiet_s = self._timeline.measure_quiet(
                    scopes | {run.runner}, order.given, run.started
                )
                if quiet_s > bound_s:
                    where = f"run {run.run} on {run.runner} started at"
                    detail = f"{run.started:.2f} s, order: {order.given:.2f} s"
                    yield history.Violation(
                        order.rule, run.task, f"{where} {detail}"
                    )

    def _check_cancellations(self) -> Iterator[history.Violation]:
        scopes = {_timeline.MACHINE, _timeline.CONTROL}
        for run in self._history.runs:
            job = self._jobs.get(run.task.split(".")[0])
            end = self._now if run.exited is None else run.exited
            if job is None or end <= job.cancelled + _CANCEL_S:
                continue
            quiet_s = self._timeline.measure_quiet(
                scopes | {run.runner}, job.cancelled, end
            )
            if quiet_s > _CANCEL_S:
                where = f"run {run.run} on {run.runner} lasted until"
                detail = f"{end:.2f} s, cancelled: {job.cancelled:.2f} s"
                yield history.Violation(
                    "CANCELLED", run.task, f"{where} {detail}"
                )

    def _check_step_order(self) -> Iterator[history.Violation]:
        done: dict[str, float] = {}
        for run in self._history.runs:
            if run.exit_reason == "done" and run.exited is not None:
                done[run.task] = min(run.exited, done.get(run.task, math.inf))
        for run in self._history.runs:
            job, occurrence, step, _ = run.task.split(".")
            if step == "0" or job not in self._jobs:
                continue
            before = int(step) - 1
            for index in range(self._jobs[job].counts[before]):
                earlier = f"{job}.{occurrence}.{before}.{index}"
                if done.get(earlier, math.inf) > run.started:
                    yield history.Violation(
                        "ORDER", run.task, f"started before {earlier} was done"
                    )
