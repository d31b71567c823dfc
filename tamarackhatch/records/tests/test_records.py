"""Tests of the forms of stored rows."""

import datetime
import hashlib
import zlib

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_MS = datetime.timedelta(milliseconds=1)
_COUNTS = strategies.integers(0, 10_000)
_DURATIONS = _COUNTS.map(lambda count: count * _MS)

_STEPS = strategies.builds(
    model.Step,
    count=strategies.integers(1, 50),
    resources=strategies.builds(model.Resources, _COUNTS, _COUNTS, _COUNTS),
    estimate=_DURATIONS,
    is_gang=strategies.booleans(),
    is_long_running=strategies.booleans(),
    is_best_effort=strategies.booleans(),
    image=strategies.text(max_size=8),
    tail_latency_target=_DURATIONS,
    max_per_runner=_COUNTS,
)
_QUEUE = model.Queue(
    name="q",
    host="",
    path_prefix="",
    service="s",
    priority=2,
    max_attempts=4,
    stretch=1.5,
    target_latency=400 * _MS,
    advice=model.AdviceTiming(20 * _MS, 1.5 * _MS, 3000 * _MS),
)


@hypothesis.given(steps=strategies.lists(_STEPS, min_size=1, max_size=4))
def test_decoded_job_equals_encoded_job(steps: list[model.Step]) -> None:
    """Guards against a job that changes between submission and scheduling."""
    job = model.Job("00", _QUEUE, "text", tuple(steps), _NOW)
    assert records.decode_job("00", records.encode_job(job)) == job


@hypothesis.given(
    done=strategies.dictionaries(
        strategies.integers(0, 5), strategies.integers(1, 2**40)
    ),
    failed=strategies.sets(strategies.integers(1, 5_000), max_size=4),
)
def test_decoded_progress_equals_encoded_progress(
    done: dict[int, int], failed: set[int]
) -> None:
    """Guards against finished tasks or failures lost by a takeover."""
    crashes = {run: model.CrashRole.SUSPECT for run in failed}
    history = records.TaskHistory(
        7,
        tuple(sorted(failed)),
        "0b",
        crashes,
        {run: 10 * run for run in failed},
    )
    progress = records.JobProgress(
        model.JobState.RUNNING,
        2,
        {3: records.OccurrenceProgress(done, {(1, 2): history})},
    )
    written = records.encode_progress(progress)
    assert records.decode_progress(written) == progress


@pytest.mark.parametrize(
    ("row", "crashes", "expected_crashes"),
    [
        (
            b'{"s":"running","o":{"0":{"d":{"1":"5"},"t":[[0,2,7,[3],""]]}}}',
            {},
            {},
        ),
        (
            b'{"s":"running","o":{"0":{"d":{"1":"5"},"t":[[0,2,7,[3],""]],'
            b'"c":[[0,2,[[6,0],[7,2]]]]}}}',
            {6: model.CrashRole.BYSTANDER, 7: model.CrashRole.SOLE_SUSPECT},
            {},
        ),
        (
            b'{"s":"running","o":{"0":{"d":{"1":"5"},"t":[[0,2,7,[3],""]],'
            b'"c":[[0,2,[[6,0]]]],"e":[[0,2,[[6,1500]]]]}}}',
            {6: model.CrashRole.BYSTANDER},
            {6: 1500},
        ),
    ],
)
def test_progress_row_keeps_its_form(
    row: bytes,
    crashes: dict[int, model.CrashRole],
    expected_crashes: dict[int, int],
) -> None:
    """Guards against progress misread by other releases in an upgrade.

    The first row is one of releases that did not record crashes, the second
    one of those that did not record how many were to be expected.
    """
    history = records.TaskHistory(7, (3,), "", crashes, expected_crashes)
    progress = records.JobProgress(
        model.JobState.RUNNING,
        0,
        {0: records.OccurrenceProgress({1: 5}, {(0, 2): history})},
    )
    assert records.decode_progress(row) == progress
    assert records.encode_progress(progress) == row


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"s":"lost"}'])
def test_malformed_rows_raise_malformed_row_error(value: bytes) -> None:
    """Guards against malformed rows that raise an unexpected error."""
    with pytest.raises(records.MalformedRowError):
        records.decode_progress(value)
    with pytest.raises(records.MalformedRowError):
        records.decode_job("00", value)


def test_decoded_interference_equals_encoded_interference() -> None:
    """Guards against learned factors lost by a takeover."""
    table = placement.InterferenceTable(
        (placement.InterferenceFactor("s", "f", 1.5, 0.25),), {"s": 10.0}
    )
    assert (
        records.decode_interference(records.encode_interference(table))
        == table
    )


