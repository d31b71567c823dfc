"""Records runs and callers' answers, and checks rules about them."""

import asyncio
import bisect
from collections.abc import Iterable

import attrs

from standins import repetitions
from standins import reservations
from tamarackhatch import model

# A capacity that has shrunk counts after the time that the platform gives
# (contact_ms), and one heartbeat of the runner.
_SHRUNK_CAPACITY_COUNTS_AFTER_S = 5.0
# Time that the platform gives after the operator's order (evacuate_ms).
EVACUATION_BOUND_S = 5.0


@attrs.define
class RunRecord:
    """One run of a task on a runner; times are loop times in seconds.

    Attributes:
        runner: Identifier of the runner.
        incarnation: Incarnation of the runner.
        task: Name of the task.
        run: Number of the run.
        token: Fencing token of the start.
        started: Time at which it started.
        exited: Time at which it exited; None while it runs.
        exit_reason: How it exited, as runners report it; empty while it runs.
        exit_number: Number of its exit in the runner's reports; 0 if it is not
            reported.
        acknowledged: Time at which a scheduler acknowledged its exit.
        is_late: Whether the runner carried out the start late.
        is_expired: Whether the runner's lease expired between its exit and the
            acknowledgement.
    """

    runner: str
    incarnation: int
    task: str
    run: int
    token: int
    started: float
    exited: float | None = None
    exit_reason: str = ""
    exit_number: int = 0
    acknowledged: float | None = None
    is_expired: bool = False
    is_late: bool = False

    @property
    def is_exit_acknowledged(self) -> bool:
        """Whether its exit was acknowledged before the lease expired.

        The scheduler learns of an exit only from the runner's report. Once the
        lease has expired, the scheduler may start the task again, so an exit
        that is acknowledged later does not count.
        """
        return self.acknowledged is not None and not self.is_expired


@attrs.frozen
class CapacityRecord:
    """A capacity that a runner has registered.

    Attributes:
        time: Loop time from which on it holds, in seconds.
        capacity: The capacity.
    """

    time: float
    capacity: model.Resources


@attrs.define
class EvacuationRecord:
    """An evacuation of a data centre; times are loop times in seconds.

    Attributes:
        data_centre: Name of the data centre.
        ordered: Time at which the store had recorded the order.
        ended: Time at which the order was removed; None while it is in force.
    """

    data_centre: str
    ordered: float
    ended: float | None = None


@attrs.frozen
class Violation:
    """A broken rule.

    Attributes:
        rule: Short name of the rule, such as TWICE.
        task: Name of the task that broke it.
        detail: What happened, in words.
        form: How a task ran twice; None for other rules.
    """

    rule: str
    task: str
    detail: str
    form: repetitions.Form | None = None


