"""Tests of the decision which runs to move."""

import datetime

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import stragglers

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_NOW = 100 * _SECOND
# Bounds of the customer with scarce capacity.
_COST = stragglers.MoveCost(400 * _MS, 250 * _MS, 500 * _MS)
# A task of 2.7 s.
_FULL_RATE = 37.0


def _make_run(
    index: int = 0,
    runner: str = "i-0",
    percent: int = 20,
    rate: float | None = 4.0,
    unlimited_rate: float | None = 4.0,
    best_rate: float | None = 4.0,
    peer_rate: float | None = _FULL_RATE,
    stopped_s: float | None = None,
    unfinished: int = 10,
    estimate: datetime.timedelta = datetime.timedelta(),
    **fields: object,
) -> stragglers.RunState:
    stopped_since = None if stopped_s is None else _NOW - stopped_s * _SECOND
    return stragglers.RunState(
        model.TaskKey("00", 0, 0, index),
        runner,
        stragglers.StepState(peer_rate, estimate, 2.0, unfinished),
        percent,
        stragglers.RunProgress(rate, unlimited_rate, best_rate, stopped_since),
        **fields,  # type: ignore
    )


def _find(*runs: stragglers.RunState) -> list[stragglers.Straggler]:
    return stragglers.find_stragglers(
        runs, stragglers.RunnerSpeeds(runs), _COST, _NOW
    )


_THROTTLED = {"unlimited_rate": None, "best_rate": None, "speed_limit": 0.1}


@pytest.mark.parametrize(
    ("load", "run", "is_moved"),
    [
        ("crowded: 20 s here, 3 s elsewhere", _make_run(), True),
        ("full speed", _make_run(rate=37, unlimited_rate=37), False),
        (
            "slower by half: not clearly worth it",
            _make_run(rate=18, unlimited_rate=18, best_rate=18),
            False,
        ),
        (
            "almost done: 1 s here",
            _make_run(percent=96, rate=4),
            False,
        ),
        ("done, exit not reported", _make_run(percent=100), False),
        (
            "throttled to a tenth since its start",
            _make_run(**_THROTTLED),  # type: ignore
            True,
        ),
        (
            "throttled, peers not measured, full rate known from itself",
            _make_run(peer_rate=None, best_rate=37, speed_limit=0.1),
            True,
        ),
        (
            "throttled, nothing measured, estimate of 2.7 s",
            _make_run(
                peer_rate=None,
                estimate=2700 * _MS,
                **_THROTTLED,  # type: ignore
            ),
            True,
        ),
        (
            "throttled, nothing measured, no estimate",
            _make_run(peer_rate=None, **_THROTTLED),  # type: ignore
            False,
        ),
        (
            "slow at full speed limit, peers not measured, estimate wrong",
            _make_run(peer_rate=None, estimate=300 * _MS),
            False,
        ),
        (
            "whole fleet saturated: peers are as slow",
            _make_run(peer_rate=4.0),
            False,
        ),
        (
            "stopped for 0.5 s",
            _make_run(rate=20, speed_limit=0.0, stopped_s=0.5, best_rate=37),
            False,
        ),
        (
            "stopped for 1 s",
            _make_run(rate=20, speed_limit=0.0, stopped_s=1, best_rate=37),
            True,
        ),
        (
            "speed limit just raised",
            _make_run(rate=4, unlimited_rate=36, best_rate=36),
            False,
        ),
        ("reports cover less than a second", _make_run(rate=None), False),
        ("no checkpoint", _make_run(is_movable=False), False),
        (
            "very long task: no whole per cent in a second",
            _make_run(rate=1, unlimited_rate=0, best_rate=0, peer_rate=0.0),
            False,
        ),
        (
            "moved 2.9 s ago",
            _make_run(
                best_rate=37,
                moves=stragglers.TaskMoves(1, _NOW - 2900 * _MS),
            ),
            False,
        ),
        (
            "moved 3 s ago, fast before",
            _make_run(
                best_rate=37, moves=stragglers.TaskMoves(1, _NOW - 3 * _SECOND)
            ),
            True,
        ),
        (
            "moved 3 s ago, never fast: a long task",
            _make_run(moves=stragglers.TaskMoves(1, _NOW - 3 * _SECOND)),
            False,
        ),
        (
            "moved four times",
            _make_run(
                best_rate=37, moves=stragglers.TaskMoves(4, _NOW - 9 * _SECOND)
            ),
            False,
        ),
    ],
)
def test_run_is_moved_if_it_is_done_much_sooner(
    load: str, run: stragglers.RunState, is_moved: bool
) -> None:
    """Guards against moves that gain nothing, and runs left behind."""
    assert bool(_find(run)) == is_moved, load


