"""Moves of slow runs, with whole schedulers in virtual time."""

import asyncio
import datetime
import pathlib

import attrs
import pytest

from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler.tests import straggler_trial

_MS = datetime.timedelta(milliseconds=1)
_SERVING = model.Step(
    10,
    model.Resources(4000, 500),
    is_long_running=True,
    max_per_runner=1,
    image="serving",
    tail_latency_target=50 * _MS,
)
# Least time between two moves of a task.
_MOVE_INTERVAL_S = 3.0


def _make_speeds(slow: int, speed: float, count: int = 10) -> list[float]:
    return [speed] * slow + [1.0] * (count - slow)


@pytest.mark.parametrize(
    ("slow_runners", "speed", "max_share"), [(3, 0.1, 0.5), (1, 0.2, 0.6)]
)
def test_step_does_not_wait_for_slow_runners(
    tmp_path: pathlib.Path, slow_runners: int, speed: float, max_share: float
) -> None:
    """Guards against a step that ends when its slowest run ends."""

    async def simulate(restore: datetime.timedelta | None) -> float:
        log_path = tmp_path / str(restore)
        trial = straggler_trial.Trial(
            log_path, _make_speeds(slow_runners, speed), restore
        )
        await trial.start()
        took_s = await trial.run_job()
        assert trial.fleet.check() == []
        moves = trial.list_moves()
        assert (restore is not None) == bool(moves)
        assert len(moves) == trial.get_metric(
            "tamarackhatch_straggler_moves_total"
        )
        slow = {f"i-{index}" for index in range(slow_runners)}
        for move in moves:
            assert move["runner"] in slow
            assert move["place"] not in slow
        return took_s

    moved_s = virtual_time.run_virtually(simulate(straggler_trial.RESTORE))
    unmoved_s = virtual_time.run_virtually(simulate(None))
    assert moved_s < max_share * unmoved_s