class History:
    """Records starts and exits of runs, and the answers to callers.

    Attributes:
        accepted: Jobs that may have been accepted.
        refused: Jobs whose callers were told that they are refused.
        completed: Loop time, in seconds, at which each job was first shown as
            completed.
        max_attempts_by_job: Number of failed runs after which a task of a job
            must not be started, where it differs from the usual one.
    """

    def __init__(self) -> None:
        self._runs: list[RunRecord] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.completed: dict[str, float] = {}
        self.max_attempts_by_job: dict[str, int] = {}
        self._latest_runs: dict[tuple[str, str, int], RunRecord] = {}
        # Runs by incarnation whose exits are not acknowledged.
        self._open_runs: dict[tuple[str, int], list[RunRecord]] = {}
        self._reservations: dict[tuple[str, int], model.Resources] = {}
        self._capacities: dict[str, list[CapacityRecord]] = {}
        self._data_centres: dict[str, str] = {}
        self._evacuations: list[EvacuationRecord] = []

    @property
    def runs(self) -> list[RunRecord]:
        """All runs, in the order of their starts; `add_run` adds one."""
        return self._runs

    @runs.setter
    def runs(self, runs: list[RunRecord]) -> None:
        self._runs = []
        self._latest_runs.clear()
        self._open_runs.clear()
        for record in runs:
            self.add_run(record)

    def record_steps(self, job: str, steps: Iterable[model.Step]) -> None:
        """Records what the tasks of a job reserve."""
        for index, step in enumerate(steps):
            self._reservations[job, index] = step.reserved

    def record_capacity(self, runner: str, capacity: model.Resources) -> None:
        """Records the capacity that a runner registers."""
        now = asyncio.get_running_loop().time()
        self._capacities.setdefault(runner, []).append(
            CapacityRecord(now, capacity)
        )

    def record_data_centre(self, runner: str, data_centre: str) -> None:
        """Records the data centre that a runner registers."""
        self._data_centres[runner] = data_centre

    def record_evacuation(self, data_centre: str) -> None:
        """Records that the operator evacuates a data centre."""
        now = asyncio.get_running_loop().time()
        self._evacuations.append(EvacuationRecord(data_centre, now))

    def record_return(self, data_centre: str) -> None:
        """Records that the operator returns a data centre to service."""
        for record in self._evacuations:
            if record.data_centre == data_centre and record.ended is None:
                record.ended = asyncio.get_running_loop().time()

    def list_runs_in(
        self, data_centre: str, since: float = 0.0
    ) -> list[RunRecord]:
        """Returns the runs on the runners of a data centre.

        Args:
            data_centre: Name of the data centre.
            since: Loop time after which the runs started, in seconds.
        """
        return [
            run
            for run in self.runs
            if self._data_centres.get(run.runner) == data_centre
            and run.started > since
        ]

    def get_reservation(self, task: str) -> model.Resources:
        """Returns what a task reserves; nothing if its job is unknown."""
        job, _, step, _ = task.split(".")
        return self._reservations.get((job, int(step)), model.Resources())

    def record_start(
        self,
        runner: str,
        incarnation: int,
        task: str,
        run: int,
        token: int,
        is_late: bool = False,
    ) -> None:
        """Records that an incarnation of a runner has started a run."""
        now = asyncio.get_running_loop().time()
        self.add_run(
            RunRecord(
                runner, incarnation, task, run, token, now, is_late=is_late
            )
        )

    def add_run(self, record: RunRecord) -> None:
        """Adds a run; runs that started later may have been added before."""
        bisect.insort(self._runs, record, key=lambda item: item.started)
        key = (record.runner, record.task, record.run)
        latest = self._latest_runs.get(key)
        if latest is None or latest.started <= record.started:
            self._latest_runs[key] = record
        group = (record.runner, record.incarnation)
        self._open_runs.setdefault(group, []).append(record)

    def record_exit(
        self,
        runner: str,
        task: str,
        run: int,
        exit_reason: str,
        time: float,
        exit_number: int = 0,
    ) -> None:
        """Records that a run exited at a loop time, in seconds."""
        record = self._latest_runs.get((runner, task, run))
        if record is not None and record.exited is None:
            record.exited, record.exit_reason = time, exit_reason
            record.exit_number = exit_number

    def record_end(self, runner: str, incarnation: int, time: float) -> None:
        """Records that an incarnation ended, and with it all its runs."""
        for record in self._open_runs.pop((runner, incarnation), []):
            if record.exited is None:
                record.exited = max(time, record.started)
                record.exit_reason = "crashed"

    def record_expiry(
        self, runner: str, incarnation: int, time: float
    ) -> None:
        """Records that an incarnation's lease expired at a loop time."""
        for record in self._open_runs.get((runner, incarnation), []):
            if record.exited is not None and record.exited <= time:
                record.is_expired = True

    def record_acknowledgement(
        self,
        runner: str,
        incarnation: int,
        exit_number: int,
        time: float | None = None,
    ) -> None:
        """Records that a scheduler acknowledged exits up to a number.

        Args:
            runner: Identifier of the runner.
            incarnation: Incarnation of the runner.
            exit_number: Number of the last of these exits.
            time: Loop time, in seconds; None for now.
        """
        if time is None:
            time = asyncio.get_running_loop().time()
        remaining = []
        for record in self._open_runs.get((runner, incarnation), []):
            if 0 < record.exit_number <= exit_number:
                record.acknowledged = time
            else:
                remaining.append(record)
        self._open_runs[runner, incarnation] = remaining

    def check(self, max_attempts: int) -> list[Violation]:
        """Returns all broken rules.

        Args:
            max_attempts: Number of failed runs after which a task must not be
                started.
        """
        violations: list[Violation] = []
        by_task: dict[str, list[RunRecord]] = {}
        for record in self.runs:
            by_task.setdefault(record.task, []).append(record)
        for task, runs in by_task.items():
            runs.sort(key=lambda record: record.started)
            job = task.split(".")[0]
            violations += [
                Violation("TWICE", task, detail, form)
                for form, detail in repetitions.find_repetitions(
                    runs, self.completed.get(job)
                )
            ]
            violations += _check_numbers(task, runs)
            limit = self.max_attempts_by_job.get(job, max_attempts)
            violations += _check_failures(task, runs, limit)
            violations += _check_crashes(task, runs)
            if job in self.refused and job not in self.accepted:
                violations.append(
                    Violation(
                        "REFUSED", task, "ran although its job was refused"
                    )
                )
            if job not in self.accepted and job not in self.refused:
                violations.append(
                    Violation(
                        "UNASKED",
                        task,
                        "ran although its job was never submitted",
                    )
                )
        violations += self._check_capacities()
        violations += self._check_evacuations()
        return violations + self._check_completed(by_task)

    def _check_capacities(self) -> list[Violation]:
        violations = []
        for run, reserved in reservations.list_reserved(
            self.runs, self.get_reservation
        ):
            reservation = self.get_reservation(run.task)
            if any(
                added and total > limit
                for added, total, limit in zip(
                    attrs.astuple(reservation),
                    attrs.astuple(reserved),
                    self._get_limits(run),
                )
            ):
                violations.append(
                    Violation(
                        "LIMIT",
                        run.task,
                        f"run {run.run} at {run.started:.2f} s brought "
                        f"{run.runner} to {reserved}",
                    )
                )
        return violations

    def _check_evacuations(self) -> list[Violation]:
        return [
            Violation(
                "EVACUATED",
                run.task,
                f"run {run.run} on {run.runner} started at "
                f"{run.started:.2f} s, {record.data_centre} was evacuated "
                f"at {record.ordered:.2f} s",
            )
            for record in self._evacuations
            for run in self.list_runs_in(
                record.data_centre, record.ordered + EVACUATION_BOUND_S
            )
            if record.ended is None or run.started < record.ended
        ]

    def _get_limits(self, run: RunRecord) -> tuple[float, ...]:
        """Returns the highest amounts that count when a run starts."""
        registered = [
            item
            for item in self._capacities.get(run.runner, [])
            if item.time <= run.started
        ]
        earliest = run.started - _SHRUNK_CAPACITY_COUNTS_AFTER_S
        in_force = [
            item
            for item, following in zip(registered, [*registered[1:], None])
            if following is None or following.time > earliest
        ]
        if not in_force:
            return (float("inf"),) * 3
        amounts = zip(*(attrs.astuple(item.capacity) for item in in_force))
        return tuple(max(values) for values in amounts)

    def _check_completed(
        self, by_task: dict[str, list[RunRecord]]
    ) -> list[Violation]:
        violations = []
        by_job: dict[str, list[str]] = {}
        for task in by_task:
            by_job.setdefault(task.split(".")[0], []).append(task)
        for job, time in self.completed.items():
            for task in by_job.get(job, []):
                runs = by_task[task]
                if not any(
                    run.exit_reason == "done"
                    and run.exited is not None
                    and run.exited <= time
                    for run in runs
                ):
                    violations.append(
                        Violation(
                            "MIXED",
                            task,
                            "job shown as completed before it was done",
                        )
                    )
        return violations


