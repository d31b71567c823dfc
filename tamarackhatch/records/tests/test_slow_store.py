"""Tests submissions and cancellations while the store is slow or refuses."""

import asyncio
import datetime
import pathlib
import typing

import attrs
import orjson
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
# Callers wait 3 s; the service keeps 0.15 s of them for the answer.
_TIMEOUT = 2850 * _MS
_STEP = model.Step(1, model.Resources(processors=100, memory_mb=10))
_ENDLESS_STEP = model.Step(
    1, model.Resources(processors=100, memory_mb=10), is_long_running=True
)
_INSTANCES = ("a", "b", "c")


@attrs.define
class _Answers:
    """Answers to submissions.

    Attributes:
        durations_s: How long each submission that was answered 200 took.
        accepted: Identifiers of the jobs that were answered 200.
        failed: Number of the others.
    """

    durations_s: list[float] = attrs.field(factory=list)
    accepted: list[str] = attrs.field(factory=list)
    failed: int = 0

    @property
    def share(self) -> float:
        """Share of the submissions that were answered 200."""
        done = len(self.durations_s)
        return done / (done + self.failed)


async def _start_fleet(
    log_path: str = "/dev/null",
) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(log_path=log_path, seed=3)
    for name in _INSTANCES:
        fleet.start_instance(name, has_configuration=True)
    faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
    faults.executes_abandoned_calls = True
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await _submit_many(fleet, "0", 6, 5)
    return fleet


async def _submit_many(
    fleet: standin_fleet.VirtualFleet,
    prefix: str,
    count: int,
    per_s: float,
    instances: typing.Sequence[str] = _INSTANCES,
) -> _Answers:
    """Submits jobs through all instances in turn, and waits for answers."""
    answers = _Answers()
    loop = asyncio.get_running_loop()

    async def submit(index: int) -> None:
        began = loop.time()
        outcome = await fleet.submit(
            f"{prefix}{index}",
            _STEP,
            instance=instances[index % len(instances)],
            timeout=_TIMEOUT,
        )
        if outcome is model.Outcome.DONE:
            answers.durations_s.append(loop.time() - began)
            answers.accepted.append(f"{prefix}{index}")
        else:
            answers.failed += 1

    async with asyncio.TaskGroup() as group:
        for index in range(count):
            group.create_task(submit(index))
            await asyncio.sleep(1 / per_s)
    return answers


@pytest.mark.parametrize(
    ("factor", "lost_share", "min_share"),
    [
        (20, 0.0, 1.0),
        (76, 0.0, 1.0),
        (200, 0.0, 0.9),
        (1, 0.1, 1.0),
        (20, 0.1, 1.0),
        (76, 0.1, 1.0),
        (200, 0.1, 0.85),
    ],
)
def test_submissions_to_a_slow_store_are_answered_200(
    factor: float, lost_share: float, min_share: float
) -> None:
    """Guards against taking a slow store for an absent one.

    A store that is 200 times slower needs 1.3 s for a transaction. Then the
    first submissions of an instance are given up, until a late answer tells
    that the store is slow.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_answer_share = lost_share
        fleet.store.slow_down(factor)
        answers = await _submit_many(fleet, "1", 60, 10)
        assert answers.share >= min_share
        faults.lost_answer_share = 0.0
        fleet.store.slow_down(1)
        # A job runs even if its submission was not answered.
        for index in range(60):
            await fleet.wait_for_state(f"1{index}", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 66
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_uniformly_slow_store_gets_few_second_attempts() -> None:
    """Guards against twice the calls to a store that is slow for all."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        fleet.store.slow_down(76)
        before = fleet.store.received_writes
        began = asyncio.get_running_loop().time()
        await _submit_many(fleet, "1", 60, 10)
        elapsed = asyncio.get_running_loop().time() - began
        # The scheduler writes at most once in the time of a transaction.
        scheduler_writes = elapsed / 0.5 + 1
        calls = fleet.store.received_writes - before - scheduler_writes
        assert calls <= 60 + 6 * len(_INSTANCES)

    virtual_time.run_virtually(simulate())


def test_lost_answer_is_noticed_within_a_quarter_of_a_second() -> None:
    """Guards against waiting for an answer that the store has lost."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_answer_share = 1.0
        submission = asyncio.create_task(_submit_many(fleet, "1", 1, 10))
        await asyncio.sleep(0.1)
        faults.lost_answer_share = 0.0
        answers = await submission
        assert answers.share == 1 and answers.durations_s[0] < 0.25
        await fleet.wait_for_state("10", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 7

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("factor", [1, 20, 76])
def test_instance_that_is_cut_off_answers_504_soon(factor: float) -> None:
    """Guards against holding a caller that another instance could serve.

    An instance whose store was slow before waits longer, but only for half of
    the caller's time.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        fleet.store.slow_down(factor)
        await _submit_many(fleet, "1", 12, 10)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.unreachable_from.add("b")
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await fleet.submit("20", _STEP, instance="b")
        assert outcome is model.Outcome.UNKNOWN
        assert loop.time() - began < (0.9 if factor < 76 else 1.6)
        with pytest.raises(model.StoreUnavailableError):
            await fleet.read_state("20", "b")
        again = await fleet.submit("20", _STEP, instance="a")
        assert again is model.Outcome.DONE

    virtual_time.run_virtually(simulate())


