"""Start commands that runners may still carry out.

A start without an answer may be carried out seconds later, also by the next
incarnation of its runner, which has seen neither the run nor a fencing token.
Until then, its task must not run elsewhere, nor may the exit of a run of the
task be acknowledged: a start after an acknowledged exit repeats the task.
"""

from collections.abc import Collection
from collections.abc import Iterable
import datetime
import itertools

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _command_fence


@attrs.define(eq=False)
class StartDelivery:
    """The start commands of one run, from before the first one is sent.

    Attributes:
        task: The task.
        run: Number of the run.
        runner: Identifier of the runner.
        requested: Monotonic time since which it is to be recorded.
        is_urgent: Whether the task is no best-effort task.
        is_repeated: Whether more than one command may be sent.
        is_recorded: Whether a successor would know of it, and of the
            repetition.
    """

    task: model.TaskKey
    run: int
    runner: str
    requested: datetime.timedelta
    is_urgent: bool = True
    is_repeated: bool = False
    is_recorded: bool = False


@attrs.define(eq=False)
class StartAttempt:
    """One start command.

    Attributes:
        task: The task.
        run: Number of the run.
        runner: Identifier of the runner.
        sent: Monotonic time at which it was sent.
        token: Highest fencing token that it may carry.
        possible_until: Monotonic time until which it may be carried out; None
            while its answer is awaited.
        may_run_until: Monotonic time until which a run that it started may
            exist, if nobody reports it; None while its answer is awaited.
        is_only: Whether no other command of unknown outcome was for the same
            run.
    """

    task: model.TaskKey
    run: int
    runner: str
    sent: datetime.timedelta = datetime.timedelta()
    token: int = 0
    possible_until: datetime.timedelta | None = None
    may_run_until: datetime.timedelta | None = None
    is_only: bool = True


