"""What the stand-ins saw, and the rules that it must keep."""

import asyncio

import attrs


@attrs.define
class RunRecord:
    """One run of a task on a runner."""

    runner: str
    incarnation: int
    task: str
    run: int
    token: int
    started: float
    exited: float | None = None
    exit_reason: str = ""
    number: int = 0
    acknowledged: float | None = None
    expired: bool = False

    @property
    def is_kept(self) -> bool:
        """Whether its exit was acknowledged while the runner's lease lasted.

        The scheduler cannot know of an exit before it hears of it. Once the
        lease has expired it may start the task again, so that an exit which is
        acknowledged after that does not count.
        """
        return self.acknowledged is not None and not self.expired


@attrs.frozen
class Violation:
    """A broken rule."""

    rule: str
    task: str
    detail: str


class History:
    """Records starts and exits of runs, and what callers were told."""

    def __init__(self) -> None:
        self.runs: list[RunRecord] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.completed: dict[str, float] = {}

    def record_start(
        self, runner: str, incarnation: int, task: str, run: int, token: int
    ) -> None:
        """Notes that an incarnation of a runner has started a run."""
        now = asyncio.get_running_loop().time()
        self.runs.append(RunRecord(runner, incarnation, task, run, token, now))

    def record_exit(
        self,
        runner: str,
        task: str,
        run: int,
        exit_reason: str,
        time: float,
        number: int = 0,
    ) -> None:
        """Notes that a run exited at a loop time."""
        for record in reversed(self.runs):
            if (record.runner, record.task, record.run) == (runner, task, run):
                if record.exited is None:
                    record.exited, record.exit_reason = time, exit_reason
                    record.number = number
                return

    def record_expiry(
        self, runner: str, incarnation: int, time: float
    ) -> None:
        """Notes that the lease of an incarnation expired at a loop time."""
        for record in self.runs:
            if (record.runner, record.incarnation) != (runner, incarnation):
                continue
            if record.exited is not None and record.exited <= time:
                if record.acknowledged is None:
                    record.expired = True

    def record_acknowledgement(
        self, runner: str, incarnation: int, number: int
    ) -> None:
        """Notes that a scheduler has acknowledged an incarnation's exits."""
        now = asyncio.get_running_loop().time()
        for record in self.runs:
            if (record.runner, record.incarnation) != (runner, incarnation):
                continue
            if 0 < record.number <= number and record.acknowledged is None:
                record.acknowledged = now

    def check(self, max_attempts: int) -> list[Violation]:
        """Returns all broken rules.

        Args:
            max_attempts: Failed runs after which a task must not start.
        """
        violations: list[Violation] = []
        by_task: dict[str, list[RunRecord]] = {}
        for record in self.runs:
            by_task.setdefault(record.task, []).append(record)
        for task, runs in by_task.items():
            runs.sort(key=lambda record: record.started)
            violations += _check_overlaps(task, runs)
            violations += _check_exits(task, runs, max_attempts)
            job = task.split(".")[0]
            if job in self.refused and job not in self.accepted:
                violations.append(
                    Violation("REFUSED", task, "its job was refused")
                )
            if job not in self.accepted | self.refused:
                violations.append(
                    Violation("UNASKED", task, "nobody submitted its job")
                )
        return violations + self._check_completed(by_task)

    def _check_completed(
        self, by_task: dict[str, list[RunRecord]]
    ) -> list[Violation]:
        violations = []
        for job, time in self.completed.items():
            tasks = {
                task: runs
                for task, runs in by_task.items()
                if task.split(".")[0] == job
            }
            for task, runs in tasks.items():
                if not any(
                    run.exit_reason == "done"
                    and run.exited is not None
                    and run.exited <= time
                    for run in runs
                ):
                    violations.append(
                        Violation("MIXED", task, "shown completed, not done")
                    )
        return violations


def _check_overlaps(task: str, runs: list[RunRecord]) -> list[Violation]:
    violations = []
    for index, later in enumerate(runs):
        for earlier in runs[:index]:
            if earlier.exited is None or earlier.exited > later.started:
                violations.append(
                    Violation(
                        "TWICE",
                        task,
                        f"run {later.run} on {later.runner} began while "
                        f"run {earlier.run} on {earlier.runner} ran",
                    )
                )
            if later.run <= earlier.run:
                violations.append(
                    Violation(
                        "NUMBER",
                        task,
                        f"run {later.run} began after run {earlier.run}",
                    )
                )
    return violations


def _check_exits(
    task: str, runs: list[RunRecord], max_attempts: int
) -> list[Violation]:
    violations = []
    for index, later in enumerate(runs):
        before = [
            run
            for run in runs[:index]
            if run.exited is not None and run.is_kept
        ]
        if any(run.exit_reason == "done" for run in before):
            violations.append(
                Violation("TWICE", task, f"run {later.run} began after done")
            )
        failed = sum(1 for run in before if run.exit_reason == "failed")
        if failed >= max_attempts:
            violations.append(
                Violation(
                    "BUDGET", task, f"run {later.run} after {failed} failures"
                )
            )
    return violations
