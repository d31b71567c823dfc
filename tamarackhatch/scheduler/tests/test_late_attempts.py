"""Tests start commands that runners carry out in their next incarnation.

Such a runner has seen neither the run nor a fencing token, so that it refuses
nothing. What has happened by then must allow one more run.
"""

import asyncio
from collections.abc import Callable
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(processors=4_000, memory_mb=100)
_STEP = model.Step(1, _TASK)
_LASTING = model.Step(1, _TASK, is_long_running=True)


class _LateStarts:
    """Leaves the starts of one runner unanswered, and carries them out late.

    Attributes:
        is_late: Whether starts get no answer now.
        pending: Loop times at which they are carried out.
        renewals: Number of renewals so far.
        longest_list: Largest number of exits that a report has listed.
    """

    def __init__(
        self, fleet: standin_fleet.VirtualFleet, index: int, delay_s: float
    ) -> None:
        self.is_late = True
        self.pending: list[float] = []
        self.renewals = 0
        self.longest_list = 0
        self._delay_s = delay_s
        self._runner = fleet.runners[index]
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.network.serve(self._runner.address, self._handle)

    async def _handle(self, request: network.Request) -> network.Response:
        if self.is_late and request.path == runner.START_PATH:
            now = asyncio.get_running_loop().time()
            self.pending.append(now + self._delay_s)
            task = asyncio.create_task(self._carry_out(request))
            self._tasks.add(task)
            raise network.NoResponseError
        response = await self._runner.handle(request)
        if request.path == runner.RENEWAL_PATH:
            self.renewals += 1
            exits = len(response.body.get("ended", ()))
            self.longest_list = max(self.longest_list, exits)
        return response

    async def _carry_out(self, request: network.Request) -> None:
        await asyncio.sleep(self._delay_s)
        await self._runner.handle(attrs.evolve(request, is_late=True))