def _check_numbers(task: str, runs: list[RunRecord]) -> list[Violation]:
    return [
        Violation(
            "NUMBER", task, f"run {later.run} started after run {earlier.run}"
        )
        for index, later in enumerate(runs)
        for earlier in runs[:index]
        # A start that is carried out late keeps the number it was sent with.
        if later.run <= earlier.run and not later.is_late
    ]


def _check_crashes(task: str, runs: list[RunRecord]) -> list[Violation]:
    """Checks the starts of a task that crashes its runners.

    After three crashes it must not be started three more times.
    """
    crashes = [run for run in runs if run.exit_reason == "crash"]
    if len(crashes) < 3:
        return []
    later = [run for run in runs if run.started >= (crashes[2].exited or 0)]
    if len(later) < 3:
        return []
    return [
        Violation(
            "BUDGET",
            task,
            f"run {later[2].run} started after three crashes and two starts",
        )
    ]


def _check_failures(
    task: str, runs: list[RunRecord], max_attempts: int
) -> list[Violation]:
    violations = []
    for index, later in enumerate(runs):
        failed = sum(
            1
            for run in runs[:index]
            if run.exit_reason == "failed" and run.is_exit_acknowledged
        )
        if failed >= max_attempts:
            violations.append(
                Violation(
                    "BUDGET",
                    task,
                    f"run {later.run} started after {failed} failures",
                )
            )
    return violations