def test_refusals_above_a_rate_are_retried_until_there_is_room() -> None:
    """Guards against 504 for a burst that the store accepts a little later.

    Guards also against retries that use up the rate: the store refuses all
    transactions above 40 per second.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        fleet.store.max_writes_per_s = 40
        before = fleet.store.received_writes
        answers = await _submit_many(fleet, "1", 60, 120)
        assert answers.share >= 0.95
        assert fleet.store.received_writes - before < 60 + 200
        for job in answers.accepted:
            await fleet.wait_for_state(job, model.JobState.COMPLETED)

    virtual_time.run_virtually(simulate())


def test_recovering_store_is_not_hit_by_all_retries_at_once() -> None:
    """Guards against a store that fails again under waiting retries.

    180 submissions arrive in the 0.4 s in which the store refuses all calls,
    and wait when it returns.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        await asyncio.sleep(3)
        fleet.store.is_down = True
        before_outage = fleet.store.received_writes
        submissions = asyncio.create_task(_submit_many(fleet, "1", 180, 450))
        await asyncio.sleep(0.4)
        repeats = fleet.store.received_writes - before_outage - 180
        # A burst, the rate of 0.4 s and the scheduler's attempts.
        assert repeats <= len(_INSTANCES) * 14 + 3
        fleet.store.is_down = False
        before = fleet.store.received_writes
        await asyncio.sleep(1)
        after = fleet.store.received_writes - before
        # The rate, as much again from the successes, and the scheduler.
        assert after <= len(_INSTANCES) * 20 + 15
        answers = await submissions
        # Those that were refused for half a second without a retry are
        # answered 504, so that their callers can ask again.
        again = await _submit_many(fleet, "1", 180, 450)
        assert again.share == 1 and answers.failed > 0
        for index in range(180):
            await fleet.wait_for_state(f"1{index}", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 186

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("factor", [1, 20, 76, 200])
@pytest.mark.parametrize("lost_share", [0.0, 0.1])
def test_cancelled_job_stops_within_four_seconds(
    factor: float, lost_share: float
) -> None:
    """Guards against cancelled work that goes on because the store is slow.

    Callers repeat a cancellation that was not answered 200.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        await fleet.submit("10", _ENDLESS_STEP)
        await fleet.wait_for_state("10", model.JobState.RUNNING)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        fleet.store.slow_down(factor)
        faults.lost_answer_share = lost_share
        await asyncio.sleep(2)
        jobs = fleet.instances["b"].jobs
        for _ in range(5):
            deadline = fleet.clock.get_monotonic() + _TIMEOUT
            try:
                presence = await jobs.read_presence("10", deadline)
                assert presence.is_stored
                await jobs.cancel("10", deadline)
                break
            except (
                model.StoreUnavailableError,
                model.StoreOutcomeUnknownError,
            ):
                continue
        else:
            raise AssertionError("the cancellation was never answered 200")
        await fleet.wait_until(
            lambda: not any(runner.running for runner in fleet.runners), 4.0
        )

    virtual_time.run_virtually(simulate())


def test_repeated_calls_are_logged_and_counted(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an operator who cannot tell why submissions are slow."""
    path = tmp_path / "log"

    async def simulate() -> bytes:
        fleet = await _start_fleet(str(path))
        fleet.store.slow_down(76)
        await fleet.submit("10", _STEP, instance="a", timeout=_TIMEOUT)
        fleet.store.is_unresponsive = True
        await fleet.submit("11", _STEP, instance="b", timeout=_TIMEOUT)
        rendered = (
            fleet.instances["a"].metrics.render()
            + fleet.instances["b"].metrics.render()
        )
        return rendered

    metrics = virtual_time.run_virtually(simulate()).decode()
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    repeated = [
        (line["job"], line["attempts"], line["winner"], line["given_up"])
        for line in lines
        if line["event"] == "store_call_repeated"
    ]
    assert repeated == [("10", 2, 1, None), ("11", 2, None, "silent")]
    for text in (
        'tamarackhatch_store_attempts_bucket{kind="submit",le="1.0"}',
        'tamarackhatch_hedged_store_calls_total{kind="submit",winner="1"} 1.0',
        'tamarackhatch_given_up_store_calls_total{kind="submit",'
        'reason="silent"} 1.0',
    ):
        assert text in metrics