@pytest.mark.parametrize(
    ("load", "neighbour_rate", "moves", "is_moved"),
    [
        ("neighbour at full speed: a long task", 37.0, 0, False),
        ("neighbour at low usage: a long task", 25.0, 0, False),
        ("neighbour slow as well: a slow runner", 5.0, 0, True),
        ("second slow runner in succession", 5.0, 1, True),
        ("neighbour not measured, first runner", None, 0, True),
        ("neighbour not measured, second runner", None, 1, False),
    ],
)
def test_neighbours_tell_a_long_task_from_a_slow_runner(
    load: str, neighbour_rate: float | None, moves: int, is_moved: bool
) -> None:
    """Guards against moves of tasks that take as long on every runner."""
    last = _NOW - 5 * _SECOND if moves else None
    run = _make_run(moves=stragglers.TaskMoves(moves, last))
    neighbour = _make_run(
        1,
        rate=neighbour_rate,
        unlimited_rate=neighbour_rate,
        best_rate=neighbour_rate,
        is_movable=False,
    )
    assert bool(_find(run, neighbour)) == is_moved, load


def test_batch_neighbour_says_nothing_about_best_effort_runs() -> None:
    """Guards against taking reserved processors for spare ones."""
    neighbour = _make_run(
        1, rate=37, unlimited_rate=37, best_rate=37, is_best_effort=False
    )
    assert len(_find(_make_run(), neighbour)) == 1


def test_runs_that_hold_back_their_step_go_first() -> None:
    """Guards against moves of runs whose step waits for others anyway."""
    chain = attrs.evolve(_make_run(3, "i-3"))
    chain = attrs.evolve(
        chain, step=attrs.evolve(chain.step, following=5 * _SECOND)
    )
    urgent = _make_run(4, "i-4")
    urgent = attrs.evolve(urgent, step=attrs.evolve(urgent.step, priority=1))
    found = _find(
        _make_run(0, "i-0", unfinished=5),
        _make_run(1, "i-1", unfinished=1),
        _make_run(2, "i-2", rate=2, unlimited_rate=2, best_rate=2),
        chain,
        urgent,
        _make_run(5, "i-5"),
    )
    assert [item.run.task.index for item in found] == [4, 1, 0, 3, 2, 5]


def test_inputs_of_the_decision_are_reported() -> None:
    """Guards against log lines that do not explain a move."""
    straggler = _find(_make_run())[0]
    assert straggler.here == 20 * _SECOND
    assert straggler.rate == 4.0
    assert straggler.full_rate == _FULL_RATE
    assert straggler.lost_work == 250 * _MS
    assert straggler.elsewhere // _MS == 2162 + 250 + 400 + 250


@pytest.mark.parametrize(
    ("running", "expected"), [(0, 1), (20, 1), (150, 3), (1500, 30)]
)
def test_moves_per_second_are_limited(running: int, expected: int) -> None:
    """Guards against stopping much of the work on one wrong measurement."""
    log = stragglers.MoveLog()
    key = model.TaskKey("00", 0, 0, 0)
    assert log.count_allowed(running, _NOW) == expected
    for _ in range(expected):
        log.record_move(key, _NOW)
    assert log.count_allowed(running, _NOW + 999 * _MS) == 0
    assert log.count_allowed(running, _NOW + 1000 * _MS) == expected
    assert log.get_moves(key) == stragglers.TaskMoves(expected, _NOW)
    log.retain_steps(lambda step: False)
    assert log.get_moves(key).count == 0


def test_slow_runner_is_remembered_after_its_runs_have_left() -> None:
    """Guards against moves to a runner that is empty because it is slow."""
    slow = stragglers.SlowRunners()
    slow.update(stragglers.RunnerSpeeds([_make_run()]), _NOW)
    assert slow.identifiers == {"i-0"}
    slow.update(stragglers.RunnerSpeeds([]), _NOW + 9 * _SECOND)
    assert slow.identifiers == {"i-0"}
    slow.update(stragglers.RunnerSpeeds([]), _NOW + 11 * _SECOND)
    assert slow.identifiers == set()


def test_runner_that_is_fast_again_is_not_slow() -> None:
    """Guards against runners that are avoided for too long."""
    slow = stragglers.SlowRunners()
    slow.update(stragglers.RunnerSpeeds([_make_run()]), _NOW)
    fast = _make_run(rate=37, unlimited_rate=37, best_rate=37)
    slow.update(stragglers.RunnerSpeeds([fast]), _NOW + _SECOND)
    assert slow.identifiers == set()
