"""Passes of the straggler mover, and placements after a move."""

import datetime
import types
import typing

import attrs
import pytest

from tamarackhatch import admission
from tamarackhatch import health
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _start_window
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _stragglers
from tamarackhatch import stragglers
from tamarackhatch import transport

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_COST = stragglers.MoveCost(400 * _MS, 250 * _MS, 500 * _MS)
_QUEUE = model.Queue(
    name="renewals", host="", path_prefix="/", service="s", max_attempts=3
)
_STEP = model.Step(
    8,
    model.Resources(1800, 500),
    is_checkpointing=True,
    is_best_effort=True,
    image="best-effort",
)
_ACCEPTED = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# Per cent in half a second.
_FAST = 18
_SLOW = 1


class _Fleet:
    """Runners, jobs and a straggler mover without asynchronous tasks.

    Attributes:
        now: Monotonic time.
        moved: Tasks that were stopped.
    """

    def __init__(self, runners: int = 5) -> None:
        self.now = 100 * _SECOND
        self.moved: list[model.TaskKey] = []
        clock = types.SimpleNamespace(
            get_monotonic=lambda: self.now, get_utc=lambda: _ACCEPTED
        )
        log = typing.cast(
            observability.Log,
            types.SimpleNamespace(info=lambda event, **fields: None),
        )
        self.metrics = observability.Metrics()
        self.tracker = _job_tracker.JobTracker(
            typing.cast(typing.Any, clock), 1, log, self.metrics
        )
        self.tracker.set_callbacks(
            lambda job: 0,
            lambda task: self.moved.append(task.key),
            lambda: None,
            lambda job: None,
        )
        self.runners = [
            _fleet.make_runner_entry(
                model.Runner(
                    f"i-{index}",
                    "s",
                    "address",
                    "here",
                    False,
                    model.Resources(16_000, 64_000),
                )
            )
            for index in range(runners)
        ]
        for entry in self.runners:
            entry.is_tracked = True
        monitor = health.HealthMonitor()
        for entry in self.runners:
            monitor.trust(entry.identifier)
        self.context = typing.cast(
            typing.Any,
            types.SimpleNamespace(
                get_now=lambda: self.now,
                clock=clock,
                list_open_runners=lambda: self.runners,
                start_attempts=_start_attempts.StartAttempts(
                    typing.cast(typing.Any, clock), _SECOND
                ),
                fleet={entry.identifier: entry for entry in self.runners},
                health=monitor,
                job_tracker=self.tracker,
                metrics=self.metrics,
                log=log,
                policy=placement.PlacementPolicy(),
                interference=placement.InterferenceModel(),
                load_monitor=_load_monitor.LoadMonitor(
                    typing.cast(typing.Any, clock),
                    log,
                    self.metrics,
                    transport.Traffic(),
                ),
                start_window=_start_window.StartWindow(),
                wait_estimator=admission.WaitEstimator(),
                settings=types.SimpleNamespace(
                    bounds=types.SimpleNamespace(contact=4 * _SECOND)
                ),
                enforces_capacity=lambda service: True,
            ),
        )
        self.dispatcher = _dispatcher.Dispatcher(
            self.context, typing.cast(typing.Any, None)
        )
        self.mover = _stragglers.StragglerMover(
            self.context,
            self.dispatcher.list_candidates,
            self.dispatcher.filter_by_ticket,
        )

    def add_job(self, name: str, step: model.Step) -> list[_state.TaskEntry]:
        """Adds a job of one step and returns its tasks."""
        self.tracker.add_job(
            model.Job(name, _QUEUE, "", (step,), _ACCEPTED), 1
        )
        return [
            task
            for index in range(step.count)
            if (
                task := self.tracker.find_task(
                    model.TaskKey(name, 0, 0, index)
                )
            )
        ]

    def start(self, task: _state.TaskEntry, runner: int) -> None:
        """Starts a task that has a checkpoint."""
        self.tracker.begin_start(task, self.runners[runner])
        self.tracker.allocate_run(task)
        self.tracker.confirm_run(task, self.runners[runner])
        task.checkpoint = "checkpoint"

    def run(self, seconds: float, rates: dict[int, int] | None = None) -> None:
        """Lets time pass, with a report of each runner each half second.

        Args:
            seconds: The time.
            rates: For each runner the progress of its runs in half a second;
                none for runners that are left out.
        """
        for _ in range(int(seconds * 2)):
            self.now += 500 * _MS
            for index, entry in enumerate(self.runners):
                entry.clock_read = self.now
                for task in entry.tasks.values():
                    if task.phase is _state.TaskPhase.RUNNING:
                        task.progress_percent += (rates or {}).get(index, 0)
                        task.progress_reported_at = self.now
            self.mover.run_pass(_COST)

    def get_loads(self) -> list[typing.Any]:
        """Returns all reservations."""
        return [
            (
                dict(entry.load.step_counts),
                entry.load.best_effort_cpu,
                entry.load.reserved_memory_mb,
            )
            for entry in self.runners
        ]


_RATES = {0: _SLOW, 1: _FAST, 2: _FAST, 3: _FAST}


def _start_step(
    fleet: _Fleet, step: model.Step = _STEP, name: str = "00"
) -> list[_state.TaskEntry]:
    """Starts a step's tasks on four runners, of which the first is slow."""
    tasks = fleet.add_job(name, step)
    for task in tasks:
        fleet.start(task, task.key.index % 4)
    return tasks


def _make_fleet(runners: int = 5) -> _Fleet:
    """Returns a fleet whose term began more than three seconds ago."""
    fleet = _Fleet(runners)
    fleet.run(4)
    return fleet


