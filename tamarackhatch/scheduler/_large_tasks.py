"""Keeps runners free for tasks that need more than the usual free pieces."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Of a run that has outlasted its estimate.
_MIN_REMAINING = datetime.timedelta(milliseconds=100)

StepKey = tuple[str, int, int]


class LargeTaskReserver:
    """Reserves runners for waiting batch tasks that fit nowhere.

    Attributes:
        is_long_running_waiting: Whether long-running tasks wait in the
            present placement pass.
    """

    def __init__(self, context: _context.SchedulerContext) -> None:
        self.is_long_running_waiting = False
        self._context = context
        self._reservations = placement.Reservations()
        self._soon_free = placement.SoonFreeRunners()
        # Reserved runners that the present pass has taken out.
        self._kept: list[
            tuple[placement.Reservation, placement.CandidateRunner]
        ] = []

    def begin_pass(
        self,
        waiting: Collection[StepKey],
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> None:
        """Begins a placement pass: takes the reserved runners out of it.

        Args:
            waiting: Steps with waiting tasks.
            candidates: Runners that may get tasks, by service; those that are
                reserved are removed.
        """
        context = self._context
        self._soon_free.begin_pass(context.fleet)
        for failed in self._reservations.expire(waiting, context.get_now()):
            context.metrics.reservations.labels("expired").inc()
            context.log.info(
                "reservation_expired",
                job=failed.step[0],
                runner=failed.runner,
            )
        self._take_out(self._reservations.active, candidates)

    def make_view(
        self,
        waiting: Collection[StepKey],
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> "LargeTaskReserver":
        """Returns a reserver for a dry run, with the present reservations.

        Args:
            waiting: Steps with waiting tasks.
            candidates: Runners that may get tasks, by service; those that are
                reserved are removed.
        """
        view = LargeTaskReserver(self._context)
        view._take_out(
            self._reservations.list_current(waiting, self._context.get_now()),
            candidates,
        )
        return view

    def _take_out(
        self,
        reservations: Iterable[placement.Reservation],
        candidates: dict[str, list[placement.CandidateRunner]],
    ) -> None:
        """Takes the reserved runners out of the candidates."""
        self._kept = []
        reserved = {
            reservation.runner: reservation for reservation in reservations
        }
        if not reserved:
            return
        for service, group in candidates.items():
            for candidate in group:
                reservation = reserved.get(candidate.load.identifier)
                if reservation is not None:
                    self._kept.append((reservation, candidate))
            candidates[service] = [
                candidate
                for candidate in group
                if candidate.load.identifier not in reserved
            ]

    def add_reserved(
        self,
        task: _state.TaskEntry,
        order: placement.OrderKey,
        candidates: list[placement.CandidateRunner],
    ) -> list[placement.CandidateRunner]:
        """Adds reserved runners that a task may use to its candidates.

        These are the one for its own step, and those for tasks that come
        after it by priority and rank.

        Args:
            task: First task of a group.
            order: Sort key of the group.
            candidates: Runners that are not reserved.
        """
        own = _get_step_key(task)
        service = task.job.job.queue.service
        usable = [
            candidate
            for reservation, candidate in self._kept
            if candidate.load.service == service
            and (
                reservation.step == own or order.urgency < reservation.urgency
            )
        ]
        return [*candidates, *usable] if usable else candidates

    def list_kept(self) -> list[placement.CandidateRunner]:
        """Returns the runners that the present pass has taken out."""
        return [candidate for _, candidate in self._kept]

    def keep_runner(
        self,
        tasks: list[_state.TaskEntry],
        order: placement.OrderKey,
        candidates: list[placement.CandidateRunner],
    ) -> None:
        """Reserves a runner for tasks that fit nowhere, or ends that.

        Args:
            tasks: The tasks of one step that the pass tried to place.
            order: Sort key of their group.
            candidates: Runners for the groups that follow; a newly reserved
                one is removed.
        """
        first = tasks[0]
        if (
            first.step.is_best_effort
            or first.step.is_long_running
            or first.step.is_gang
        ):
            return
        step = _get_step_key(first)
        if any(not _is_waiting(task) for task in tasks):
            self._release(step)
        unplaced = [
            task
            for task in tasks
            if _is_waiting(task) and not task.is_awaiting_near_place
        ]
        if not unplaced:
            return
        now = self._context.get_now()
        if not self._reservations.may_reserve(
            step,
            unplaced[0].compute_wait(now),
            len(candidates),
            self.is_long_running_waiting,
        ):
            return
        reservation = self._reservations.reserve(
            step,
            self._list_soon(unplaced[0], candidates),
            now,
            order.urgency,
        )
        if reservation is None:
            return
        self._record(unplaced[0], reservation)
        candidates[:] = [
            candidate
            for candidate in candidates
            if candidate.load.identifier != reservation.runner
        ]

    def _release(self, step: StepKey) -> None:
        if self._reservations.find(step) is not None:
            self._context.metrics.reservations.labels("used").inc()
            self._reservations.release(step)

    def _list_soon(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> list[tuple[str, datetime.timedelta]]:
        """Returns the options on which a task fits soon enough."""
        context = self._context
        fitting = self._soon_free.list_fitting(
            task.step.reserved,
            task.job.job.queue.service,
            candidates,
            context.get_now(),
            lambda identifier: self._iterate_transient_runs(
                context.fleet[identifier]
            ),
        )
        return self.list_options(task, fitting) if fitting else []

    def list_options(
        self,
        task: _state.TaskEntry,
        candidates: list[placement.CandidateRunner],
    ) -> list[tuple[str, datetime.timedelta]]:
        """Returns the expected time until a task fits on each runner.

        Runners on which it does not fit even then are left out.

        Args:
            task: The task.
            candidates: The runners.
        """
        options = []
        for candidate in candidates:
            load = candidate.load
            if not placement.is_allowed(load, task.key, task.step):
                continue
            release = placement.compute_release_time(
                load,
                task.step,
                self._iterate_transient_runs(
                    self._context.fleet[load.identifier]
                ),
            )
            if release is not None:
                options.append((load.identifier, release))
        return options

    def _iterate_transient_runs(
        self, entry: _fleet.RunnerEntry
    ) -> Iterator[placement.TransientRun]:
        now = self._context.get_now()
        for task in entry.tasks.values():
            if not task.step.is_long_running:
                yield placement.TransientRun(
                    task.step.reserved,
                    max(
                        _MIN_REMAINING,
                        task.step.estimate - (now - task.placed_at),
                    ),
                )

    def _record(
        self, task: _state.TaskEntry, reservation: placement.Reservation
    ) -> None:
        context = self._context
        context.metrics.reservations.labels("made").inc()
        context.log.info(
            "runner_reserved",
            task=str(task.key),
            runner=reservation.runner,
            waited_ms=task.compute_wait(reservation.since) // _MILLISECOND,
            cpu=task.step.reserved.processors,
            memory_mb=task.step.reserved.memory_mb,
        )


def _get_step_key(task: _state.TaskEntry) -> StepKey:
    return (task.key.job, task.key.occurrence, task.key.step)


def _is_waiting(task: _state.TaskEntry) -> bool:
    return task.phase is _state.TaskPhase.WAITING