class StartAttempts:
    """Start commands whose outcome is not known, by task."""

    def __init__(
        self, time_source: clock.Clock, longest_run: datetime.timedelta
    ) -> None:
        """Creates an empty collection.

        Args:
            time_source: Source of time.
            longest_run: Longest time from a start to the end of its run by the
                lease, if the lease is not renewed.
        """
        self._clock = time_source
        self._longest_run = longest_run
        self._open: dict[model.TaskKey, list[StartAttempt]] = {}
        # In the order of their beginnings.
        self._deliveries: dict[StartDelivery, None] = {}
        # Tasks with a listed run that is not their latest one, with the
        # runners that list one.
        self._stray_runs: dict[model.TaskKey, set[str]] = {}
        self._stray_by_runner: dict[str, frozenset[model.TaskKey]] = {}

    @property
    def count(self) -> int:
        """Number of tasks with a start command that may be carried out."""
        return len(self._open)

    def begin_delivery(
        self,
        task: model.TaskKey,
        run: int,
        runner: str,
        is_urgent: bool = True,
    ) -> StartDelivery:
        """Records that start commands of a run will be sent."""
        delivery = StartDelivery(
            task, run, runner, self._clock.get_monotonic(), is_urgent
        )
        self._deliveries[delivery] = None
        return delivery

    def end_delivery(self, delivery: StartDelivery) -> None:
        """Records that no further command of a run will be sent."""
        del self._deliveries[delivery]

    def list_deliveries(self) -> list[StartDelivery]:
        """Returns the deliveries that have not ended."""
        return list(self._deliveries)

    def begin(
        self, task: model.TaskKey, run: int, runner: str
    ) -> StartAttempt:
        """Records that a start command is sent now, and returns it."""
        now = self._clock.get_monotonic()
        attempt = StartAttempt(task, run, runner, now)
        attempts = self._open.setdefault(task, [])
        for earlier in _filter_by_run(attempts, run, runner):
            earlier.is_only = attempt.is_only = False
        attempts.append(attempt)
        return attempt

    def record_answer(self, attempt: StartAttempt) -> None:
        """Records that a command has been answered, or was not sent."""
        attempts = self._open.get(attempt.task, [])
        # A report may have shown before that it was carried out.
        if attempt in attempts:
            attempts.remove(attempt)
            if not attempts:
                del self._open[attempt.task]

    def record_unanswered(self, attempt: StartAttempt, token: int) -> None:
        """Records that a command got no answer.

        Args:
            attempt: The command.
            token: Highest fencing token that it may carry.
        """
        attempt.token = token
        attempt.possible_until = (
            self._clock.get_monotonic() + _command_fence.MAX_DELAY
        )
        attempt.may_run_until = attempt.possible_until + self._longest_run

    def record_listed_run(
        self, task: model.TaskKey, run: int, runner: str
    ) -> None:
        """Records that a runner lists a run, or its exit.

        A command is carried out once. If the run had only one, it is over.
        """
        attempts = self._open.get(task, ())
        for attempt in _filter_by_run(attempts, run, runner):
            if attempt.is_only:
                self.record_answer(attempt)

    def restore(self, starts: Iterable[records.OpenStart]) -> None:
        """Adds commands of an earlier scheduler.

        Every token of this term shuts them out. Further commands of a
        repeated run may have been answered.
        """
        now = self._clock.get_monotonic()
        for start in starts:
            until = now + start.remaining
            attempt = StartAttempt(
                start.task,
                start.run,
                start.runner,
                now,
                possible_until=until,
                may_run_until=until + self._longest_run,
                is_only=not start.is_repeated,
            )
            self._open.setdefault(start.task, []).append(attempt)

    def list_open_starts(self) -> list[records.OpenStart]:
        """Returns what a successor has to know of runs, latest first.

        While commands of a run may still be sent, the row of this list tells
        nothing of the time left, since it need not be written again for each
        of them.
        """
        now = self._clock.get_monotonic()
        found: dict[tuple[model.TaskKey, int, str], records.OpenStart] = {}
        for delivery in self._deliveries:
            key = (delivery.task, delivery.run, delivery.runner)
            found[key] = records.OpenStart(
                *key, _command_fence.MAX_DELAY, delivery.is_repeated
            )
        for attempt in itertools.chain.from_iterable(self._open.values()):
            key = (attempt.task, attempt.run, attempt.runner)
            until = attempt.possible_until
            if until is None:
                until = attempt.sent + _command_fence.MAX_DELAY
            known = found.get(key)
            if until <= now or known and known.remaining >= until - now:
                continue
            found[key] = records.OpenStart(
                *key, until - now, not attempt.is_only
            )
        return sorted(
            found.values(), key=lambda start: start.remaining, reverse=True
        )

    def discard_runner(self, runner: str) -> None:
        """Forgets the commands to a runner that can carry out none."""
        for attempts in list(self._open.values()):
            for attempt in list(attempts):
                if attempt.runner == runner:
                    self.record_answer(attempt)
        self.record_stray_runs(runner, ())

    def record_stray_runs(
        self, runner: str, tasks: Iterable[model.TaskKey]
    ) -> None:
        """Records of which tasks a runner lists runs that are to be stopped.

        Args:
            runner: Identifier of the runner.
            tasks: The tasks; they replace those of its last report.
        """
        former = self._stray_by_runner.pop(runner, frozenset())
        present = frozenset(tasks)
        for task in former - present:
            runners = self._stray_runs[task]
            runners.discard(runner)
            if not runners:
                del self._stray_runs[task]
        for task in present - former:
            self._stray_runs.setdefault(task, set()).add(runner)
        if present:
            self._stray_by_runner[runner] = present

    def has_stray_run(self, task: model.TaskKey) -> bool:
        """Returns whether a run of a task exists that is to be stopped."""
        return bool(self._stray_runs) and task in self._stray_runs

    def concerns(self, task: model.TaskKey) -> bool:
        """Returns whether a task has a recorded command or a stray run."""
        return task in self._open or task in self._stray_runs

    def list_open(self, task: model.TaskKey) -> Collection[StartAttempt]:
        """Returns the commands whose runs may exist or begin unreported."""
        if not self._open:
            return ()
        now = self._clock.get_monotonic()
        for attempt in list(self._open.get(task, ())):
            until = attempt.may_run_until
            if until is not None and until <= now:
                self.record_answer(attempt)
        return tuple(self._open.get(task, ()))

    def may_start(self, task: model.TaskKey) -> bool:
        """Returns whether a command may still start a run of a task."""
        if not self._open:
            return False
        now = self._clock.get_monotonic()
        return any(
            attempt.possible_until is None or now < attempt.possible_until
            for attempt in self._open.get(task, ())
        )

    def limit_pause(self, pause: datetime.timedelta) -> datetime.timedelta:
        """Returns the pause before the next placement pass.

        Tasks that a command withholds can start once it cannot arrive.

        Args:
            pause: Longest pause.
        """
        if not self._open:
            return pause
        now = self._clock.get_monotonic()
        ends = (
            attempt.possible_until - now
            for attempt in itertools.chain.from_iterable(self._open.values())
            if attempt.possible_until is not None
            and attempt.possible_until > now
        )
        return min(pause, min(ends, default=pause))

    def remove_expired(self) -> None:
        """Forgets the commands that can have no run any more."""
        for task in list(self._open):
            self.list_open(task)


def _filter_by_run(
    attempts: Iterable[StartAttempt], run: int, runner: str
) -> list[StartAttempt]:
    return [it for it in attempts if it.run == run and it.runner == runner]
