"""Random schedules of faults, checked by the history checker of the stand-ins.

The store, the runners and the instances fail in random order in virtual time.
Afterwards all faults are lifted, and all accepted jobs must complete.
"""

import asyncio
import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import network
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _run_proofs
from tamarackhatch.scheduler import _runner_reconciler
from tamarackhatch.scheduler import _state

_TASK = model.Resources(processors=2000, memory_mb=100)
_NAMES = ("a", "b", "c")
_RUNNERS = 4
_MAX_JOBS = 6
_RECOVERY_S = 120.0
_ACTIONS = (
    "kill leader",
    "stop leader",
    "cut leader from store",
    "store down",
    "store does not answer",
    "store discards history",
    "runner crashes",
    "runner cut off",
    "late commands",
    "lost answers",
    "lost store answers",
    "late transactions",
    "lift all faults",
)
_SCHEDULES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(_ACTIONS), strategies.floats(0.05, 3.0)
    ),
    min_size=1,
    max_size=10,
)


class _FaultSimulation:
    """Simulates one schedule of faults.

    Attributes:
        fail_share: Share of the runs that fail, 0 to 1.
    """

    fail_share = 0.15

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._fleet = standin_fleet.VirtualFleet(
            _RUNNERS, self._plan, seed=seed
        )
        for name in _NAMES:
            self._fleet.start_instance(name)

    def _plan(self, task: str, run: int) -> tuple[float, str]:
        draw = random.Random(f"{task} {run}").random()
        return 0.2 + draw * 3, "failed" if draw < self.fail_share else "done"

    async def run(
        self, schedule: list[tuple[str, float]]
    ) -> list[history.Violation]:
        """Injects the faults, lifts them all, and returns violated rules."""
        fleet = self._fleet
        jobs = []
        for index, (action, pause) in enumerate(schedule):
            if index < _MAX_JOBS:
                jobs.append(f"0{index}")
                asyncio.create_task(self._submit(jobs[-1]))
            await self._apply_action(action)
            await asyncio.sleep(pause)
        self._lift_faults()
        for name in _NAMES:
            if name not in fleet.instances:
                fleet.start_instance(name)
        for job in jobs:
            await self._wait_for_final_state(job)
        return fleet.check()

    async def _submit(self, identifier: str) -> None:
        first = model.Step(self._random.randint(1, 4), _TASK)
        second = model.Step(2, _TASK, after=(0,))
        names = list(self._fleet.instances)
        if not names:
            return
        await self._fleet.submit(
            identifier, first, second, instance=self._random.choice(names)
        )

    async def _wait_for_final_state(self, identifier: str) -> None:
        fleet = self._fleet
        if identifier not in fleet.history.accepted:
            return
        async with asyncio.timeout(_RECOVERY_S):
            while True:
                state = await fleet.read_state(identifier)
                if state is not None and state.is_final:
                    return
                if state is None and not self._is_stored(identifier):
                    # The submission had an unknown outcome, and the job was
                    # not stored.
                    return
                await asyncio.sleep(0.2)

    def _is_stored(self, identifier: str) -> bool:
        ref = records.get_job_ref(identifier)
        return (
            self._fleet.store.get(ref.table, ref.key, ref.partition)
            is not None
        )

    async def _apply_action(self, action: str) -> None:
        fleet = self._fleet
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faulty_runner = self._random.choice(fleet.runners)
        runner_faults = fleet.network.get_faults(faulty_runner.address)
        leader = fleet.get_leader()
        if action == "kill leader" and leader is not None:
            leader.kill()
            del fleet.instances[leader.name]
        elif action == "stop leader" and leader is not None:
            await asyncio.wait_for(leader.stop(), 10)
            del fleet.instances[leader.name]
        elif action == "cut leader from store" and leader is not None:
            store.unreachable_from.add(leader.name)
        elif action == "store down":
            fleet.store.is_down = True
        elif action == "store does not answer":
            fleet.store.is_unresponsive = True
        elif action == "store discards history":
            fleet.store.discard_history()
        elif action == "runner crashes":
            faulty_runner.crash()
        elif action == "runner cut off":
            runner_faults.unreachable_from.add("*")
        elif action == "late commands":
            runner_faults.late_call_share = 0.3
        elif action == "lost answers":
            runner_faults.lost_answer_share = 0.3
        elif action == "lost store answers":
            store.lost_answer_share = 0.3
        elif action == "late transactions":
            store.late_call_share = 0.2
        elif action == "lift all faults":
            self._lift_faults()

    def _lift_faults(self) -> None:
        fleet = self._fleet
        fleet.store.is_down = fleet.store.is_unresponsive = False
        addresses = [item.address for item in fleet.runners]
        for address in [standin_fleet.STORE_ADDRESS, *addresses]:
            faults = fleet.network.get_faults(address)
            fresh = network.Faults()
            faults.unreachable_from.clear()
            faults.lost_answer_share = fresh.lost_answer_share
            faults.late_call_share = fresh.late_call_share