def test_step_does_not_wait_for_runs_that_no_longer_proceed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against runs without any progress, which would never end."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(3, 1.0))
        await trial.start()
        job = asyncio.create_task(trial.run_job())
        await asyncio.sleep(1.6)
        for stand_in in trial.fleet.runners[:3]:
            stand_in.speed = 0.0
        # Six moves, one each second, after the other runs are done.
        assert await job < 12
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_step_does_not_wait_for_a_run_at_speed_limit_zero(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against runs that stay stopped beside a violated target."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(
            tmp_path / "log", [], work_s={"01.0.0.0": 600.0}
        )
        trial.add_runner(straggler_trial.ViolatedRunner, 0)
        await trial.start()
        job = asyncio.create_task(
            trial.run_job(attrs.evolve(straggler_trial.STEP, count=2))
        )
        await asyncio.sleep(1)
        # A serving task over its target arrives beside the runs.
        await trial.fleet.submit("01", attrs.evolve(_SERVING, count=1))
        await asyncio.sleep(0.5)
        trial.add_runner(straggler_trial.SilencedRunner, 1)
        assert await job < 8
        assert {move["runner"] for move in trial.list_moves()} == {"i-0"}
        assert {
            move["speed_limit_percent"] for move in trial.list_moves()
        } == {0}
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("speed", [1.0, 0.2])
def test_nothing_moves_where_all_runners_are_equally_slow(
    tmp_path: pathlib.Path, speed: float
) -> None:
    """Guards against moves that only lose work, in a saturated fleet."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(
            tmp_path / "log", _make_speeds(10, speed)
        )
        await trial.start()
        await trial.run_job()
        assert trial.list_moves() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("speed", [0.1, 1.0])
def test_no_run_is_moved_twice_within_three_seconds(
    tmp_path: pathlib.Path, speed: float
) -> None:
    """Guards against runs that go from one slow runner to the next.

    All runners but one are slow, or the fleet becomes slow after the start.
    """

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(9, speed))
        await trial.start()
        job = asyncio.create_task(trial.run_job())
        await asyncio.sleep(1.5)
        for index in range(8):
            trial.fleet.runners[index].speed = 0.1
        await job
        by_task: dict[object, list[datetime.datetime]] = {}
        for move in trial.list_moves():
            time = datetime.datetime.fromisoformat(str(move["time"]))
            by_task.setdefault(move["task"], []).append(time)
        for times in by_task.values():
            assert len(times) <= 4
            for earlier, later in zip(times, times[1:]):
                elapsed = later - earlier
                assert elapsed.total_seconds() >= _MOVE_INTERVAL_S
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_moved_run_resumes_elsewhere_from_its_checkpoint(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost checkpoints, and starts on the same runner."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(
            tmp_path / "log", _make_speeds(1, 1.0, count=4)
        )
        await trial.start()
        job = asyncio.create_task(
            trial.run_job(attrs.evolve(straggler_trial.STEP, count=8))
        )
        await asyncio.sleep(1.6)
        # The runs there have done 1.5 s of their work.
        trial.fleet.runners[0].speed = 0.02
        await job
        assert trial.fleet.check() == []
        moves = trial.list_moves()
        assert len(moves) == 2
        for move in moves:
            first, second = [
                run
                for run in trial.fleet.history.runs
                if run.task == move["task"]
            ]
            assert first.exit_reason == "stopped"
            assert second.runner != first.runner
            assert second.exited is not None and first.exited is not None
            # The rest of the work and the time to resume, in seconds.
            assert second.exited - second.started < 1.5
            assert second.started - first.exited < 0.2
        lost_s = trial.get_metric(
            "tamarackhatch_straggler_lost_work_seconds_total"
        )
        assert lost_s == pytest.approx(2 * 0.25, abs=0.01)

    virtual_time.run_virtually(simulate())


def test_long_task_is_not_taken_for_a_straggler(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against moves of tasks that take long on any runner.

    The other run on its runner is as fast as its siblings elsewhere.
    """

    async def simulate() -> None:
        trial = straggler_trial.Trial(
            tmp_path / "log",
            _make_speeds(0, 1.0, count=5),
            work_s={"00.0.0.3": 7 * straggler_trial.WORK_S},
        )
        await trial.start()
        await trial.run_job()
        # Once its neighbour is done, nothing tells whether the runner or the
        # task is the cause.
        assert len(trial.list_moves()) <= 1
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_stopped_run_is_not_repeated_while_its_runner_is_silent(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against two runs of a task whose runner is cut off."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(1, 0.05))
        await trial.start()
        slow = trial.fleet.runners[0]
        assert isinstance(slow, straggler_trial.SilencedRunner)
        slow.faults = trial.fleet.network.get_faults(slow.address)
        job = asyncio.create_task(trial.run_job())
        await trial.wait_for_move()
        task = trial.list_moves()[0]["task"]
        await asyncio.sleep(3)
        runs = [run for run in trial.fleet.history.runs if run.task == task]
        assert len(runs) == 1
        await job
        assert len(trial.list_moves()) == 1
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.09, 0.12, 0.2])
@pytest.mark.parametrize("is_graceful", [False, True])
def test_takeover_during_a_move_repeats_no_task(
    tmp_path: pathlib.Path, delay_s: float, is_graceful: bool
) -> None:
    """Guards against a second run, or a second move by the successor."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(1, 0.05))
        await trial.start("a", "b")
        job = asyncio.create_task(trial.run_job())
        await trial.wait_for_move()
        moved = [move["task"] for move in trial.list_moves()]
        moved_at = asyncio.get_running_loop().time()
        await asyncio.sleep(delay_s)
        leader = trial.fleet.get_leader()
        assert leader is not None
        del trial.fleet.instances[leader.name]
        if is_graceful:
            await leader.stop()
        else:
            leader.kill()
        await asyncio.sleep(max(0.0, moved_at + 2.9 - _now()))
        assert [move["task"] for move in trial.list_moves()] == moved
        await job
        assert trial.fleet.check() == []

    def _now() -> float:
        return asyncio.get_running_loop().time()

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.12])
def test_cancelled_job_does_not_resume_after_a_move(
    tmp_path: pathlib.Path, delay_s: float
) -> None:
    """Guards against a move that starts a task of a cancelled job."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(1, 0.05))
        await trial.start()
        await trial.fleet.submit("00", straggler_trial.STEP)
        await trial.wait_for_move()
        await asyncio.sleep(delay_s)
        deadline = trial.fleet.clock.get_monotonic() + 3000 * _MS
        await trial.fleet.instances["a"].jobs.cancel("00", deadline)
        cancelled_at = asyncio.get_running_loop().time()
        await asyncio.sleep(4)
        assert all(not r.running for r in trial.fleet.runners)
        late = [
            run
            for run in trial.fleet.history.runs
            if run.started > cancelled_at + 0.1
        ]
        assert late == []
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_failures_and_moves_stay_within_the_attempts(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against moves that reset or use up the attempts of a task."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(3, 0.1))
        for stand_in in trial.fleet.runners:
            stand_in._plan = lambda task, run: (
                straggler_trial.WORK_S,
                "failed" if task.endswith(("3", "7")) and run < 3 else "done",
            )
        await trial.start()
        await trial.run_job()
        assert trial.list_moves()
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_nothing_moves_while_tasks_wait(tmp_path: pathlib.Path) -> None:
    """Guards against moved runs that take capacity from waiting tasks."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(3, 0.1))
        for stand_in in trial.fleet.runners:
            stand_in.capacity = model.Resources(16_000, 1000)
        await trial.start()
        # 20 of the tasks fit in the memory.
        job = asyncio.create_task(
            trial.run_job(attrs.evolve(straggler_trial.STEP, count=60))
        )
        waiting = 1
        while waiting:
            await asyncio.sleep(0.2)
            before = len(trial.list_moves())
            waiting = 60 - len(trial.fleet.history.runs)
            if waiting:
                assert before == 0
        await job
        assert trial.list_moves()
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_long_running_tasks_and_gangs_are_never_moved(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against moves of tasks that a move does not help."""

    async def simulate() -> None:
        trial = straggler_trial.Trial(tmp_path / "log", _make_speeds(3, 0.1))
        await trial.start()
        await trial.fleet.submit("01", _SERVING)
        gang = attrs.evolve(straggler_trial.STEP, count=8, is_gang=True)
        await trial.run_job(gang)
        assert trial.list_moves() == []

    virtual_time.run_virtually(simulate())
