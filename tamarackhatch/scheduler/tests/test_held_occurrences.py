"""Tests what a term knows of occurrences that an earlier one has opened."""

import asyncio
import datetime
import types
import typing

import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler import _state

_MS = datetime.timedelta(milliseconds=1)
_INTERVAL = 100 * _MS
_QUEUE = model.Queue("q", "h", "/", "s", max_attempts=3)
_STEP = model.Step(1, model.Resources(1000, 100))
_JOB = "00"
_LIMIT = 100
_Phase = _state.TaskPhase


class _Term:
    """A term's job tracker with one runner and a job of 1,000 occurrences."""

    def __init__(
        self,
        due: int = 50,
        progress: records.JobProgress | None = None,
        count: int = 1000,
    ) -> None:
        """Starts the term when ``due`` occurrences are due."""
        self.clock = clock.ManualClock()
        self.now = self.clock.get_utc()
        log = types.SimpleNamespace(info=lambda event, **fields: None)
        self.tracker = _job_tracker.JobTracker(
            self.clock,
            2,
            typing.cast(observability.Log, log),
            observability.Metrics(),
        )
        self.written: list[_state.JobEntry] = []
        self.tracker.set_callbacks(
            self._record_write,
            lambda task: None,
            lambda: None,
            lambda job: None,
        )
        self.runner = _fleet.make_runner_entry(
            model.Runner("i-0", "s", "a", "here", False, _STEP.resources)
        )
        self.tracker.add_job(
            model.Job(
                _JOB,
                _QUEUE,
                "w",
                (_STEP,),
                self.now,
                model.Schedule(
                    self.now - (due - 1) * _INTERVAL, _INTERVAL, count
                ),
            ),
            1,
            progress,
        )

    def _record_write(self, job: _state.JobEntry) -> int:
        self.written.append(job)
        return 7

    async def advance(self, occurrences: int) -> None:
        """Lets further occurrences become due."""
        await self.clock.advance(occurrences * _INTERVAL)
        self.tracker.open_due_occurrences()

    def report(
        self,
        number: int,
        reason: model.ExitReason | None = None,
        run: int = 1,
    ) -> int:
        """Applies a listed run, or the exit of one, as a report does.

        Returns:
            The generation with which the exit may be acknowledged.
        """
        key = _key(number)
        self.tracker.hold_reported_occurrence(key)
        task = self.tracker.find_task(key)
        assert task is not None
        if reason is None:
            task.run = run
            self.tracker.confirm_run(task, self.runner)
            return 0
        run_exit = model.RunExit(1, key, run, reason, "")
        if task.runner is None and run <= task.last_exited_run:
            return self.tracker.record_earlier_exit(
                task, run_exit, self.runner
            )
        return self.tracker.record_exit(task, run_exit, self.runner)

    def list_startable(self) -> list[int]:
        """Returns the occurrences whose task may start now."""
        return sorted(name[1] for name in self.tracker.waiting)

    def get_phase(self, number: int) -> _state.TaskPhase | None:
        """Returns the phase of an occurrence's task; None if unknown."""
        task = self.tracker.find_task(_key(number))
        return None if task is None else task.phase


def _key(number: int, step: int = 0, index: int = 0) -> model.TaskKey:
    return model.TaskKey(_JOB, number, step, index)