async def _restart(
    fleet: standin_fleet.VirtualFleet, index: int, time: float
) -> None:
    """Restarts a runner at a loop time, just before a call arrives."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, time - now - 0.001))
    item = fleet.runners[index]
    item.crash(resets_connections=True)
    item.register(fleet.store)


async def _open_fleet(
    runners: int, plan: runner.Plan
) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(runners, plan)
    fleet.start_instance("a")
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await asyncio.sleep(2)
    return fleet


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize(
    ("reason", "late_s"), [("done", 0.1), ("failed", 0.1), ("done", 1.5)]
)
def test_late_attempts_start_no_finished_task_again(
    reason: str, late_s: float, restarts: int
) -> None:
    """Guards against a run after the acknowledged end of its task.

    The first attempts get no answer, a later one succeeds, and the task ends
    for good. The others are carried out by the runner's next incarnations.
    """

    async def simulate() -> None:
        fleet = await _open_fleet(1, lambda task, run: (0.3, reason))
        late = _LateStarts(fleet, 0, 6.0)
        await fleet.submit("00", _STEP)
        await asyncio.sleep(late_s)
        late.is_late = False
        final = model.JobState.COMPLETED
        if reason == "failed":
            final = model.JobState.FAILED
        await fleet.wait_for_state("00", final, 5)
        for time in late.pending[:restarts]:
            await _restart(fleet, 0, time)
        await asyncio.sleep(3)
        started = [run for run in fleet.history.runs if run.is_late]
        assert len(started) == min(restarts, len(late.pending))
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("step", "work_s"), [(_STEP, 0.3), (_STEP, 60.0), (_LASTING, 60.0)]
)
@pytest.mark.parametrize("late_s", [0.5, 6.0, 7.5])
def test_task_with_a_late_attempt_runs_nowhere_else(
    late_s: float, step: model.Step, work_s: float
) -> None:
    """Guards against a run elsewhere beside, or before, that of an attempt.

    One runner leaves starts unanswered for a while, and restarts when the
    first of them arrives. The other runner has room all the time.
    """

    async def simulate() -> None:
        fleet = await _open_fleet(2, lambda task, run: (work_s, "done"))
        late = _LateStarts(fleet, 0, 8.0)
        for number in range(4):
            await fleet.submit(f"0{number}", step)
        await asyncio.sleep(late_s)
        late.is_late = False
        assert late.pending
        for time in late.pending[:3]:
            await _restart(fleet, 0, time)
        await asyncio.sleep(20)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []
        if work_s < 1:
            for number in range(4):
                job = f"0{number}"
                await fleet.wait_for_state(job, model.JobState.COMPLETED, 1)

    virtual_time.run_virtually(simulate())


def _drain(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].state = "draining"
    fleet.runners[0].register(fleet.store)


def _cut_off(fleet: standin_fleet.VirtualFleet) -> None:
    faults = fleet.network.get_faults(fleet.runners[0].address)
    faults.unreachable_from.add("*")


def _evacuate(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.evacuate("there")


@pytest.mark.parametrize(
    ("step", "trouble", "longest_s"),
    [
        # The attempt may arrive for 12 s.
        pytest.param(_STEP, _cut_off, 15.0, id="silent"),
        # Nine seconds are the bound of the rule for long-running tasks.
        pytest.param(_LASTING, _cut_off, 9.0, id="silent-long-running"),
        pytest.param(_STEP, _drain, 15.0, id="draining"),
        pytest.param(_LASTING, _drain, 9.0, id="draining-long-running"),
        pytest.param(_STEP, _evacuate, 15.0, id="evacuated"),
        pytest.param(_LASTING, _evacuate, 9.0, id="evacuated-long-running"),
    ],
)
def test_task_starts_elsewhere_if_its_runner_takes_it_no_more(
    step: model.Step,
    trouble: Callable[[standin_fleet.VirtualFleet], None],
    longest_s: float,
) -> None:
    """Guards against a task that waits for a runner longer than it must."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda task, run: (2.0, "done"), data_centres=("there",)
        )
        fleet.bounds = attrs.evolve(
            fleet.bounds, evacuation=datetime.timedelta(seconds=5)
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        _LateStarts(fleet, 0, 30.0)
        await fleet.submit("00", step)
        await asyncio.sleep(0.2)
        fleet.add_runner(lambda task, run: (2.0, "done"), 1)
        trouble(fleet)
        await fleet.wait_until(
            lambda: "00.0.0.0" in fleet.runners[1].running, longest_s
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_exits_are_acknowledged_once_no_attempt_can_arrive() -> None:
    """Guards against exits that are listed for good, and against busy polls.

    A runner answers at once while it lists exits, so that renewals without a
    pause would keep the scheduler busy.
    """

    async def simulate() -> None:
        fleet = await _open_fleet(1, standin_fleet.plan_success)
        late = _LateStarts(fleet, 0, 6.0)
        await fleet.submit("00", _STEP)
        await asyncio.sleep(0.1)
        late.is_late = False
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 4)
        await fleet.submit("01", _STEP)
        await fleet.wait_for_state("01", model.JobState.COMPLETED, 4)
        assert late.longest_list == 2
        before = late.renewals
        await asyncio.sleep(8)
        assert late.renewals - before <= 5 * 8
        await asyncio.sleep(5)
        before = late.renewals
        await asyncio.sleep(6)
        assert late.renewals - before <= 6
        assert all(run.acknowledged for run in fleet.history.runs)

    virtual_time.run_virtually(simulate())


def test_runner_with_many_unacknowledged_exits_gets_no_further_tasks() -> None:
    """Guards against exits that do not fit into a report of 500.

    The scheduler would not learn of them while one of the first ones cannot
    be acknowledged.
    """

    async def simulate() -> None:
        fleet = await _open_fleet(2, lambda task, run: (0.05, "done"))
        late = _LateStarts(fleet, 0, 6.0)
        await fleet.submit("00", model.Step(2, _TASK))
        await asyncio.sleep(0.1)
        late.is_late = False
        small = model.Step(40, model.Resources(400, 10))
        for number in range(80):
            await fleet.submit(f"1{number:02}", small)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        assert 300 <= late.longest_list < 500
        for number in range(80):
            job = f"1{number:02}"
            await fleet.wait_for_state(job, model.JobState.COMPLETED, 1)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_stray_run_bars_a_start_elsewhere_until_it_has_stopped() -> None:
    """Guards against a start beside a run that is being stopped.

    The scheduler gave a run up whose late start an incarnation has then
    carried out.
    """

    async def simulate() -> None:
        fleet = await _open_fleet(2, lambda task, run: (60.0, "done"))
        late = _LateStarts(fleet, 0, 8.0)
        for number in range(4):
            await fleet.submit(f"0{number}", _STEP)
        await asyncio.sleep(7.5)
        for time in late.pending[:3]:
            await _restart(fleet, 0, time)
        late.is_late = False
        await asyncio.sleep(20)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []
        running = fleet.runners[0].running + fleet.runners[1].running
        assert sorted(running) == [f"0{number}.0.0.0" for number in range(4)]

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize("takeovers", [1, 2])
def test_successor_knows_the_attempts_of_its_predecessor(
    takeovers: int, is_killed: bool
) -> None:
    """Guards against an end that a successor acknowledges too soon.

    The first attempt gets no answer, a later one succeeds, and the scheduler
    ends before the first one arrives at the runner's next incarnation.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (0.3, "done"))
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        late = _LateStarts(fleet, 0, 11.0)
        await fleet.submit("00", _STEP)
        await asyncio.sleep(0.1)
        late.is_late = False
        await asyncio.sleep(2.5)
        for _ in range(takeovers):
            leader = fleet.get_leader()
            assert leader is not None
            del fleet.instances[leader.name]
            if is_killed:
                leader.kill()
            else:
                await leader.stop()
            await fleet.wait_until(
                lambda: fleet.get_leader() not in (None, leader)
            )
            await asyncio.sleep(1.5)
        await _restart(fleet, 0, late.pending[0])
        await asyncio.sleep(3)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("run_s", [0.1, 2.6])
@pytest.mark.parametrize("kill_s", [0.15, 0.5])
def test_successor_of_a_killed_scheduler_acknowledges_no_end_too_soon(
    kill_s: float, run_s: float
) -> None:
    """Guards against an attempt that a scheduler was killed before it wrote.

    The rows that it leaves know nothing of the attempt.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda task, run: (run_s, "done")
        )
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        late = _LateStarts(fleet, 0, 11.0)
        await fleet.submit("00", _STEP)
        await fleet.wait_until(lambda: bool(late.pending))
        late.is_late = False
        await asyncio.sleep(kill_s)
        leader = fleet.get_leader()
        assert leader is not None
        del fleet.instances[leader.name]
        leader.kill()
        await _restart(fleet, 0, late.pending[0])
        await asyncio.sleep(3)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("takeovers", [1, 2])
