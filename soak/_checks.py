"""Checks what callers and runners observe."""

import asyncio
from collections.abc import Iterator
import enum
import typing

import attrs

from soak import _timeline
from standins import history
from tamarackhatch import model

MAX_ATTEMPTS = 3
# Bounds of the users' platform, in seconds.
_CANCEL_S = 4.0
_DRAIN_S = 2.5
_EVACUATION_S = history.EVACUATION_BOUND_S


class Submission(enum.Enum):
    """What a caller knows after its last attempt.

    Attributes:
        ACCEPTED: An instance has accepted the job.
        REFUSED: All attempts were refused, or were never sent.
        UNKNOWN: An attempt may have stored the job, or may still store it.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define
class _Order:
    """An operator's order about runners; times are in seconds.

    Attributes:
        rule: Rule that a start after the bound breaks.
        bound_s: Time until it must be obeyed.
        scopes: Scopes whose disturbances extend the bound.
        runners: Names of the runners concerned.
        given: When the store had recorded it.
        ended: When it was withdrawn; infinite while it is in force.
    """

    rule: str
    bound_s: float
    scopes: frozenset[str]
    runners: frozenset[str]
    given: float
    ended: float = float("inf")


@attrs.define
class _KnownJob:
    """What callers know about a job; times are in seconds.

    Attributes:
        steps: Number of tasks of each step.
        accepted: When it was accepted.
        cancelled: When a cancellation was acknowledged.
        final: The first final state that was shown.
        final_time: When it was shown.
    """

    steps: list[int]
    accepted: float = float("inf")
    cancelled: float = float("inf")
    final: model.JobState | None = None
    final_time: float = float("inf")


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
        self, job: str, document: dict[str, typing.Any]
    ) -> None:
        """Records that a caller is about to submit a job."""
        steps = [
            model.Step(
                item["count"],
                model.Resources(item["cpu"], item["mem_mb"]),
                is_best_effort=item.get("fills", False),
            )
            for item in document["steps"]
        ]
        self._history.accepted.add(job)
        self._history.record_steps(job, steps)
        self._jobs[job] = _KnownJob([step.count for step in steps])

    def record_outcome(self, job: str, outcome: Submission) -> None:
        """Records what the caller knows after its last attempt."""
        if outcome is Submission.ACCEPTED:
            self._jobs[job].accepted = self._now
        elif outcome is Submission.REFUSED:
            self._history.accepted.discard(job)
            self._history.refused.add(job)

    def record_state(
        self, job: str, began: float, state: model.JobState
    ) -> None:
        """Records a state that an instance showed.

        Args:
            job: Identifier of the job.
            began: When the request was sent.
            state: The state.
        """
        known = self._jobs[job]
        if known.final is None and state.is_final:
            known.final, known.final_time = state, self._now
            if state is model.JobState.COMPLETED:
                self._history.completed[job] = self._now
            if state is model.JobState.FAILED:
                self._check_failed_job(job)
            if state is model.JobState.CANCELLED and known.cancelled == float(
                "inf"
            ):
                # The caller learns only so that its cancellation, whose
                # answer was lost, was carried out.
                known.cancelled = self._now
        elif began > known.final_time and state is not known.final:
            self.report("REVERTED", job, f"{known.final} became {state}")

    def record_absence(self, job: str, began: float) -> None:
        """Records that an instance knows no such job."""
        known = self._jobs[job]
        if began > min(known.accepted, known.final_time):
            self.report("LOST", job, "accepted, and then not known any more")

    def record_cancellation(self, job: str) -> None:
        """Records that a cancellation was acknowledged."""
        self._jobs[job].cancelled = min(self._jobs[job].cancelled, self._now)

    def record_queue(
        self,
        process: int,
        version: int,
        began: float,
        is_known: bool,
    ) -> None:
        """Records whether a process knows the queue of a version."""
        key = (process, version)
        if is_known:
            self._queues.setdefault(key, self._now)
        elif began > self._queues.get(key, float("inf")):
            self.report(
                "CONFIGURATION",
                f"process {process}",
                f"lost the queue of version {version}",
            )

    def record_order(
        self, is_evacuation: bool, runners: frozenset[str]
    ) -> typing.Callable[[], None]:
        """Records an evacuation or a drain; returns how to withdraw it."""
        scopes = frozenset({_timeline.MACHINE, _timeline.CONTROL})
        order = _Order("DRAINING", _DRAIN_S, scopes, runners, self._now)
        if is_evacuation:
            # It must be obeyed without a store, too.
            scopes = frozenset({_timeline.MACHINE})
            order = _Order(
                "EVACUATED", _EVACUATION_S, scopes, runners, self._now
            )
        self._orders.append(order)

        def withdraw() -> None:
            order.ended = self._now

        return withdraw

    def is_finished(self, job: str) -> bool:
        """Returns whether a final state was shown."""
        return self._jobs[job].final is not None

    def list_unfinished(self) -> list[str]:
        """Returns the accepted jobs without a final state."""
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted < float("inf") and job.final is None
        ]

    def find_violations(self) -> list[history.Violation]:
        """Returns all violations so far."""
        return [
            *self._found,
            *self._history.check(MAX_ATTEMPTS),
            *self._check_orders(),
            *self._check_cancellations(),
            *self._check_step_order(),
        ]

    def _check_orders(self) -> Iterator[history.Violation]:
        for order in self._orders:
            for run in self._history.runs:
                if (
                    run.runner in order.runners
                    and order.given + order.bound_s < run.started < order.ended
                    and self._measure(order.scopes, order.given, run)
                    > order.bound_s
                ):
                    yield history.Violation(
                        order.rule,
                        run.task,
                        f"run {run.run} started on {run.runner} at "
                        f"{run.started:.2f} s, ordered at {order.given:.2f} s",
                    )

    def _measure(
        self,
        scopes: frozenset[str],
        since: float,
        run: history.RunRecord,
        until: float | None = None,
    ) -> float:
        """Measures the undisturbed time until a run's start, or ``until``."""
        return self._timeline.measure_quiet(
            scopes | {run.runner},
            since,
            run.started if until is None else until,
        )

    def _check_cancellations(self) -> Iterator[history.Violation]:
        scopes = frozenset({_timeline.MACHINE, _timeline.CONTROL})
        for run in self._history.runs:
            job = self._jobs.get(run.task.split(".")[0])
            if job is None:
                continue
            end = self._now if run.exited is None else run.exited
            if end <= job.cancelled + _CANCEL_S:
                continue
            if self._measure(scopes, job.cancelled, run, end) > _CANCEL_S:
                yield history.Violation(
                    "CANCELLED",
                    run.task,
                    f"run {run.run} on {run.runner} still ran "
                    f"{_CANCEL_S} s after {job.cancelled:.2f} s",
                )

    def _check_step_order(self) -> Iterator[history.Violation]:
        done: dict[str, float] = {}
        for run in self._history.runs:
            if run.exit_reason == "done" and run.exited is not None:
                done[run.task] = min(
                    run.exited, done.get(run.task, run.exited)
                )
        for run in self._history.runs:
            job, occurrence, step, _ = run.task.split(".")
            if step == "0" or job not in self._jobs:
                continue
            for index in range(self._jobs[job].steps[0]):
                earlier = f"{job}.{occurrence}.0.{index}"
                if done.get(earlier, float("inf")) > run.started:
                    yield history.Violation(
                        "ORDER", run.task, f"started before {earlier} was done"
                    )

    def _check_failed_job(self, job: str) -> None:
        """Checks that a task of a failed job has used up its attempts."""
        failures: dict[str, int] = {}
        for run in self._history.runs:
            if run.task.split(".")[0] == job and run.exit_reason in (
                "failed",
                "crashed",
            ):
                failures[run.task] = failures.get(run.task, 0) + 1
        if max(failures.values(), default=0) < MAX_ATTEMPTS:
            self.report("GAVE UP", job, f"failed after {failures}")