@pytest.mark.parametrize(
    ("due", "reported"), [(50, 50), (50, 300), (400, 100), (400, 399)]
)
@pytest.mark.parametrize("reason", [None, *model.ExitReason])
def test_reported_task_is_known_before_its_turn(
    due: int, reported: int, reason: model.ExitReason | None
) -> None:
    """Guards against an exit that is lost, and a run that is stopped.

    The occurrence is not due by this term's time of day, which is behind that
    of the earlier term, or is beyond the open ones.
    """

    async def simulate() -> None:
        term = _Term(due)
        generation = term.report(reported, reason)
        if reason is None:
            assert term.get_phase(reported) is _Phase.RUNNING
        elif reason is model.ExitReason.DONE:
            assert generation == 7
            assert term.get_phase(reported) is _Phase.DONE
            progress = term.written[-1].summarise_progress()
            assert progress.occurrences[reported].done_tasks == {0: 1}
        else:
            assert generation == 7
            assert term.get_phase(reported) is _Phase.BLOCKED
        is_startable = reason not in (None, model.ExitReason.DONE)
        for finished in range(reported):
            in_turn = min(due + finished, finished + _LIMIT)
            startable = set(range(finished, in_turn)) - {reported}
            if is_startable and reported < in_turn:
                startable.add(reported)
            assert set(term.list_startable()) == startable
            term.report(finished, model.ExitReason.DONE)
            await term.advance(1)

    asyncio.run(simulate())


def test_success_is_kept_though_a_later_run_ended_first() -> None:
    """Guards against a success of a held task that is read last."""

    async def simulate() -> None:
        term = _Term(50)
        term.report(300, model.ExitReason.EXPIRED, run=5)
        assert term.report(300, model.ExitReason.DONE, run=4) == 7
        assert term.get_phase(300) is _Phase.DONE

    asyncio.run(simulate())


@pytest.mark.parametrize(
    ("finished", "known", "due", "startable"),
    [
        # The earlier term finished 12 and 15 before 10, 11, 13 and 14.
        (10, {10: 0, 12: 1, 15: 1}, 18, [10, 11, 13, 14, 16, 17]),
        # The time of day is behind that of the earlier term.
        (10, {10: 0, 11: 1, 12: 0, 13: 0}, 12, [10]),
        # Rows of earlier builds list all open occurrences.
        (0, dict.fromkeys(range(100), 0), 100, list(range(100))),
        # More than the limit were open: the oldest go first.
        (0, dict.fromkeys(range(0, 300, 2), 0), 300, list(range(100))),
        # Numbers that the job does not have.
        (2, {0: 0, 1: 1, 5000: 0}, 4, [2, 3]),
    ],
    ids=["gaps", "clock-behind", "earlier-build", "many", "out-of-range"],
)
def test_restored_occurrences_start_in_their_turn(
    finished: int, known: dict[int, int], due: int, startable: list[int]
) -> None:
    """Guards against occurrences that are skipped, or start early."""

    async def simulate() -> None:
        progress = records.JobProgress(
            model.JobState.RUNNING,
            finished,
            {
                number: records.OccurrenceProgress({0: 1} if done else {})
                for number, done in known.items()
            },
        )
        stored = records.decode_progress(records.encode_progress(progress))
        term = _Term(due, stored)
        assert term.list_startable() == startable

    asyncio.run(simulate())


def test_job_completes_if_all_is_finished_before_its_turn() -> None:
    """Guards against an occurrence that is opened again once it is done."""

    async def simulate() -> None:
        term = _Term(due=1, count=4)
        for number in (3, 1, 2):
            term.report(number, model.ExitReason.DONE)
        assert term.list_startable() == [0]
        term.report(0, model.ExitReason.DONE)
        await term.advance(10)
        assert term.list_startable() == []
        assert term.written[-1].state is model.JobState.COMPLETED

    asyncio.run(simulate())


@pytest.mark.parametrize(
    "key",
    [_key(-1), _key(1000), _key(10**18), _key(200, 1), _key(200, 0, 1)],
    ids=str,
)
def test_task_that_the_job_does_not_have_adds_nothing(
    key: model.TaskKey,
) -> None:
    """Guards against a malformed report that fills the memory."""
    term = _Term(50)
    term.tracker.hold_reported_occurrence(key)
    assert term.tracker.find_task(key) is None


def test_occurrence_without_progress_is_not_written_before_its_turn() -> None:
    """Guards against rows that grow with what runners list."""
    term = _Term(50)
    term.report(300, None)
    progress = term.written[-1].summarise_progress()
    assert sorted(progress.occurrences) == list(range(50))
