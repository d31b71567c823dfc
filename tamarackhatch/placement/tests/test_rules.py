"""Tests of capacity, quarantine, interference and queue entries."""

import datetime

import attrs
import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import placement

START = clock.ManualClock().get_utc()


def after(seconds: float) -> datetime.datetime:
    return START + datetime.timedelta(seconds=seconds)


@pytest.mark.parametrize(
    ("failures", "pause", "probe_at"),
    [
        ("a", 0, None),
        ("aaaaaa", 0, None),
        ("aab", 0, None),
        ("abc", 30, 33),
        ("abcde", 30, 33),
        ("ababc", 30, 35),
    ],
)
def test_three_different_jobs_lead_to_quarantine(
    failures: str, pause: float, probe_at: float | None
) -> None:
    """Guards against quarantine by one bad job, or none at all."""
    health = model.WorkerHealth()
    for second, job in enumerate(failures, start=1):
        health = placement.compute_health_after_failure(
            health, job, after(second)
        )
    assert health.pause == datetime.timedelta(seconds=pause)
    assert health.probe_at == (None if probe_at is None else after(probe_at))


def test_failed_probes_double_the_pause() -> None:
    """Guards against a broken worker that is probed too often."""
    health = model.WorkerHealth()
    pauses = []
    for job in "abcdefghijkl":
        now = health.probe_at or START
        health = placement.compute_health_after_failure(health, job, now)
        pauses.append(health.pause.total_seconds())
    assert pauses == [0, 0, 30, 60, 120, 240, 480, 960, 1920, *[3600] * 3]


BIG = model.Resources(8, 8, 8)
MIDDLE = model.Resources(4, 4, 4)


@pytest.mark.parametrize(
    ("listed", "held", "as_of", "expected"),
    [
        (MIDDLE, model.Resources(2, 2, 2), 2, MIDDLE),
        (MIDDLE, model.Resources(6, 2, 2), 2, model.Resources(6, 4, 4)),
        (BIG, MIDDLE, 2, BIG),
        # An older list changes nothing.
        (MIDDLE, model.Resources(), 0, BIG),
    ],
)
def test_capacity_never_drops_below_commitments(
    listed: model.Resources,
    held: model.Resources,
    as_of: float,
    expected: model.Resources,
) -> None:
    """Guards against an over-committed row after a capacity change."""
    item = model.Commitment(model.TaskId("j", 0), 1, "t", "k", False, held)
    record = model.WorkerRecord("w", BIG, (item,), capacity_as_of=after(1))
    fitted = placement.fit_capacity(record, listed, after(as_of))
    assert fitted.capacity == expected


@pytest.mark.parametrize(
    ("readings", "low", "high"),
    [
        ([], 1.0, 1.0),
        ([({"k"}, 100)] * 9, 1.0, 1.0),
        ([({"k"}, 100), (set(), 50)] * 9, 1.6, 2.0),
        ([({"k"}, 50), (set(), 50)] * 9, 0.99, 1.01),
        ([({"k"}, 100), (set(), 50)], 1.0, 1.3),
    ],
)
def test_interference_estimate(
    readings: list[tuple[set[str], int]], low: float, high: float
) -> None:
    """Guards against estimates from nothing, or that learn nothing."""
    estimate = placement.InterferenceModel(clock.ManualClock())
    for kinds, milliseconds in readings:
        estimate.observe(
            "s", kinds, datetime.timedelta(milliseconds=milliseconds)
        )
    assert low <= estimate.estimate_ratio("s", "k") <= high


PENDING = model.TaskState.PENDING
PLACED = model.TaskState.PLACED
ACTIVE = model.JobState.ACTIVE
CANCELLED = model.JobState.CANCELLED


@pytest.mark.parametrize(
    ("before", "states", "state", "expected"),
    [
        (None, [PENDING], ACTIVE, {"batch/t/j": True}),
        ([PENDING], [PLACED], ACTIVE, {"batch/t/j": False}),
        ([PENDING, PENDING], [PLACED, PENDING], ACTIVE, {}),
        ([PLACED, PENDING], [PENDING, PENDING], ACTIVE, {"batch/t/j": True}),
        (
            [PLACED, PENDING],
            [PLACED, model.TaskState.CANCELLED],
            CANCELLED,
            {"batch/t/j": False, "stopping/j": True},
        ),
        ([PLACED], [model.TaskState.FINISHED], ACTIVE, {}),
    ],
)
def test_queue_entries_follow_the_job(
    before: list[model.TaskState] | None,
    states: list[model.TaskState],
    state: model.JobState,
    expected: dict[str, bool],
) -> None:
    """Guards against jobs that no dispatcher or owner finds."""
    spec = model.JobSpec(
        "j", "t", "k", 1, BIG, "", False, START, datetime.timedelta()
    )

    def build(items: list[model.TaskState]) -> model.Job:
        tasks = [model.Task(place, item) for place, item in enumerate(items)]
        return model.Job(spec, ACTIVE, tuple(tasks))

    old = None if before is None else build(before)
    new = attrs.evolve(build(states), state=state)
    writes = placement.build_job_writes(old, new)
    assert writes[0].key == "j"
    found = {item.key: item.value is not None for item in writes[1:]}
    assert found == expected