def _play(
    schedule: list[tuple[str, float]], seed: int
) -> list[history.Violation]:
    async def simulate() -> list[history.Violation]:
        return await _FaultSimulation(seed).run(schedule)

    return virtual_time.run_virtually(simulate())


# Hypothesis derives the schedules from the source text of this function,
# docstring included. The text, and with it the name `_play`, must not change,
# or other schedules would be tested.
@hypothesis.settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    # A failing schedule is short enough as it is, and shrinking takes minutes.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
@hypothesis.given(schedule=_SCHEDULES, seed=strategies.integers(0, 2**16))
def test_random_faults_break_no_rule(
    schedule: list[tuple[str, float]], seed: int
) -> None:
    """No task runs twice at once, or again after its end was kept."""
    assert _play(schedule, seed) == []


def test_checker_accepts_exit_unreported_before_lease_expiry() -> None:
    """Guards against a checker that rejects a correct schedule.

    A late command started a run on a runner that was cut off. The run exited
    there, the lease expired, and the task was started elsewhere.
    """
    schedule = [
        ("stop leader", 2.647),
        ("late commands", 2.262),
        ("runner crashes", 1.122),
        ("runner cut off", 1.798),
        ("runner cut off", 0.696),
        ("late transactions", 0.5),
        ("lost store answers", 2.237),
        ("kill leader", 0.225),
        ("lost answers", 2.945),
        ("runner crashes", 2.659),
    ]
    assert _play(schedule, 34271) == []


_UNWRITTEN_EXIT_SCHEDULE: list[tuple[str, float]] = [
    ("lift all faults", 1.0),
    ("store down", 1.5),
    ("kill leader", 0.5),
    ("lift all faults", 3.0),
]


def _acknowledge_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the scheduler acknowledge exits before they are durable."""

    def apply(self: typing.Any, run_exit: model.RunExit) -> None:
        original(self, run_exit)
        self._entry.pending_acks.clear()
        self._entry.acknowledged_exit = run_exit.number

    original = _runner_reconciler.RunnerReconciler._apply_exit
    monkeypatch.setattr(
        _runner_reconciler.RunnerReconciler, "_apply_exit", apply
    )


def _ignore_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes tasks of a runner that does not answer count as lost at once."""
    monkeypatch.setattr(
        _run_proofs,
        "find_proof",
        lambda entry, now, stop_timeout: _run_proofs.Proof.NONE,
    )


def _ignore_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes most runs fail, and does not count the failures."""
    monkeypatch.setattr(_FaultSimulation, "fail_share", 0.9)
    monkeypatch.setattr(_state.TaskEntry, "failures", property(lambda self: 0))


@pytest.mark.parametrize(
    ("inject_fault", "schedule", "rule"),
    [
        (_acknowledge_early, _UNWRITTEN_EXIT_SCHEDULE, "TWICE"),
        (
            _ignore_leases,
            [
                ("lift all faults", 1.0),
                ("runner cut off", 3.0),
                ("runner cut off", 3.0),
            ],
            "TWICE",
        ),
        (_ignore_failures, [("lift all faults", 3.0)] * 6, "BUDGET"),
    ],
)
def test_checker_catches_deliberate_faults(
    inject_fault: typing.Callable[[pytest.MonkeyPatch], None],
    schedule: list[tuple[str, float]],
    rule: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that misses faults of the scheduler."""
    inject_fault(monkeypatch)
    rules: set[str] = set()
    for seed in range(30):
        try:
            rules |= {violation.rule for violation in _play(schedule, seed)}
        except TimeoutError:
            # A scheduler with an injected fault may also lose a job.
            continue
        if rule in rules:
            return
    assert rule in rules
