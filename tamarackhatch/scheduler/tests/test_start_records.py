"""Tests that starts are recorded before they are sent."""

import asyncio
import datetime
import typing
from unittest import mock

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _start_records

_SECOND = datetime.timedelta(seconds=1)
_STEP = model.Step(1, model.Resources(processors=4_000, memory_mb=100))


class _Trial:
    """Records of one term, with transactions that the test commits."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.clock = virtual_time.VirtualClock(loop)
        self.lease = election.LeaderLease(
            self.clock,
            election.Term(1, 7, self.clock.get_boot_time()),
            5 * _SECOND,
        )
        self.attempts = _start_attempts.StartAttempts(self.clock, 5 * _SECOND)
        self.metrics = observability.Metrics()
        self.records = _start_records.StartRecords(
            self.clock,
            self.attempts,
            self.lease,
            typing.cast(typing.Any, mock.Mock()),
            self.metrics,
            typing.cast(typing.Any, mock.MagicMock()),
        )
        self.records.enable()
        self._index = 0

    def begin(self) -> _start_attempts.StartDelivery:
        """Begins a delivery of another task."""
        self._index += 1
        key = model.TaskKey("00", 0, 0, self._index)
        return self.records.begin(key, 1, "i-0")

    def write(
        self, is_committed: bool = True, has_heartbeat: bool = False
    ) -> list[records.OpenStart] | None:
        """Writes what is due; returns the starts, None if none are written."""
        puts = self.records.prepare(has_heartbeat)
        if not is_committed:
            self.records.record_failure()
            return None
        self.lease.extend(self.clock.get_boot_time(), 8)
        if not puts:
            return None
        self.records.record_commit()
        return list(records.decode_open_starts(puts[0].value))

    async def is_released(
        self, delivery: _start_attempts.StartDelivery, seconds: float = 0.0
    ) -> bool:
        """Returns whether a wait for a record ends within some seconds."""
        wait = asyncio.create_task(self.records.wait_until_recorded(delivery))
        await asyncio.sleep(seconds)
        is_over = wait.done()
        wait.cancel()
        return is_over


def test_start_waits_for_a_transaction_that_names_it() -> None:
    """Guards against a start that a successor does not know."""

    async def simulate() -> None:
        trial = _Trial()
        first = trial.begin()
        puts = trial.records.prepare(False)
        second = trial.begin()
        assert not await trial.is_released(first)
        trial.records.record_commit()
        assert puts
        assert await trial.is_released(first)
        # The transaction was prepared before.
        assert trial.records.is_due
        assert not await trial.is_released(second)
        assert trial.write(is_committed=False) is None
        assert not await trial.is_released(second)
        written = trial.write()
        assert written is not None
        assert {start.task.index for start in written} == {1, 2}
        assert not any(start.is_repeated for start in written)
        assert await trial.is_released(second)
        assert not trial.records.is_due

    virtual_time.run_virtually(simulate())


def test_repetition_waits_for_a_record_of_its_own() -> None:
    """Guards against a successor that takes the first attempt for the only.

    It would acknowledge the exit of a run as soon as it is reported.
    """

    async def simulate() -> None:
        trial = _Trial()
        delivery = trial.begin()
        trial.write()
        trial.records.repeat(delivery)
        assert not await trial.is_released(delivery)
        written = trial.write()
        assert written is not None
        assert [start.is_repeated for start in written] == [True]
        assert await trial.is_released(delivery)
        # Further repetitions are the same to a successor.
        trial.records.repeat(delivery)
        assert await trial.is_released(delivery)

    virtual_time.run_virtually(simulate())


def test_row_forgets_answered_starts_with_the_next_heartbeat() -> None:
    """Guards against tasks that a successor binds to runners for no reason."""

    async def simulate() -> None:
        trial = _Trial()
        delivery = trial.begin()
        trial.write()
        trial.records.end(delivery)
        assert trial.write() is None
        assert trial.write(has_heartbeat=True) == []
        assert trial.write(has_heartbeat=True) is None

    virtual_time.run_virtually(simulate())


def test_start_that_ended_before_its_record_keeps_no_writer_busy() -> None:
    """Guards against transactions without end for a start that is over."""

    async def simulate() -> None:
        trial = _Trial()
        trial.write(has_heartbeat=True)
        trial.records.end(trial.begin())
        assert trial.records.is_due
        assert trial.write() is None
        assert not trial.records.is_due

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("silent_s", "has_commits", "longest_s"),
    [
        pytest.param(0.0, False, 1.0, id="store-goes-away"),
        pytest.param(0.7, False, 0.3, id="store-went-away"),
        pytest.param(3.0, False, 0.0, id="store-is-away"),
        # Its row is refused, for example.
        pytest.param(0.0, True, 1.0, id="store-confirms-other-rows"),
    ],
)
def test_start_does_not_wait_for_a_store_that_is_away(
    silent_s: float, has_commits: bool, longest_s: float
) -> None:
    """Guards against work that stands still for as long as the store does."""

    async def simulate() -> None:
        trial = _Trial()
        await asyncio.sleep(silent_s)
        delivery = trial.begin()
        if longest_s:
            assert not await trial.is_released(delivery, longest_s / 2)
            if has_commits:
                trial.lease.extend(trial.clock.get_boot_time(), 8)
        assert await trial.is_released(delivery, longest_s / 2 + 0.01)
        count = trial.metrics.render().decode()
        assert "tamarackhatch_unrecorded_starts_total 1.0" in count
        # It is recorded all the same once the store is back.
        written = trial.write()
        assert written is not None and len(written) == 1

    virtual_time.run_virtually(simulate())


def test_waits_end_with_the_term() -> None:
    """Guards against a hand-over that waits for starts it cannot record."""

    async def simulate() -> None:
        trial = _Trial()
        delivery = trial.begin()
        trial.records.close()
        assert await trial.is_released(delivery)
        assert trial.records.is_closed

    virtual_time.run_virtually(simulate())


def test_next_step_starts_while_the_store_is_away() -> None:
    """Guards against accepted work that waits for the end of an outage."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, lambda task, run: (0.5, "done"))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        second = model.Step(1, _STEP.resources, after=(0,))
        await fleet.submit("00", _STEP, second)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1)
        fleet.store.is_down = True
        await fleet.wait_until(lambda: len(fleet.history.runs) == 2, 2.2)
        fleet.store.is_down = False
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 8)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
