"""Tests the scheduler's summary of the work that waits under overload."""

import datetime

import orjson
import pytest

from tamarackhatch import admission
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records

_S = datetime.timedelta(seconds=1)
_TASK = model.Resources(2000, 100)
_STEP = model.Step(4, _TASK, 2 * _S)
_RANK = placement.Rank


def _make_work(
    priority: int = 2,
    rank: placement.Rank = _RANK.BATCH,
    demand: int = 8000,
    count: int = 4,
    waited_s: float = 3.0,
    may_run_anywhere: bool = True,
    step: model.Step = _STEP,
    service: str = "office",
) -> admission.WaitingWork:
    order = placement.OrderKey(priority, rank, demand, False, "", 0.0)
    return admission.WaitingWork(
        service, step, order, count, waited_s * _S, may_run_anywhere
    )


def _summarise(
    *works: admission.WaitingWork,
    pool: admission.Pool = admission.Pool(batch_processors=10_000),
) -> tuple[model.WaitSummary, ...]:
    return admission.WaitEstimator().summarise(
        works, lambda: {"office": pool}, 9 * _S
    )


@pytest.mark.parametrize(
    "works",
    [
        [],
        [_make_work(waited_s=2.4)],
        [_make_work(may_run_anywhere=False)],
        [_make_work(service="without runners")],
    ],
)
def test_nothing_is_reported_without_proof_of_a_wait(
    works: list[admission.WaitingWork],
) -> None:
    """Guards against a figure from work that has just arrived."""
    assert _summarise(*works) == ()


@pytest.mark.parametrize(
    ("priority", "demand", "is_late", "expected"),
    [
        (0, 10_000, False, 16_000),
        (1, 0, False, 16_000),
        (2, 7_999, False, 16_000),
        (2, 8_000, False, 32_000),
        (2, 8_000, True, 48_000),
        (2, 40_000, False, 48_000),
        (2, 40_000, True, 64_000),
        (3, 0, False, 80_000),
    ],
)
def test_work_before_a_new_job(
    priority: int, demand: int, is_late: bool, expected: int
) -> None:
    """Guards against counting work that goes behind a new job."""
    (summary,) = _summarise(
        _make_work(0, demand=10_000),
        _make_work(2),
        _make_work(2, _RANK.LATE_BATCH),
        _make_work(2, demand=40_000),
        _make_work(2, _RANK.OVERDUE_BATCH),
    )
    assert summary.get_work_before(priority, demand, is_late) == expected


def test_rate_is_what_was_started_lately() -> None:
    """Guards against a rate that estimates twice too long would halve.

    By these, the runners do twice the work that they have processors for.
    """
    estimator = admission.WaitEstimator()
    for index in range(80):
        estimator.record_start("office", _STEP, 5 * _S + index * _S / 20)
    pools = {"office": admission.Pool(batch_processors=40_000)}
    (summary,) = estimator.summarise([_make_work()], lambda: pools, 9 * _S)
    assert summary.rate == pytest.approx(80_000, rel=0.05)
    (later,) = estimator.summarise([_make_work()], lambda: pools, 20 * _S)
    assert later.rate == 40_000


def test_pool_counts_free_capacity_of_usable_runners_only() -> None:
    """Guards against free capacity on a runner where nothing may start."""
    loads = [
        placement.RunnerLoad(
            "a", "office", model.Resources(8000, 900), reserved_cpu=5000
        ),
        placement.RunnerLoad(
            "b", "office", model.Resources(8000, 500), batch_cpu=3000
        ),
    ]
    pool = admission.Pool()
    pool.add_runner(loads[0], True)
    pool.add_runner(loads[1], False)
    assert pool.free == model.Resources(3000, 900)
    assert pool.batch_processors == 3000
    pool.add_runner(loads[1], True)
    assert pool.free == model.Resources(8000, 900)


def test_smallest_waiting_tasks_are_reported() -> None:
    """Guards against a small task that is refused beside large ones."""
    large = model.Step(1, model.Resources(9000, 500), _S)
    (summary,) = _summarise(_make_work(), _make_work(step=large))
    assert summary.blocked == (model.BlockedTask(_TASK),)


def test_summary_is_bounded() -> None:
    """Guards against a heartbeat that fills the links of the instances."""
    works = [
        _make_work(
            priority=number % 40,
            demand=number * 1000,
            step=model.Step(
                1,
                model.Resources(1000 + number, 5000 - number),
                _S,
                is_best_effort=bool(number % 2),
                image=f"image-{number}",
            ),
            service=f"a-service-with-a-long-name-{number % 60}",
        )
        for number in range(3_000)
    ]
    estimator = admission.WaitEstimator()
    pool = admission.Pool(
        batch_processors=10_000, best_effort_processors=10_000
    )
    summaries = estimator.summarise(
        works, lambda: {work.service: pool for work in works}, _S
    )
    heartbeat = records.LeaderHeartbeat("a", "b", 1, waits=summaries)
    row = records.encode_leader_heartbeat(heartbeat)
    assert len(row) < 16_384
    assert len(orjson.loads(row)["waits"]) == 16