def test_slow_runs_are_moved_and_loads_are_unchanged() -> None:
    """Guards against places that stay reserved after a pass."""
    fleet = _make_fleet()
    tasks = _start_step(fleet)
    before = fleet.get_loads()
    fleet.run(2.5, _RATES)
    # No further run is moved from a runner that is late with a stop.
    assert fleet.moved == [tasks[0].key]
    assert fleet.get_loads() == before
    departure = tasks[0].departure
    assert departure is not None
    assert departure.runner == "i-0"


def test_move_in_progress_holds_its_place() -> None:
    """Guards against two moves that count on the same capacity."""
    fleet = _make_fleet()
    tasks = fleet.add_job("00", _STEP)
    for task in tasks:
        fleet.start(task, min(task.key.index, 3))
    # Only the fifth runner has memory left, for one task.
    for entry in fleet.runners[:4]:
        entry.load.capacity = model.Resources(
            16_000, entry.load.reserved_memory_mb
        )
    fleet.runners[4].load.capacity = model.Resources(16_000, 500)
    fleet.run(2.5, {0: _SLOW, 1: _SLOW, 2: _FAST, 3: _FAST})
    assert fleet.moved == [tasks[0].key]
    withheld = fleet.metrics.render().decode()
    assert 'moves_withheld_total{reason="no place"}' in withheld


def test_new_term_moves_nothing_for_three_seconds() -> None:
    """Guards against a run that two schedulers move one after the other."""
    fleet = _Fleet()
    _start_step(fleet)
    fleet.run(2.5, _RATES)
    assert fleet.moved == []
    fleet.run(1, {0: _SLOW})
    assert fleet.moved


@pytest.mark.parametrize(
    ("load", "fields", "is_moved"),
    [
        ("best-effort task of the same kind", {}, False),
        (
            "task with a reservation",
            {"is_best_effort": False, "resources": model.Resources(99_000, 0)},
            True,
        ),
        ("task that needs a label", {"required_label": "missing"}, True),
        ("gang", {"is_gang": True}, True),
    ],
)
def test_nothing_is_moved_while_tasks_wait_for_the_same_capacity(
    load: str, fields: dict[str, typing.Any], is_moved: bool
) -> None:
    """Guards against moves that take the place of waiting tasks."""
    fleet = _make_fleet()
    _start_step(fleet)
    fleet.add_job("01", attrs.evolve(_STEP, **fields))
    fleet.run(2.5, _RATES)
    assert bool(fleet.moved) == is_moved, load


@pytest.mark.parametrize(
    ("load", "fields"),
    [
        ("gang", {"is_gang": True}),
        ("long-running", {"is_long_running": True}),
        ("without checkpoints", {"is_checkpointing": False}),
    ],
)
def test_tasks_that_a_move_does_not_help_stay(
    load: str, fields: dict[str, typing.Any]
) -> None:
    """Guards against moves that lose all work or break a gang."""
    fleet = _make_fleet()
    _start_step(fleet, attrs.evolve(_STEP, **fields))
    fleet.run(2.5, _RATES)
    assert fleet.moved == [], load


def test_run_that_never_reached_a_checkpoint_is_moved() -> None:
    """Guards against runs that stay where they make hardly any progress.

    Without a checkpoint it has done less than one checkpoint interval of
    work, and a stop yields a checkpoint as well.
    """
    fleet = _make_fleet()
    _start_step(fleet)
    fleet.run(2.5, _RATES)
    expected = list(fleet.moved)
    assert expected
    fleet = _make_fleet()
    for task in _start_step(fleet):
        task.checkpoint = ""
    fleet.run(2.5, _RATES)
    assert fleet.moved == expected


@pytest.mark.parametrize(
    ("load", "elapsed_s", "has_departure", "failed_on", "expected"),
    [
        ("new task", 0, False, set(), []),
        ("failed before", 0, False, {"f"}, [{"f"}, set()]),
        ("just moved", 0, True, set(), [{"left", "slow"}, {"left"}]),
        (
            "moved and failed",
            2.9,
            True,
            {"f"},
            [{"f", "left", "slow"}, {"left"}],
        ),
        ("moved 3 s ago", 3, True, set(), [{"slow"}, set()]),
    ],
)
def test_placement_avoids_the_runner_that_a_task_left(
    load: str,
    elapsed_s: float,
    has_departure: bool,
    failed_on: set[str],
    expected: list[set[str]],
) -> None:
    """Guards against a run that returns to the runner that it left."""
    task = _Fleet().add_job("00", _STEP)[0]
    task.failed_on = frozenset(failed_on)
    if has_departure:
        task.departure = _state.Departure(
            "left", 3 * _SECOND, frozenset({"slow"})
        )
    assert task.list_exclusions(elapsed_s * _SECOND) == expected, load


def test_moved_task_is_placed_before_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that waits a second time behind other jobs."""
    fleet = _Fleet()
    moved = fleet.add_job("00", _STEP)[3]
    fleet.add_job("01", attrs.evolve(_STEP, count=1))
    moved.departure = _state.Departure("i-0", fleet.now + _SECOND)
    searches: list[tuple[list[model.TaskKey], float, bool]] = []

    def choose_runners(
        keys: list[model.TaskKey],
        step: model.Step,
        candidates: typing.Any,
        policy: typing.Any,
        min_speed: float,
        is_excluded: typing.Callable[[str], bool],
    ) -> list[placement.Choice]:
        searches.append((keys, min_speed, is_excluded("i-0")))
        return []

    monkeypatch.setattr(placement, "choose_runners", choose_runners)
    fleet.dispatcher.run_pass()
    min_speed = placement.PlacementPolicy().min_speed
    assert searches[:2] == [([moved.key], min_speed, True)] * 2
    assert [len(keys) for keys, _, _ in searches[2:]] == [7, 1]
    assert all(search[1:] == (1.0, False) for search in searches[2:])
