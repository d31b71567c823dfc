"""Faults that operators of similar systems have reported.

docs/guarantees.md has one row for each of them.
"""

import asyncio
import base64
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch import transport

_TASK = model.Resources(processors=1000, memory_mb=100)
_LONG_RUNNING = model.Step(2, _TASK, is_long_running=True)
_COMMAND_PATHS = (
    runner.START_PATH,
    runner.STOP_PATH,
    runner.SPEED_LIMIT_PATH,
)


@attrs.frozen
class _SentCommand:
    """A command that left an instance."""

    time: float
    instance: str
    path: str


def _record_commands(
    fleet: standin_fleet.VirtualFleet,
) -> list[_SentCommand]:
    """Returns a list to which each command to a runner is added."""
    sent: list[_SentCommand] = []
    send_call = fleet.network.send_call

    async def record_and_send(
        name: str, call: transport.Call
    ) -> transport.Answer:
        if call.path.startswith(_COMMAND_PATHS) and (call.is_permitted()):
            now = asyncio.get_running_loop().time()
            sent.append(_SentCommand(now, name, call.path))
        return await send_call(name, call)

    fleet.network.send_call = record_and_send  # type: ignore[method-assign]
    return sent


@pytest.mark.parametrize("silence_s", [1.0, 2.0, 3.0])
@pytest.mark.parametrize("is_slow", [False, True])
def test_silent_runner_keeps_its_work(silence_s: float, is_slow: bool) -> None:
    """Guards against restarting or giving up the work of a silent runner.

    The runner works on. It cannot be reached, or it answers so slowly that
    every call is given up.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            plan=lambda task, run: (
                3600.0 if task.startswith("01") else 6.0,
                "done",
            )
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.submit("01", _LONG_RUNNING)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 8)
        await asyncio.sleep(2)
        faults = fleet.network.get_faults(fleet.runners[0].address)
        if is_slow:
            faults.delay_s = silence_s
        else:
            faults.unreachable_from.add("*")
        await asyncio.sleep(silence_s)
        faults.delay_s = 0.002
        faults.unreachable_from.clear()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await asyncio.sleep(10)
        assert len(fleet.history.runs) == 8
        assert all(
            run.exit_reason in ("", "done") for run in fleet.history.runs
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_work_that_ended_on_a_silent_runner_does_not_run_again() -> None:
    """Guards against repeating work whose exit was reported too late."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (2.0, "done"))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(3, _TASK), model.Step(1, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        await asyncio.sleep(1)
        faults = fleet.network.get_faults(fleet.runners[0].address)
        faults.unreachable_from.add("*")
        await asyncio.sleep(9)
        faults.unreachable_from.clear()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await asyncio.sleep(5)
        assert len(fleet.history.runs) == 4
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_run_is_kept_if_its_start_cannot_be_repeated() -> None:
    """Guards against stopping a run because its runner was unreachable."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (6.0, "done"))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        stand_in = fleet.runners[0]

        async def start_without_answer(
            request: network.Request,
        ) -> network.Response:
            response = await stand_in.handle(request)
            if request.path == runner.START_PATH:
                fleet.network.remove(stand_in.address)
                raise network.NoResponseError
            return response

        fleet.network.serve(stand_in.address, start_without_answer)
        await fleet.submit("00", model.Step(1, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1)
        await asyncio.sleep(2)
        fleet.network.serve(stand_in.address, stand_in.handle)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert [run.exit_reason for run in fleet.history.runs] == ["done"]
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("silence_s", [0.5, 1.5, 2.5, 3.5])
@pytest.mark.parametrize("is_answer_lost", [False, True])
def test_runner_that_is_silent_during_a_takeover_keeps_its_work(
    silence_s: float, is_answer_lost: bool
) -> None:
    """Guards against restarting work that the successor cannot see yet.

    The runner's lease lasts longer than its silence. A job that is cancelled
    meanwhile must end there.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(plan=lambda task, run: (12, "done"))
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.submit("01", _LONG_RUNNING)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 8)
        await asyncio.sleep(2)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        faults = fleet.network.get_faults(fleet.runners[0].address)
        if is_answer_lost:
            faults.lost_answer_share = 1.0
        else:
            faults.unreachable_from.add("*")
        (survivor,) = fleet.instances.values()
        deadline = fleet.clock.get_monotonic() + datetime.timedelta(seconds=3)
        await survivor.jobs.cancel("01", deadline)
        await asyncio.sleep(silence_s)
        faults.lost_answer_share = 0.0
        faults.unreachable_from.clear()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 8
        assert not any(runner.running for runner in fleet.runners)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_runner_without_a_registry_entry_keeps_its_work() -> None:
    """Guards against restarting work because only the registry is behind."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            plan=lambda task, run: (8.0, "done")
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        for stand_in in fleet.runners:
            stand_in.is_registering = False
            fleet.store.remove("servers", stand_in.identifier)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 6
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def _is_released(fleet: standin_fleet.VirtualFleet) -> bool:
    """Returns whether the leader heartbeat in the store is released."""
    ref = records.LEADER_HEARTBEAT
    text = fleet.store.get(ref.table, ref.key, ref.partition)
    assert text is not None
    value = base64.b64decode(text)
    return records.decode_leader_heartbeat(value).is_released


async def _answer_error(request: network.Request) -> network.Response:
    return network.Response(500)


@pytest.mark.parametrize("delay_s", [0.002, 0.1, 0.3])
def test_no_command_leaves_after_the_term_is_released(delay_s: float) -> None:
    """Guards against two schedulers that send commands at a hand-over.

    Starts of unknown outcome are repeated when the scheduler is stopped, and
    the answer to the release takes a while.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        sent = _record_commands(fleet)
        leader = fleet.get_leader()
        assert leader is not None
        faulty = fleet.runners[0]
        fleet.network.serve(faulty.address, _answer_error)
        await fleet.submit("00", model.Step(6, _TASK))
        await asyncio.sleep(0.3)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.delay_s = delay_s
        stopping = asyncio.create_task(leader.stop())
        await fleet.wait_until(lambda: _is_released(fleet))
        released = asyncio.get_running_loop().time()
        await stopping
        store_faults.delay_s = 0.002
        del fleet.instances[leader.name]
        fleet.network.serve(faulty.address, faulty.handle)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert any(item.instance == leader.name for item in sent)
        assert [
            item
            for item in sent
            if item.instance == leader.name and item.time > released
        ] == []
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("leaves_by", ["removal", "draining"])
def test_restarted_scheduler_uses_no_runner_that_has_left(
    leaves_by: str,
) -> None:
    """Guards against starts on a runner that left while no scheduler ran."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        first = fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await asyncio.sleep(1)
        first.kill()
        left = fleet.runners[0]
        if leaves_by == "draining":
            left.state = "draining"
            left.register(fleet.store)
        else:
            left.is_registering = False
            fleet.store.remove("servers", left.identifier)
        started = len(fleet.history.runs)
        fleet.start_instance("a")
        await fleet.submit("01", model.Step(6, _TASK))
        await fleet.wait_for_state("01", model.JobState.COMPLETED)
        runs = fleet.history.runs[started:]
        assert len(runs) == 6
        assert left.identifier not in {run.runner for run in runs}
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_restarted_scheduler_starts_no_cancelled_job() -> None:
    """Guards against work that was withdrawn while no scheduler ran."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.submit("00", model.Step(6, _TASK))
        (survivor,) = fleet.instances.values()
        deadline = fleet.clock.get_monotonic() + datetime.timedelta(seconds=3)
        await survivor.jobs.cancel("00", deadline)
        await fleet.wait_until(lambda: fleet.get_leader() is survivor)
        await asyncio.sleep(3)
        assert fleet.history.runs == []
        assert await fleet.read_state("00") is model.JobState.CANCELLED

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("share", [0.2, 0.5])
def test_lost_answers_repeat_no_work(share: float) -> None:
    """Guards against running work again whose start or end got no answer."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(seed=3)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        for stand_in in fleet.runners:
            faults = fleet.network.get_faults(stand_in.address)
            faults.lost_answer_share = share
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.lost_answer_share = share / 2
        for number in range(4):
            await fleet.submit(f"0{number}", model.Step(5, _TASK))
            await asyncio.sleep(1)
        await asyncio.sleep(10)
        for stand_in in fleet.runners:
            fleet.network.get_faults(stand_in.address).lost_answer_share = 0
        store_faults.lost_answer_share = 0
        for number in range(4):
            await fleet.wait_for_state(f"0{number}", model.JobState.COMPLETED)
        done = [r for r in fleet.history.runs if r.exit_reason == "done"]
        assert len(done) == 20
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_unexpected_error_repeats_no_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second scheduler with the term of one that failed.

    Its runs would get the numbers, and its commands the token, of runs that
    still exist.
    """
    run_pass = _dispatcher.Dispatcher.run_pass
    passes = 0

    def fail_at_times(dispatcher: _dispatcher.Dispatcher) -> None:
        nonlocal passes
        passes += 1
        run_pass(dispatcher)
        if passes % 7 == 0:
            raise ZeroDivisionError

    async def simulate() -> tuple[list[str], set[int]]:
        fleet = standin_fleet.VirtualFleet(3)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        monkeypatch.setattr(_dispatcher.Dispatcher, "run_pass", fail_at_times)
        for number in range(12):
            await fleet.submit(f"{number:02}", model.Step(8, _TASK))
            await asyncio.sleep(0.4)
        for number in range(12):
            await fleet.wait_for_state(
                f"{number:02}", model.JobState.COMPLETED
            )
        violations = [str(violation) for violation in fleet.check()]
        return violations, {run.token for run in fleet.history.runs}

    violations, tokens = virtual_time.run_virtually(simulate())
    assert violations == []
    assert len(tokens) > 1