@pytest.mark.parametrize("run_s", [0.1, 2.6])
@pytest.mark.parametrize("kill_s", [0.0, 0.05, 0.15, 0.5])
def test_successor_of_a_killed_scheduler_repeats_no_start_elsewhere(
    kill_s: float, run_s: float, takeovers: int
) -> None:
    """Guards against a finished task that a killed scheduler had sent.

    No attempt gets an answer, and none is carried out before the successor
    has finished the task. Then one is, on the runner that it was sent to.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            2, lambda task, run: (run_s, "done")
        )
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        late = [_LateStarts(fleet, index, 11.0) for index in range(2)]
        await fleet.submit("00", _STEP)
        await fleet.wait_until(lambda: any(it.pending for it in late))
        await asyncio.sleep(kill_s)
        for it in late:
            it.is_late = False
        for _ in range(takeovers):
            leader = fleet.get_leader()
            assert leader is not None
            del fleet.instances[leader.name]
            leader.kill()
            await fleet.wait_until(
                lambda: fleet.get_leader() not in (None, leader)
            )
            await asyncio.sleep(0.5)
        (index,) = (index for index in range(2) if late[index].pending)
        await _restart(fleet, index, late[index].pending[0])
        await asyncio.sleep(3)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 15)

    virtual_time.run_virtually(simulate())


def test_start_during_an_outage_is_known_to_a_successor() -> None:
    """Guards against a start that was sent while the store was away.

    The scheduler is killed before it can record it.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, lambda task, run: (0.5, "done"))
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        second = model.Step(1, _TASK, after=(0,))
        await fleet.submit("00", _STEP, second)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1)
        late = [_LateStarts(fleet, index, 11.0) for index in range(2)]
        fleet.store.is_down = True
        await fleet.wait_until(lambda: any(it.pending for it in late), 4)
        for it in late:
            it.is_late = False
        leader = fleet.get_leader()
        assert leader is not None
        del fleet.instances[leader.name]
        leader.kill()
        fleet.store.is_down = False
        (index,) = (index for index in range(2) if late[index].pending)
        await _restart(fleet, index, late[index].pending[0])
        await asyncio.sleep(3)
        assert any(run.is_late for run in fleet.history.runs)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def _crash(fleet: standin_fleet.VirtualFleet) -> None:
    """Makes the task a suspect, which is not observed where it crashed."""
    fleet.runners[0].crash(resets_connections=True)
    fleet.runners[0].register(fleet.store)


@pytest.mark.parametrize(
    ("step", "leave"),
    [
        pytest.param(_STEP, _drain, id="draining"),
        pytest.param(_LASTING, _drain, id="draining-long-running"),
        pytest.param(_STEP, _evacuate, id="evacuated"),
        pytest.param(_LASTING, _evacuate, id="evacuated-long-running"),
        pytest.param(_STEP, _crash, id="crashed"),
    ],
)
def test_restart_of_a_runner_that_takes_no_more_starts_no_second_run(
    step: model.Step, leave: Callable[[standin_fleet.VirtualFleet], None]
) -> None:
    """Guards against a run beside the one that was started elsewhere.

    The runner refuses the attempt when the task goes elsewhere. Its next
    incarnation does not.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda task, run: (60.0, "done"), data_centres=("there",)
        )
        fleet.bounds = attrs.evolve(
            fleet.bounds, evacuation=datetime.timedelta(seconds=5)
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        late = _LateStarts(fleet, 0, 11.0)
        await fleet.submit("00", step)
        await fleet.wait_until(lambda: bool(late.pending))
        late.is_late = False
        fleet.add_runner(lambda task, run: (60.0, "done"), 1)
        leave(fleet)
        await _restart(fleet, 0, late.pending[0])
        await asyncio.sleep(3)
        assert any(run.is_late for run in fleet.history.runs)
        # Rules on draining and evacuated runners excuse late starts.
        assert [it for it in fleet.check() if it.rule == "TWICE"] == []
        running = fleet.runners[0].running + fleet.runners[1].running
        assert sorted(running) == ["00.0.0.0"]

    virtual_time.run_virtually(simulate())