def test_job_row_keeps_its_form() -> None:
    """Guards against a job misread by other releases in an upgrade."""
    row = (
        b'{"queue":["q","s",2,4,1.5,400,[20.0,1.5,3000.0]],'
        b'"specification":"text","steps":['
        b'{"count":3,"resources":[6400,13000,1],"estimate_ms":1500,'
        b'"is_lasting":true,"required_label":"a","preferred_rack":"r1",'
        b'"max_per_runner":2,"image":"watch","tail_target_ms":50,'
        b'"may_miss":1},'
        b'{"count":4,"resources":[7000,13000,0],"estimate_ms":600,'
        b'"after":[0],"is_gang":true,"is_checkpointing":true,'
        b'"is_rack_sensitive":true,"is_speculative":true,'
        b'"is_filler":true,"image":"report"},'
        b'{"count":1,"resources":[1,2,3],"estimate_ms":1,"after":[0],'
        b'"is_gang":true,"is_checkpointing":true,'
        b'"is_rack_sensitive":true,"is_speculative":true,'
        b'"is_lasting":true,"is_filler":true,"required_label":"a",'
        b'"preferred_rack":"r1","max_per_runner":2,"image":"watch",'
        b'"tail_target_ms":50,"may_miss":1}'
        b'],"accepted_ms":1767225600000,"term":7,'
        b'"schedule":{"first_ms":1767225600000,"interval_ms":500,"count":3}}'
    )
    serving = model.Step(
        count=3,
        resources=model.Resources(6400, 13_000, 1),
        estimate=1500 * _MS,
        is_long_running=True,
        required_label="a",
        preferred_rack="r1",
        max_per_runner=2,
        image="watch",
        tail_latency_target=50 * _MS,
        max_unavailable=1,
    )
    best_effort = model.Step(
        count=4,
        resources=model.Resources(7000, 13_000),
        estimate=600 * _MS,
        after=(0,),
        is_gang=True,
        is_checkpointing=True,
        is_rack_sensitive=True,
        is_speculative=True,
        is_best_effort=True,
        image="report",
    )
    complete = attrs.evolve(
        best_effort,
        count=1,
        resources=model.Resources(1, 2, 3),
        estimate=_MS,
        is_long_running=True,
        required_label="a",
        preferred_rack="r1",
        max_per_runner=2,
        image="watch",
        tail_latency_target=50 * _MS,
        max_unavailable=1,
    )
    job = model.Job(
        "00",
        _QUEUE,
        "text",
        (serving, best_effort, complete),
        _NOW,
        model.Schedule(_NOW, 500 * _MS, 3),
        term=7,
    )
    assert records.decode_job("00", row) == job
    assert records.encode_job(job) == row


def _make_queues(names: list[str]) -> tuple[model.Queue, ...]:
    return tuple(
        attrs.evolve(_QUEUE, name=name, host=f"{name}.example")
        for name in names
    )


def test_configuration_change_row_keeps_its_form() -> None:
    """Guards against a change misread by other releases in an upgrade."""
    change = model.ConfigurationChange(
        base=6,
        version=9,
        queues=_make_queues(["q"]),
        removed=("old",),
        services=(model.Service("s", enforces_capacity=True),),
        limits=model.RequestLimits(),
    )
    document = (
        b'[[["q","q.example","","s",2,4,1.5,400.0,[20.0,1.5,3000.0]]],'
        b'["old"],[["s",true,false]],[16384,262144,3000.0,15000.0]]'
    )
    (put,) = records.encode_change(change, 3)
    assert put.ref == model.RowRef("beat-0", "", "configuration.3.0")
    head, _, data = put.value.partition(b"\n")
    assert head == b'{"base":6,"version":9,"part":0,"parts":1}'
    assert zlib.decompress(data) == document
    part = records.decode_change_part(head + b"\n" + zlib.compress(document))
    assert records.decode_change([part]) == change


@pytest.mark.parametrize("count", [0, 1, 20_000])
def test_change_leads_to_the_later_configuration(count: int) -> None:
    """Guards against queues that a change loses, in one row or several."""
    digests = (
        hashlib.sha256(bytes([i % 256, i // 256])) for i in range(count)
    )
    added = [digest.hexdigest() for digest in digests]
    earlier = model.Configuration(4, _make_queues(["kept", "removed"]))
    later = model.Configuration(
        7, _make_queues(["kept", *added]), (model.Service("s"),)
    )
    puts = records.encode_change(model.compute_change(earlier, later), 0)
    assert len({put.ref for put in puts}) == len(puts)
    assert all(len(put.value) <= 65_536 for put in puts)
    change = records.decode_change(
        [records.decode_change_part(put.value) for put in puts]
    )
    assert change.apply_to(earlier) == later
    with pytest.raises(ValueError):
        change.apply_to(later)


def test_tracked_runners_row_keeps_its_form() -> None:
    """Guards against a list misread by other releases in an upgrade."""
    row = (
        b'[["i-0","10.1.0.1:8000","office",17],'
        b'["i-1","10.1.0.2:8000","office",0]]'
    )
    tracked_runners = (
        records.TrackedRunner(
            identifier="i-0",
            address="10.1.0.1:8000",
            service="office",
            incarnation=17,
        ),
        records.TrackedRunner(
            identifier="i-1",
            address="10.1.0.2:8000",
            service="office",
            incarnation=0,
        ),
    )
    stored = model.Row(records.TRACKED_RUNNERS, row, 3)
    assert records.decode_tracked_runners([stored]) == tracked_runners
    puts = records.encode_tracked_runners(tracked_runners)
    assert puts == [model.Put(records.TRACKED_RUNNERS, row)]
